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
	idempotencyHeader      = "Idempotency-Key"
	maxIdempotencyKeyBytes = 255
	maxMetadataEntries     = 16
	maxMetadataEntryBytes  = 512
	minCompletionWindow    = 1 * time.Second
	maxCompletionWindow    = 7 * 24 * time.Hour
	// maxQueuedItemsPerWorkspace bounds the queued items of one workspace.
	maxQueuedItemsPerWorkspace = 2_000_000
)

// createJobRequest is the body of POST /v1/batches.
type createJobRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (r *createJobRequest) validate() (window time.Duration, err error) {
	if r.InputFileID == "" {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "the field input_file_id is missing")
	}
	window, err = time.ParseDuration(r.CompletionWindow)
	if err != nil || window < minCompletionWindow || window > maxCompletionWindow {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "completion_window must be a duration such as 30m or 24h, at most %s", maxCompletionWindow)
	}
	if len(r.Metadata) > maxMetadataEntries {
		return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "metadata has more than %d entries", maxMetadataEntries)
	}
	for name, value := range r.Metadata {
		if len(name)+len(value) > maxMetadataEntryBytes {
			return 0, outcome.New(outcome.BadRequest, outcome.NotRun, "metadata %q is longer than %d bytes", name, maxMetadataEntryBytes)
		}
	}
	return window, nil
}

// digest identifies the request, so that an Idempotency-Key can't be reused for a
// different one. It is deterministic, because the JSON encoding sorts the
// metadata.
func (r *createJobRequest) digest() (batch.Digest, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return batch.Digest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "encode request: %v", err)
	}
	return sha256.Sum256(encoded), nil
}

// createJob validates the input file and creates the job in control. It responds
// only after a quorum has acknowledged the job.
func (a *API) createJob(c fiber.Ctx, from requester) error {
	var request createJobRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	window, err := request.validate()
	if err != nil {
		return err
	}
	key := strings.Clone(c.Get(idempotencyHeader))
	if len(key) > maxIdempotencyKeyBytes {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%s is longer than %d bytes", idempotencyHeader, maxIdempotencyKeyBytes)
	}
	digest, err := request.digest()
	if err != nil {
		return err
	}
	if key != "" {
		existing, err := a.jobByIdempotencyKey(from, key, digest)
		if err != nil || existing != nil {
			return writeJob(c, existing, err)
		}
	}
	input, err := a.validateInputFile(from, &request)
	if err != nil {
		return err
	}
	create := batch.JobCreate{
		ID: newID("batch_"), Workspace: from.workspace.Name, Key: key, RequestDigest: digest,
		InputFile: request.InputFileID, Endpoint: request.Endpoint, Window: request.CompletionWindow,
		WindowMS: window.Milliseconds(), Metadata: request.Metadata, Templates: input.templates,
		Index: input.index.Bytes(), MaxAttempts: input.limits.MaxItemAttempts,
		MaxQueued: maxQueuedItemsPerWorkspace, Weight: from.workspace.Weight,
	}
	var job batch.Job
	if err := a.call(rpc.MethodJobCreate, &create, &job); err != nil {
		return err
	}
	a.log.Info("job_created", "job", job.ID, "workspace", from.workspace.Name, "items", job.Counts.Total, "resent", job.ID != create.ID)
	return c.JSON(newJobObject(&job))
}

// jobByIdempotencyKey returns the job that was created under the key, or nil. A
// resent request thus gets the same job even if its input file was deleted or the
// bundle has changed since. The lookup has no input file, so control can't create
// a job from it.
func (a *API) jobByIdempotencyKey(from requester, key string, digest batch.Digest) (*batch.Job, error) {
	lookup := batch.JobCreate{Workspace: from.workspace.Name, Key: key, RequestDigest: digest}
	var job batch.Job
	err := a.call(rpc.MethodJobCreate, &lookup, &job)
	if outcome.IsCode(err, outcome.FileNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &job, nil
}

func writeJob(c fiber.Ctx, job *batch.Job, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(newJobObject(job))
}

func (a *API) validateInputFile(from requester, request *createJobRequest) (*inputValidator, error) {
	file, err := a.openFile(from.workspace.Name, request.InputFileID)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // read only
	input := newInputValidator(from, request.Endpoint)
	return input, input.validate(file)
}

func (a *API) getJob(c fiber.Ctx, from requester) error {
	return a.callJobMethod(c, from, rpc.MethodJobGet)
}

func (a *API) cancelJob(c fiber.Ctx, from requester) error {
	return a.callJobMethod(c, from, rpc.MethodJobCancel)
}

func (a *API) listJobs(c fiber.Ctx, from requester) error {
	after, limit, err := pageParams(c)
	if err != nil {
		return err
	}
	var jobs rpc.JobList
	request := rpc.ListRequest{Workspace: from.workspace.Name, After: after, Limit: limit}
	if err := a.call(rpc.MethodJobList, &request, &jobs); err != nil {
		return err
	}
	objects := make([]jobObject, 0, len(jobs.Jobs))
	for _, j := range jobs.Jobs {
		objects = append(objects, newJobObject(j))
	}
	return c.JSON(newList(objects, jobs.More, func(j jobObject) string { return j.ID }))
}

// callJobMethod calls a control method that takes a job reference and returns the
// job, and writes it as the response.
func (a *API) callJobMethod(c fiber.Ctx, from requester, method wire.Method) error {
	var job batch.Job
	ref := rpc.JobRef{Workspace: from.workspace.Name, ID: pathParam(c, "id")}
	err := a.call(method, &ref, &job)
	return writeJob(c, &job, err)
}
