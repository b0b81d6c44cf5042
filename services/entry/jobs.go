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
	// submitTimeout bounds a submission and the end of a job; callers allow
	// some seconds and then hand the same job in again.
	submitTimeout = 2500 * time.Millisecond
	// readTimeoutExtra is what a read may take beyond the wait that it asks for.
	readTimeoutExtra = 800 * time.Millisecond
	// hostTimeout bounds one try at one storage host.
	hostTimeout = 900 * time.Millisecond
	hostPause   = 40 * time.Millisecond
	// jobRetry is when a caller may come back after no storage host answered.
	jobRetry = 400 * time.Millisecond
)

// JobAction is what a call on a job asks for.
type JobAction uint8

// The actions.
const (
	ReadResults JobAction = iota + 1
	ReadBody
	EndJob
)

// JobCall is a call on a job that exists.
type JobCall struct {
	Action JobAction
	Job    string
	Item   string        // of ReadBody
	After  int           // of ReadResults: the first position
	Wait   time.Duration // of ReadResults: for a result at that position
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Items []jobs.Item
}

// Results are listed results of a job from a position on.
type Results struct {
	Total   int
	After   int
	Results []rpc.JobResult
}

// admitJobCall serves a call on a job. It returns nil with a route of kind
// Batch, so that the caller knows that the request is answered.
func (s *Server) admitJobCall(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	key := string(ctx.Request.Header.Peek(s.cfg.HeaderNames.Key))
	if c.workspace = c.table.WorkspaceByKey(key); c.workspace == nil && c.table.RequiresKeys() {
		return outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key belongs to no workspace")
	}
	c.route = &routing.Route{Name: "jobs", Kind: routing.Batch}
	ctx.SetUserValue(jobCallKey{}, job)
	return nil
}

// jobCallKey is where admit leaves a parsed call for serveJob.
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
		s.refuse(ctx, c, outcome.From(err))
	}
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, c *call) error {
	if string(ctx.Method()) != http.MethodPost {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "jobs are handed in by POST")
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
	}
	bounded, cancel := context.WithTimeout(context.Background(), submitTimeout)
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
	bounded, cancel := context.WithTimeout(context.Background(), job.Wait+readTimeoutExtra)
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
	bounded, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	var found rpc.JobBodyData
	read := &rpc.JobBody{Workspace: c.workspaceName(), Job: job.Job, Item: job.Item}
	if err := s.jobs.call(bounded, hostTimeout, rpc.MethodJobBody, read, &found); err != nil {
		return err
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(found.Body)
	return nil
}

func (s *Server) endJob(ctx *fasthttp.RequestCtx, c *call, job JobCall) error {
	bounded, cancel := context.WithTimeout(context.Background(), submitTimeout)
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

// call asks the leader of the storage hosts, and goes round the others while
// it is not known, until ctx ends. All calls are idempotent. The outcome of its
// error is NotRun only if no host can have done what was asked.
func (j *jobClient) call(ctx context.Context, each time.Duration, method wire.Method, request, response any) error {
	worst := outcome.NotRun
	var last error
	for turn := 0; ; turn++ {
		hosts := j.follower.Stores()
		if len(hosts) > 0 {
			err := j.callOnce(ctx, each, hosts[turn%len(hosts)].ID, method, request, response)
			if err == nil {
				return nil
			}
			failure := outcome.From(err)
			if isFinal(failure) {
				return failure
			}
			last = failure
			if failure.Outcome != outcome.NotRun {
				worst = outcome.MayHaveRun
			}
		}
		if !pause.For(ctx, hostPause) {
			return outcome.New(outcome.NoQuorum, worst, "no storage host answered: %v", last).WithRetryAfter(jobRetry)
		}
	}
}

func (j *jobClient) callOnce(ctx context.Context, each time.Duration, host uint64, method wire.Method, request, response any) error {
	addr, found := replicated.Addr(host)
	if !found {
		return outcome.New(outcome.Unreachable, outcome.NotRun, "no storage host is known")
	}
	bounded, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	return j.pool.Call(bounded, addr, method, request, response)
}

// isFinal reports whether another host would answer the same.
func isFinal(failure *outcome.Error) bool {
	switch failure.Code {
	case outcome.RateLimited, outcome.JobNotFound, outcome.IdempotencyMismatch, outcome.BadRequest:
		return true
	default:
		return false
	}
}
