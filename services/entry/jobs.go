package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/core/routing"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
)

const (
	// submitTimeout bounds the submission, the reading of a body and the end of a
	// job. Callers allow some seconds and then submit the same job again.
	submitTimeout = 2500 * time.Millisecond
	// readTimeoutExtra is how long a read may take beyond its requested wait.
	readTimeoutExtra = 800 * time.Millisecond
	// hostTimeout bounds one attempt at one storage host.
	hostTimeout       = 900 * time.Millisecond
	hostRetryInterval = 40 * time.Millisecond
	// jobRetryAfter is the Retry-After when no storage host answered.
	jobRetryAfter = 400 * time.Millisecond
)

// JobAction is the action that a call on a job requests.
type JobAction uint8

// Actions on an existing job.
const (
	ReadResults JobAction = iota + 1
	ReadBody
	EndJob
)

// JobCall is a call on an existing job.
type JobCall struct {
	Action JobAction
	Job    string
	Item   string        // of ReadBody
	After  int           // of ReadResults: first position to return
	Wait   time.Duration // of ReadResults: how long to wait for a result at that position
}

// Submission is a job as a caller submits it.
type Submission struct {
	ID    string
	Items []jobs.Item
}

// Results lists the results of a job from a position on.
type Results struct {
	Total   int
	After   int
	Results []rpc.JobResult
}

// admitJobCall authenticates a call on an existing job and stores it for
// serveJob. It sets a route of kind Batch, which makes handle pass the request to
// serveJob. A call without a key finds only jobs that were handed in without one.
func (s *Server) admitJobCall(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	if err := s.identify(ctx, c, keyOrNone); err != nil {
		return err
	}
	c.route = &routing.Route{Name: "jobs", Kind: routing.Batch}
	ctx.SetUserValue(jobCallKey{}, job)
	return nil
}

// jobCallKey is the user value under which admitJobCall stores the call.
type jobCallKey struct{}

// serveJob serves a submission or a call on a job.
func (s *Server) serveJob(ctx *fasthttp.RequestCtx, c *call) {
	job, found := ctx.UserValue(jobCallKey{}).(JobCall)
	var err error
	switch {
	case !found:
		err = s.submit(ctx, c)
	case job.Action == ReadResults:
		err = s.readResults(ctx, c, job)
	case job.Action == ReadBody:
		err = s.readBody(ctx, c, job)
	default:
		err = s.endJob(ctx, c, job)
	}
	if err != nil {
		s.refuse(ctx, c, needsKey(c, outcome.From(err)))
	}
}

// needsKey replaces the refusal of a call without a key that finds no job: a call with a
// key may find it.
func needsKey(c *call, failure *outcome.Error) *outcome.Error {
	if failure.Code != outcome.JobNotFound || c.workspace != nil || !c.table.RequiresKeys() {
		return failure
	}
	return outcome.New(outcome.KeyMissing, failure.Outcome, "no key; %s", failure.Message)
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, c *call) error {
	if string(ctx.Method()) != http.MethodPost {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "jobs are handed in by POST")
	}
	if s.follower.CatalogIsEarly() {
		return outcome.New(outcome.StateStale, outcome.NotRun, "the document is not confirmed yet").WithRetryAfter(staleRetryAfter)
	}
	submission, err := s.cfg.Jobs.ParseSubmission(ctx)
	if err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "%v", err)
	}
	spec := &jobs.Spec{
		ID:           submission.ID,
		Workspace:    c.workspaceName(),
		Route:        c.route.Name,
		Host:         string(ctx.Host()),
		Items:        submission.Items,
		CompletionMS: c.route.CompletionTarget.Milliseconds(),
		MaxWaitMS:    c.route.MaxWait.Milliseconds(),
		MaxAttempts:  c.route.MaxAttempts,
		MaxQueued:    c.route.MaxQueuedTokens,
		Document:     c.table.Version(),
	}
	bounded, cancel := context.WithTimeout(s.lifetime, submitTimeout)
	defer cancel()
	if err := s.jobs.call(bounded, hostTimeout, rpc.MethodJobSubmit, spec, &rpc.Ack{}); err != nil {
		return err
	}
	ctx.SetStatusCode(http.StatusAccepted)
	s.log.Info("job_accepted", "job", spec.ID, "route", spec.Route, "workspace", spec.Workspace, "items", len(spec.Items),
		"document", c.table.Version(), "after_ms", ms(time.Since(c.started)))
	return nil
}

func (s *Server) readResults(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	bounded, cancel := context.WithTimeout(s.lifetime, job.Wait+readTimeoutExtra)
	defer cancel()
	var found rpc.JobResults
	read := &rpc.JobRead{Workspace: c.workspaceName(), Job: job.Job, After: job.After, WaitMS: job.Wait.Milliseconds()}
	if err := s.jobs.call(bounded, job.Wait+hostTimeout, rpc.MethodJobRead, read, &found); err != nil {
		return err
	}
	s.cfg.Jobs.WriteResults(ctx, &Results{Total: found.Total, After: job.After, Results: found.Results})
	return nil
}

func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	bounded, cancel := context.WithTimeout(s.lifetime, submitTimeout)
	defer cancel()
	var found rpc.JobBodyResponse
	read := &rpc.JobBody{Workspace: c.workspaceName(), Job: job.Job, Item: job.Item}
	if err := s.jobs.call(bounded, hostTimeout, rpc.MethodJobBody, read, &found); err != nil {
		return err
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(found.Body)
	return nil
}

func (s *Server) endJob(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	bounded, cancel := context.WithTimeout(s.lifetime, submitTimeout)
	defer cancel()
	end := &jobs.EndJob{Job: job.Job, Workspace: c.workspaceName()}
	if err := s.jobs.call(bounded, hostTimeout, rpc.MethodJobEnd, end, &rpc.Ack{}); err != nil {
		return err
	}
	ctx.SetStatusCode(http.StatusOK)
	s.log.Info("job_ended", "job", job.Job, "workspace", c.workspaceName(), "after_ms", ms(time.Since(c.started)))
	return nil
}

// jobClient calls the storage hosts.
type jobClient struct {
	follower *follow.Follower
	pool     *wire.Pool
}

func newJobClient(f *follow.Follower) *jobClient {
	return &jobClient{follower: f, pool: wire.NewPool(nil)}
}

// call sends a request to the leader of the storage hosts, and to the others in
// turn while the leader is unknown or fails, until ctx ends. All calls are
// idempotent. The outcome of the returned error is NotRun only if no host can
// have executed the request.
func (j *jobClient) call(ctx context.Context, perHost time.Duration, method wire.Method, request, response any) error {
	combinedOutcome := outcome.NotRun
	var lastFailure error
	for attempt := 0; ; attempt++ {
		hosts := j.follower.StorageHosts()
		if len(hosts) > 0 {
			err := j.callOnce(ctx, perHost, hosts[attempt%len(hosts)].ID, method, request, response)
			if err == nil {
				return nil
			}
			failure := outcome.From(err)
			if isFinal(failure) {
				return failure
			}
			lastFailure = failure
			if failure.Outcome != outcome.NotRun {
				combinedOutcome = outcome.MayHaveRun
			}
		}
		if !pause.For(ctx, hostRetryInterval) {
			return outcome.New(outcome.NoQuorum, combinedOutcome, "no storage host answered: %v", lastFailure).WithRetryAfter(jobRetryAfter)
		}
	}
}

func (j *jobClient) callOnce(ctx context.Context, timeout time.Duration, host uint64, method wire.Method, request, response any) error {
	addr, found := replicated.Addr(host)
	if !found {
		return outcome.New(outcome.Unreachable, outcome.NotRun, "no storage host is known")
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return j.pool.Call(bounded, addr, method, request, response)
}

// isFinal reports whether every host would return the same failure.
func isFinal(failure *outcome.Error) bool {
	switch failure.Code {
	case outcome.RateLimited, outcome.JobNotFound, outcome.IdempotencyMismatch, outcome.BadRequest, outcome.BodyTooLarge, outcome.Overloaded:
		return true
	default:
		return false
	}
}
