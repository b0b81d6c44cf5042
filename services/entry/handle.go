package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/core/routing"
	"banyanwalk/infra/bytebudget"
	"banyanwalk/services/targetcall"
)

const (
	// staleRetryAfter is the Retry-After of a gateway whose document is missing
	// or out of date.
	staleRetryAfter = 500 * time.Millisecond
	// retryMargin is how much less time than the route's timeout a request must have
	// left on arrival for it to count as a retry.
	retryMargin = 50 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 10 * time.Millisecond
)

// call is one request of a caller together with its route, workspace and
// deadline.
type call struct {
	id        string
	started   time.Time
	deadline  time.Time // the earlier of the caller's deadline and the route's timeout
	route     *routing.Route
	workspace *routing.Workspace // that holds the call's key; nil: there is none
	table     *routing.Table
	parts     []string // ids of the parts of the prompt that other requests may share
	tokens    int64    // that a target may hold for the request; 0: unknown
	resumes   string   // id of the attempt that brought the first event of the stream that the caller takes up again
	isRetry   bool     // the caller has used up part of its time, so it was refused before

	brokeredToken bool // a broker granted the token of the workspace

	body []byte
	held *bytebudget.Reservation // for the body, until the request has ended; nil: there is none
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// priority returns the priority of the workspace, or else of the route.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != 0 {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// objectiveMS returns the time until the first byte is late, in milliseconds; negative:
// it is late, 0: the route has no objective.
func (c *call) objectiveMS(now time.Time) int64 {
	if c.route.Objective <= 0 {
		return 0
	}
	if left := c.route.Objective - now.Sub(c.started); left >= time.Millisecond {
		return left.Milliseconds()
	}
	return -1
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.openRequests.Add(1)
	defer s.endRequest(ctx)
	tooLarge := s.limits.HeadArrived(ctx)
	c, err := s.admit(ctx)
	if err != nil {
		s.refuse(ctx, c, s.unlessEarly(outcome.From(err)))
		return
	}
	if tooLarge != nil {
		ctx.SetConnectionClose()
		s.refuse(ctx, c, tooLarge)
		return
	}
	if failure := s.limits.Admit(ctx, c.workspaceName()); failure != nil {
		s.refuse(ctx, c, failure)
		return
	}
	if failure := s.takeBody(ctx, c); failure != nil {
		s.refuse(ctx, c, failure)
		return
	}
	if c.route.Kind == routing.Batch {
		defer c.held.Release()
		s.serveJob(ctx, c)
		return
	}
	if refusal := s.tokens.take(c); refusal != nil {
		c.held.Release()
		s.refuse(ctx, c, refusal)
		return
	}
	s.forward(ctx, c)
}

const (
	// requestCopies is how many copies of its body a request holds: the body, and what is
	// sent to a target.
	requestCopies = 2
	// submissionCopies is the same for a job: its JSON, the items, and their encodings for
	// the storage hosts.
	submissionCopies = 5
)

// takeBody reads the body of a request whose head has been judged.
func (s *Server) takeBody(ctx *fasthttp.RequestCtx, c *call) *outcome.Error {
	copies := int64(requestCopies)
	if c.route.Kind == routing.Batch {
		copies = submissionCopies
	}
	held, failure := s.limits.ReadBody(ctx, copies)
	if failure != nil {
		return failure
	}
	if s.rejecting.Load() { // the body may have taken long
		held.Release()
		return outcome.New(outcome.Draining, outcome.NotRun, "this gateway stops").WithRetryAfter(minRetryAfter)
	}
	if held != nil {
		c.held, c.body = held, ctx.Request.Body()
	}
	return nil
}

// endRequest ends the handling of a request. A draining gateway sends its caller
// elsewhere for the next one, also if it began to drain meanwhile.
func (s *Server) endRequest(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	s.openRequests.Add(-1)
}

// admit resolves the route and the workspace of a request. It returns the call
// even with an error, for the log.
func (s *Server) admit(ctx *fasthttp.RequestCtx) (*call, error) {
	now := time.Now()
	c := &call{
		id:      string(ctx.Request.Header.Peek(s.cfg.HeaderNames.RequestID)),
		started: now,
		table:   s.follower.Table(),
	}
	if s.rejecting.Load() {
		return c, outcome.New(outcome.Draining, outcome.NotRun, "this gateway stops").WithRetryAfter(minRetryAfter)
	}
	if c.table == nil {
		return c, outcome.New(outcome.StateStale, outcome.NotRun, "no document is known yet").WithRetryAfter(staleRetryAfter)
	}
	if s.isStale() {
		return c, outcome.New(outcome.StateStale, outcome.NotRun, "the document may be out of date").WithRetryAfter(staleRetryAfter)
	}
	if ambiguousLength(&ctx.Request.Header) {
		ctx.SetConnectionClose()
		return c, outcome.New(outcome.BadRequest, outcome.NotRun, "both a length and a transfer encoding")
	}
	if job, found := s.cfg.Jobs.Parse(ctx); found {
		return c, s.admitJobCall(ctx, c, job)
	}
	c.route = c.table.Route(string(ctx.Host()), rawPath(ctx))
	if c.route == nil {
		return c, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no route for this host and path")
	}
	if err := s.identify(ctx, c, c.keyPolicy()); err != nil {
		return c, err
	}
	c.deadline = s.deadline(ctx, c)
	c.resumes = string(ctx.Request.Header.Peek(s.cfg.HeaderNames.Resumes))
	if s.cfg.PromptParts != nil {
		c.parts = s.cfg.PromptParts(&ctx.Request.Header)
	}
	if s.cfg.RequestTokens != nil {
		c.tokens = s.cfg.RequestTokens(&ctx.Request.Header)
	}
	c.isRetry = c.deadline.Sub(c.started) < c.route.Timeout-retryMargin
	return c, nil
}

// unlessEarly replaces a refusal for what the document lacks while a newer one may
// exist: the caller may return.
func (s *Server) unlessEarly(failure *outcome.Error) *outcome.Error {
	if !s.follower.CatalogIsEarly() {
		return failure
	}
	switch failure.Code {
	case outcome.UnknownRoute, outcome.KeyUnknown, outcome.KeyMissing:
		return outcome.New(outcome.StateStale, outcome.NotRun, "the document is not confirmed yet: %s", failure.Message).WithRetryAfter(staleRetryAfter)
	default:
		return failure
	}
}

// ambiguousLength reports whether a request has two conflicting body lengths. It
// inspects the raw header because the parser drops the Content-Length of such a
// request.
func ambiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return bytes.Contains(raw, []byte("transfer-encoding:")) && bytes.Contains(raw, []byte("content-length:"))
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(ctx *fasthttp.RequestCtx) string {
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	return string(path)
}

// keyPolicy is what a call needs of its key.
type keyPolicy uint8

const (
	keyRequired  keyPolicy = iota // of a workspace
	keyOrNone                     // a call without a key has no workspace; an unknown key is refused
	keyDisregard                  // a call without a key, or with an unknown one, has no workspace
)

// identify finds the workspace of a call by its key. It is the only place that does, so that
// all calls on one job have the same workspace. A public route needs no key, but a key that
// comes names its workspace all the same.
func (s *Server) identify(ctx *fasthttp.RequestCtx, c *call, policy keyPolicy) error {
	if !c.table.RequiresKeys() {
		return nil
	}
	key := string(ctx.Request.Header.Peek(s.cfg.HeaderNames.Key))
	c.workspace = c.table.WorkspaceByKey(key)
	switch {
	case c.workspace != nil || policy == keyDisregard || key == "" && policy == keyOrNone:
		return nil
	case key == "":
		return outcome.New(outcome.KeyMissing, outcome.NotRun, "no key")
	default:
		return outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key belongs to no workspace")
	}
}

// keyPolicy returns what a route needs of the keys of its calls. A job is handed in with a
// key that is known or without one: by an unknown one nobody could read it.
func (c *call) keyPolicy() keyPolicy {
	switch {
	case !c.route.Public:
		return keyRequired
	case c.route.Kind == routing.Batch:
		return keyOrNone
	default:
		return keyDisregard
	}
}

// deadline returns the caller's deadline or the route's timeout, whichever is
// sooner.
func (s *Server) deadline(ctx *fasthttp.RequestCtx, c *call) time.Time {
	limit := c.route.Timeout
	if value := ctx.Request.Header.Peek(s.cfg.HeaderNames.Deadline); len(value) > 0 {
		left, err := strconv.ParseInt(string(value), 10, 64)
		if err == nil && left > 0 {
			limit = min(limit, time.Duration(left)*time.Millisecond)
		}
	}
	return c.started.Add(limit)
}

// refuse answers a request with a failure.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *call, failure *outcome.Error) {
	status := httpStatus(failure)
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(failure.Error() + "\n")
	if failure.RetryAfter > 0 {
		after := max(minRetryAfter, failure.RetryAfter)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	s.metrics.refused(failure.Code)
	route, version := "", uint64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.table != nil {
		version = c.table.Version()
	}
	s.log.Info("request_refused", "request", c.id, "route", route, "workspace", c.workspaceName(), "document", version,
		"code", failure.Code.Name(), "outcome", failure.Outcome.String(), "status", status,
		"retry_after_ms", ms(failure.RetryAfter), "after_ms", ms(time.Since(c.started)), "reason", failure.Message)
}

// httpStatus returns the status for a failure that does not misstate the
// execution: callers take 503, 429, 408 and 421 as a promise that the request
// never runs.
func httpStatus(failure *outcome.Error) int {
	status := failure.Code.HTTPStatus()
	promisesNotRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
	switch {
	case failure.Code == outcome.Quarantined && failure.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable // a site's callers take a 4xx for a fault of their own
	case failure.Code == outcome.Quarantined:
		return http.StatusBadGateway
	case failure.Outcome != outcome.NotRun && promisesNotRun:
		return http.StatusBadGateway
	case failure.Outcome == outcome.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	default:
		return status
	}
}

// targetRequest builds the request that is sent to a target.
func (s *Server) targetRequest(ctx *fasthttp.RequestCtx, c *call) *targetcall.Request {
	header := make(http.Header)
	connection := string(ctx.Request.Header.Peek(fasthttp.HeaderConnection))
	for name, value := range ctx.Request.Header.All() {
		if key := string(name); !targetcall.IsHopByHop(key, connection) && !s.cfg.HeaderNames.IsReserved(key) {
			header[key] = append(header[key], string(value))
		}
	}
	r := &targetcall.Request{
		Method:    string(ctx.Method()),
		URI:       string(ctx.Request.Header.RequestURI()),
		Host:      string(ctx.Host()),
		Header:    header,
		Body:      c.body,
		ID:        c.id,
		Workspace: c.workspaceName(),
		Deadline:  c.deadline,
	}
	if last := ctx.Request.Header.Peek(s.cfg.HeaderNames.LastEventID); len(last) > 0 {
		if id, err := strconv.ParseInt(string(last), 10, 64); err == nil {
			r.LastEventID = id
		}
	}
	return r
}
