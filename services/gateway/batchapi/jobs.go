package batchapi

import (
	"crypto/sha256"
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxKeyBytes       = 255
	maxMetadata       = 16
	maxMetadataBytes  = 512
	minWindow         = 1 * time.Second
	maxWindow         = 7 * 24 * time.Hour
	// maxQueuedItems bounds the items of one workspace that wait to run.
	maxQueuedItems = 2_000_000
)

// createRequest is the body of POST /v1/batches.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (r *createRequest) check() (window time.Duration, err error) {
	if r.InputFileID == "" {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "the field input_file_id is missing")
	}
	window, err = time.ParseDuration(r.CompletionWindow)
	if err != nil || window < minWindow || window > maxWindow {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "completion_window must be a duration such as 30m or 24h, at most %s", maxWindow)
	}
	if len(r.Metadata) > maxMetadata {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "metadata has more than %d entries", maxMetadata)
	}
	for name, value := range r.Metadata {
		if len(name)+len(value) > maxMetadataBytes {
			return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "metadata %q is longer than %d bytes", name, maxMetadataBytes)
		}
	}
	return window, nil
}

// digest identifies the request under an Idempotency-Key. JSON writes the
// metadata in sorted order.
func (r *createRequest) digest() (batch.Digest, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return batch.Digest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "encode request: %v", err)
	}
	return sha256.Sum256(encoded), nil
}

// createJob checks the input file and hands the job to control. The answer
// follows the quorum's acknowledgement.
func (a *API) createJob(c fiber.Ctx, who caller) error {
	var request createRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	window, err := request.check()
	if err != nil {
		return err
	}
	key := strings.Clone(c.Get(idempotencyHeader))
	if len(key) > maxKeyBytes {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%s is longer than %d bytes", idempotencyHeader, maxKeyBytes)
	}
	digest, err := request.digest()
	if err != nil {
		return err
	}
	if key != "" {
		first, err := a.firstJob(who, key, digest)
		if err != nil || first != nil {
			return answerWith(c, first, err)
		}
	}
	checked, err := a.checkFile(who, &request)
	if err != nil {
		return err
	}
	create := batch.JobCreate{
		ID: newID("batch_"), Workspace: who.workspace.Name, Key: key, RequestDigest: digest,
		InputFile: request.InputFileID, Endpoint: request.Endpoint, Window: request.CompletionWindow,
		WindowMS: window.Milliseconds(), Metadata: request.Metadata, Templates: checked.templates,
		Index: checked.index.Bytes(), MaxAttempts: checked.limits.MaxItemAttempts,
		MaxQueued: maxQueuedItems, Weight: who.workspace.Weight,
	}
	var job batch.Job
	if err := a.call(rpc.MethodJobCreate, &create, &job); err != nil {
		return err
	}
	a.log.Info("job_created", "job", job.ID, "workspace", who.workspace.Name, "items", job.Counts.Total, "resent", job.ID != create.ID)
	return c.JSON(jobObjectOf(&job))
}

// firstJob returns the job that was created under the key, or nil. The answer
// to a resent request does not depend on what became of its file or of the
// bundle since. Without an input file control can create nothing.
func (a *API) firstJob(who caller, key string, digest batch.Digest) (*batch.Job, error) {
	probe := batch.JobCreate{Workspace: who.workspace.Name, Key: key, RequestDigest: digest}
	var job batch.Job
	err := a.call(rpc.MethodJobCreate, &probe, &job)
	if outcome.IsCode(err, outcome.FileNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &job, nil
}

func answerWith(c fiber.Ctx, job *batch.Job, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(jobObjectOf(job))
}

func (a *API) checkFile(who caller, request *createRequest) (*checker, error) {
	in, err := a.openFile(who.workspace.Name, request.InputFileID)
	if err != nil {
		return nil, err
	}
	defer in.Close() //nolint:errcheck // read only
	checked := newChecker(who, request.Endpoint)
	return checked, checked.read(in)
}

func (a *API) getJob(c fiber.Ctx, who caller) error {
	return a.answerJob(c, who, rpc.MethodJobGet)
}

func (a *API) cancelJob(c fiber.Ctx, who caller) error {
	return a.answerJob(c, who, rpc.MethodJobCancel)
}

func (a *API) listJobs(c fiber.Ctx, who caller) error {
	after, limit, err := page(c)
	if err != nil {
		return err
	}
	var jobs rpc.JobList
	request := rpc.ListRequest{Workspace: who.workspace.Name, After: after, Limit: limit}
	if err := a.call(rpc.MethodJobList, &request, &jobs); err != nil {
		return err
	}
	objects := make([]jobObject, 0, len(jobs.Jobs))
	for _, j := range jobs.Jobs {
		objects = append(objects, jobObjectOf(j))
	}
	return c.JSON(newList(objects, jobs.More, func(j jobObject) string { return j.ID }))
}

// answerJob calls a method that takes and returns one job.
func (a *API) answerJob(c fiber.Ctx, who caller, method wire.Method) error {
	var job batch.Job
	ref := rpc.JobRef{Workspace: who.workspace.Name, ID: param(c, "id")}
	err := a.call(method, &ref, &job)
	return answerWith(c, &job, err)
}
