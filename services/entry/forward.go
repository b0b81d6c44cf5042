package entry

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/core/streams"
	"banyanwalk/infra/netpeek"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/targetcall"
)

const (
	// callerCheckInterval is how often to check whether the caller has
	// disconnected.
	callerCheckInterval = 200 * time.Millisecond
	// callerKnownFor is how long a caller that was found waiting is not looked for
	// again before the request is sent.
	callerKnownFor = 20 * time.Millisecond
	// maxRefusals bounds how many targets may refuse one request.
	maxRefusals = 6
	// noTargetRetryAfter is the Retry-After of a request that no target could
	// take. Slots become free about every 100 ms.
	noTargetRetryAfter = 300 * time.Millisecond
)

var errCallerGone = errors.New("the caller closed its connection")

// forwarding is one request on its way through one or more targets.
type forwarding struct {
	server       *Server
	call         *call
	request      *targetcall.Request
	service      string
	stream       streams.Key // of a stream that its caller may take up again
	version      *string     // software version that targets must have; nil: any
	tried        map[string]bool
	executions   int // targets that may have run the request
	refusals     int // targets that refused the request without running it
	ctx          context.Context
	cancel       context.CancelCauseFunc
	caller       syscall.RawConn // connection of the caller; nil: unknown
	checkedAt    time.Time       // when the caller was last known to wait
	stopWatching func()
	target       *roster.Record    // target that has the request; nil: none
	timing       targetcall.Timing // of target's response
	sentAfter    time.Duration     // from the start until the request went to its last target
	headAfter    time.Duration     // from the start until the response header arrived
	slot         *slot             // at target; nil: none
	targetFailed bool              // the target failed or broke the connection
	subjects     *subjects         // nil: not computed yet
	parts        []quarantine.Ref  // nil: not computed yet
	known        assessment        // when the request was sent to target
	trial        *rpc.TrialRequest // under way; nil: none
	onTrial      bool              // the current run is a trial
	trialCrashes int               // crashes known when it began
	response     *targetcall.Response
	observed     bool // the exchange with target is counted as evidence on a rollout
}

// forward sends a request to a target and returns the response to the caller.
func (s *Server) forward(ctx *fasthttp.RequestCtx, c *call) {
	f := &forwarding{
		server:  s,
		call:    c,
		request: s.targetRequest(ctx, c),
		tried:   make(map[string]bool),
	}
	f.service = c.route.Pick(fraction(c.id))
	if c.route.Kind == routing.Stream && c.route.Resumable {
		f.stream = streams.KeyOf(c.workspaceName(), c.id)
	}
	deadlineCtx, cancelDeadline := context.WithDeadline(s.lifetime, c.deadline)
	var cancel context.CancelCauseFunc
	f.ctx, cancel = context.WithCancelCause(deadlineCtx)
	f.cancel = func(cause error) { cancel(cause); cancelDeadline() }
	f.caller = netpeek.RawConn(ctx.Conn())
	f.stopWatching = netpeek.WatchClosed(ctx.Conn(), callerCheckInterval, func() { f.cancel(errCallerGone) })
	failure := f.validate()
	if failure == nil {
		failure = f.prepare()
	}
	if failure == nil {
		failure = f.run(ctx)
	}
	if failure != nil {
		f.finish()
		if f.executions == 0 && f.refusals == 0 {
			s.tokens.giveBack(c)
		}
		s.refuse(ctx, c, failure)
	}
}

// validate refuses a request that no target may get: a value in it could end its line.
func (f *forwarding) validate() *outcome.Error {
	if err := f.request.Validate(); err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the request cannot be passed on: %v", err)
	}
	return nil
}

// prepare finds out where a stream began that the caller takes up again.
func (f *forwarding) prepare() *outcome.Error {
	if f.stream == streams.NoKey || f.request.LastEventID == 0 {
		return nil
	}
	return f.takeUp()
}

// finish releases everything that the request holds.
func (f *forwarding) finish() {
	f.stopWatching()
	f.endTrial()
	f.releaseTarget()
	f.cancel(nil)
	f.call.held.Release()
}

// releaseTarget ends the exchange with the target, if any, and releases its slot.
func (f *forwarding) releaseTarget() {
	if f.response != nil {
		f.response.Close()
		f.response = nil
	}
	if f.target != nil {
		f.server.slots.release(f.slot, f.targetFailed)
		f.target, f.slot, f.targetFailed = nil, nil, false
	}
}

// run obtains a response and writes it to the caller. A stream continues after
// run has returned and finishes the forwarding itself.
func (f *forwarding) run(ctx *fasthttp.RequestCtx) *outcome.Error {
	for {
		if failure := f.attempt(); failure != nil {
			return failure
		}
		if f.isStream() {
			f.startStream(ctx)
			return nil
		}
		body, taken, err := f.server.bodies.read(f.response)
		f.server.bodies.give(taken)
		if err == nil {
			f.noteAnswered()
			f.timing.Plain(time.Now())
			f.noteStatus(f.response.Status == http.StatusInternalServerError)
			if f.shouldRetryStatus(f.response.Status) {
				f.tried[f.target.ID] = true
				f.releaseTarget()
				continue
			}
			f.writeResponse(ctx, body)
			return nil
		}
		f.recordFailure(&targetcall.Failure{Outcome: outcome.MayHaveRun, Status: f.response.Status, Reason: "body: " + err.Error(),
			Closed: targetcall.IsClosed(err)})
		if failure := f.checkRetry(outcome.MayHaveRun); failure != nil {
			return failure
		}
	}
}

// isStream reports whether the response is forwarded event by event.
func (f *forwarding) isStream() bool {
	return f.response.IsEventStream() && f.response.Status == http.StatusOK
}

// shouldRetryStatus reports whether to retry on another target after a target
// answered with a failure of its own.
func (f *forwarding) shouldRetryStatus(status int) bool {
	if status != http.StatusInternalServerError || !f.call.route.Repeatable() || f.executions >= f.call.route.MaxAttempts {
		return false
	}
	f.server.metrics.retried.Inc(1)
	return true
}

// writeResponse writes a complete response to the caller and finishes the
// forwarding.
func (f *forwarding) writeResponse(ctx *fasthttp.RequestCtx, body []byte) {
	f.writeHeader(ctx)
	ctx.SetBody(body)
	f.logFinished(nil)
	f.finish()
}

func (f *forwarding) writeHeader(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(f.response.Status)
	connection := f.response.Header.Get("Connection")
	for name, values := range f.response.Header {
		if targetcall.IsHopByHop(name, connection) {
			continue
		}
		for _, value := range values {
			ctx.Response.Header.Add(name, value)
		}
	}
	f.headAfter = time.Since(f.call.started)
	f.server.metrics.kinds[f.call.route.Kind].firstByte.Update(ms(f.headAfter))
}

// logFinished logs and counts the end of an answered request.
func (f *forwarding) logFinished(failure error) {
	s := f.server
	elapsed := time.Since(f.call.started)
	s.metrics.answered(f.call.route.Kind, elapsed, failure == nil)
	target, version, status, fill := "", "", 0, 0
	if f.target != nil {
		target, version, fill = f.target.ID, f.target.Version, f.slot.total
	}
	if f.response != nil {
		status = f.response.Status
	}
	if failure == nil {
		s.follower.Targets.Succeeded(target)
		if f.target != nil {
			for _, trial := range s.crashes.targetLives(f.target, f.call.started) {
				s.suspects.endTrial(trial)
			}
		}
		if status < http.StatusMultipleChoices {
			f.noteCompleted()
			f.noteRun()
		}
	}
	s.log.Info("request_finished", "request", f.call.id, "route", f.call.route.Name, "workspace", f.call.workspaceName(),
		"document", f.call.table.Version(), "target", target, "version", version, "status", status, "runs", f.executions, "refused", f.refusals,
		"fill", fill, "sent_ms", ms(f.sentAfter), "first_ms", ms(f.headAfter), "after_ms", ms(elapsed), "error", failure)
}

// noteStatus records whether the target answered with a server error, for its next
// requests.
func (f *forwarding) noteStatus(serverError bool) {
	f.slot.serverError = serverError
	if f.server.follower.Targets.Responded(time.Now(), f.target.ID, serverError) {
		f.server.log.Info("target_avoided", "target", f.target.ID, "reason", "it answers with server errors")
	}
}

// noteRun records how fast the target was, for its next requests.
func (f *forwarding) noteRun() {
	if f.target == nil || f.response == nil {
		return
	}
	if run := f.timing.Report(f.target, f.slot.total, f.response.Load.PacePercent); run != nil {
		f.server.follower.Targets.ObserveRun(time.Now(), *run)
		f.slot.run = run
	}
}

// attempt sends the request to one target after another until one responds.
func (f *forwarding) attempt() *outcome.Error {
	for {
		if failure := f.checkCaller(); failure != nil {
			return failure
		}
		if failure := f.checkSuspicion(); failure != nil {
			return failure
		}
		if failure := f.beginTrial(); failure != nil {
			return failure
		}
		if failure := f.acquireTarget(); failure != nil {
			return failure
		}
		if failure := f.checkCaller(); failure != nil {
			f.releaseTarget()
			return failure
		}
		if failure := f.checkSuspicion(); failure != nil { // a verdict may have come while it waited
			f.releaseTarget()
			return failure
		}
		f.observed = false
		f.timing.Begin(time.Now())
		response, err := f.server.targetClient.Do(f.ctx, f.target, f.request)
		if err == nil {
			f.executions++
			f.response = response
			f.server.slots.reportLoad(f.slot, response.Load)
			return nil
		}
		var failure *targetcall.Failure
		if !errors.As(err, &failure) {
			failure = &targetcall.Failure{Outcome: outcome.MayHaveRun, Reason: err.Error()}
		}
		f.server.slots.reportLoad(f.slot, failure.Load)
		if failure.Outcome == outcome.NotRun {
			f.refusals++
		} else {
			f.executions++
		}
		f.recordFailure(failure)
		if final := f.checkRetry(failure.Outcome); final != nil {
			return final
		}
	}
}

// checkCaller returns a failure if nobody waits for the answer any more. A request
// may have waited for long before this process read it: while the process was frozen,
// its caller's deadline passed.
func (f *forwarding) checkCaller() *outcome.Error {
	if f.ctx.Err() != nil {
		return f.checkRetry(outcome.NotRun)
	}
	now := time.Now()
	if f.caller == nil || now.Sub(f.checkedAt) < callerKnownFor {
		return nil
	}
	f.checkedAt = now
	if !netpeek.PeerClosed(f.caller) {
		return nil
	}
	f.cancel(errCallerGone)
	return f.checkRetry(outcome.NotRun)
}

// acquireTarget acquires a slot at a target that can take the request.
func (f *forwarding) acquireTarget() *outcome.Error {
	s := f.server
	service := f.call.table.Service(f.service)
	query := placement.Query{Service: f.service, Exclude: f.tried, Version: f.version, Rollout: s.follower.Gate.Service(f.service)}
	if service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
		query.Tokens, query.Memory = f.call.tokens, service.KVCapacity
		s.absurdSizes.check(s.log, f.call, &query)
	}
	if f.version != nil && (!s.follower.Targets.HasVersion(f.service, *f.version) || s.follower.Gate.Bars(f.service, *f.version, true)) {
		return outcome.New(outcome.VersionGone, f.outcomeSoFar(), "no target of service %s runs version %s", f.service, *f.version).WithRetryAfter(noTargetRetryAfter)
	}
	acquired, failure := f.acquireSlot(service, query)
	for deadline := time.Now().Add(resumeGrantWait); failure != nil && f.awaitGrant(deadline); {
		acquired, failure = f.acquireSlot(service, query)
	}
	f.sentAfter = time.Since(f.call.started)
	if failure != nil {
		return failure.WithOutcome(f.outcomeSoFar())
	}
	if acquired.needsPreemption {
		s.preemptions.request(acquired.target.ID)
	}
	f.slot, f.target = acquired, acquired.target
	f.noteBegun()
	return nil
}

// acquireSlot acquires a slot for a request. Only model engines are shared with
// batch items, so requests to other services bypass the broker, unless a target has
// named a rate limit for all processes together.
//
// A stream that goes on has few targets to choose from, so it may wait in a longer
// queue, as a retry may.
func (f *forwarding) acquireSlot(service *routing.Service, q placement.Query) (*slot, *outcome.Error) {
	s := f.server
	request := &rpc.SlotRequest{
		DataCentre:  s.cfg.DataCentre,
		RemainingMS: time.Until(f.call.deadline).Milliseconds(),
		IsRetry:     f.call.isRetry || f.version != nil,
		IsSuspect:   f.known.isolate(),
		Stream:      f.stream,
		Version:     f.version,
		Workspace:   f.call.workspaceName(),
		Priority:    f.call.priority(),
		ObjectiveMS: f.call.objectiveMS(time.Now()),
		Tokens:      q.Tokens,
	}
	if (service == nil || service.Slots == 0) && f.stream == streams.NoKey && !s.follower.Targets.HasLimits(q.Service) {
		return s.slots.acquireDirectly(time.Now(), request, q)
	}
	return s.slots.acquire(f.ctx, request, q)
}

// outcomeSoFar returns whether any of the targets tried may have run the request.
func (f *forwarding) outcomeSoFar() outcome.Outcome {
	if f.executions > 0 {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// recordFailure logs a failed attempt, marks its target as failed unless it was
// merely busy, and releases it.
func (f *forwarding) recordFailure(failure *targetcall.Failure) {
	s := f.server
	f.tried[f.target.ID] = true
	f.noteFailed(failure)
	if !failure.IsBusy() && f.ctx.Err() == nil {
		f.targetFailed = true
		s.follower.Targets.Failed(time.Now(), f.target.ID)
	}
	s.log.Info("attempt_failed", "request", f.call.id, "target", f.target.ID, "addr", f.target.Addr, "outcome", failure.Outcome.String(),
		"status", failure.Status, "runs", f.executions, "refused", f.refusals, "after_ms", ms(time.Since(f.call.started)), "reason", failure.Reason)
	target := f.target
	f.releaseTarget()
	closed := failure.Closed && failure.Outcome != outcome.NotRun && f.ctx.Err() == nil
	if !closed {
		f.endTrial()
		return
	}
	trial := f.trial
	f.trial = nil // it lasts on: the target may have crashed, which may show later
	run := f.known.run(f.identify(), f.onTrial, f.trialCrashes, s.suspects.innocent.has)
	s.crashes.connectionClosed(f.ctx, &brokenRun{request: f.call.id, parts: f.call.parts, run: run, target: target, trial: trial, at: time.Now()})
}

// checkRetry returns nil if the request may be sent to another target, or the
// failure to return to the caller.
func (f *forwarding) checkRetry(last outcome.Outcome) *outcome.Error {
	switch {
	case errors.Is(context.Cause(f.ctx), errCallerGone):
		f.server.metrics.callersGone.Inc(1)
		return outcome.New(outcome.CallerGone, f.outcomeSoFar(), "the caller closed its connection")
	case errors.Is(context.Cause(f.ctx), errGatewayStops):
		return outcome.New(outcome.Draining, f.outcomeSoFar(), "this gateway stops before the answer has come").WithRetryAfter(minRetryAfter)
	case f.ctx.Err() != nil:
		return outcome.New(outcome.DeadlineExceeded, f.outcomeSoFar(), "no answer in time")
	case last == outcome.NotRun && f.refusals < maxRefusals:
		return nil
	case last == outcome.NotRun:
		return outcome.New(outcome.TargetBusy, f.outcomeSoFar(), "%d targets refused", f.refusals).WithRetryAfter(noTargetRetryAfter)
	case f.call.route.Repeatable() && f.executions < f.call.route.MaxAttempts:
		f.server.metrics.retried.Inc(1)
		return nil
	default:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "the target broke off")
	}
}
