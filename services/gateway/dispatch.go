package gateway

import (
	"context"
	"time"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/retry"
	"banyanwalk/infra/rpc"
)

// dispatch is the retry loop of one request and its state across attempts.
type dispatch struct {
	server           *Server
	request          *inboundRequest
	slotRequest      slotRequest
	attempts         int
	crashed          int       // targets that crashed while they had the request
	mayHaveRun       int       // failed attempts that a target may have received and run
	suspect          bool      // may have crashed a target, so the next attempt runs alone on its target
	slotWaitEnd      time.Time // deadline for slot waits; zero before the first attempt
	resumeFromTokens int       // tokens already sent to the caller
	noSlot           bool      // the wait for a slot failed; a longer one would not help, so there is no retry
}

// response is the head of a response and either its complete body or, if it is
// streamed, the attempt that receives the rest.
type response struct {
	head   *rpc.ExecuteEvent
	body   []byte
	stream *attempt
}

func (s *Server) newDispatch(r *inboundRequest) *dispatch {
	return &dispatch{
		server:  s,
		request: r,
		slotRequest: slotRequest{
			model:     r.model,
			workspace: r.workspace,
			weight:    r.weight,
			order:     s.targets.nextOrder(),
			avoid:     make(map[fleet.TargetID]struct{}),
		},
	}
}

// run makes attempts until one returns a response or no retry is allowed. The
// returned failure carries the outcome over all attempts.
func (d *dispatch) run(ctx context.Context) (*response, *outcome.Error) {
	for {
		resp, failure := d.tryOnce(ctx)
		if failure == nil {
			return resp, nil
		}
		if final := d.decideRetry(failure); final != nil {
			return nil, final
		}
	}
}

// decideRetry decides whether to retry after a failed attempt. It returns nil for
// a retry, else the failure to report to the caller.
func (d *dispatch) decideRetry(failure *outcome.Error) *outcome.Error {
	s := d.server
	if d.noSlot {
		return d.finalFailure(failure)
	}
	if failure.Outcome != outcome.NotRun {
		d.mayHaveRun++
	}
	decision := retry.Decide(retry.Request{
		Idempotent:  d.request.idempotent,
		MayHaveRun:  d.mayHaveRun,
		Crashed:     d.crashed,
		MaxAttempts: d.request.maxAttempts(),
		TimeLeft:    time.Until(d.request.deadline),
		TargetsLeft: d.targetsLeft(),
	}, failure)
	if decision == retry.WithinBudget && !s.retryBudget.TryRetry() {
		e := outcome.New(outcome.RetryBudgetSpent, outcome.MayHaveRun, "not retried: %s", failure.Message)
		return e.WithRetryAfter(retryAfterBusy)
	}
	if decision != retry.GiveUp {
		s.metrics.retries.Inc(1)
		return nil
	}
	return d.finalFailure(failure)
}

// finalFailure returns the failure to report after the last attempt: its outcome
// is MayHaveRun if any attempt may have run, and a 503 carries a Retry-After.
func (d *dispatch) finalFailure(failure *outcome.Error) *outcome.Error {
	if d.mayHaveRun > 0 && failure.Outcome == outcome.NotRun {
		failure = failure.WithOutcome(outcome.MayHaveRun)
	}
	if failure.RetryAfter == 0 && failure.Code.HTTPStatus() == 503 {
		failure = failure.WithRetryAfter(retryAfterBusy)
	}
	return failure
}

// targetsLeft returns the number of targets that the request may still try.
func (d *dispatch) targetsLeft() int {
	left := 0
	for _, target := range d.server.cfg.State.View().TargetsFor(d.request.model) {
		if _, avoided := d.slotRequest.avoid[target.ID]; !avoided {
			left++
		}
	}
	return left
}

// tryOnce makes one attempt: it checks for quarantine, acquires a slot, sends the
// request to the agent and reads the response. It checks the key again after the
// wait for the slot, during which the key may have been revoked.
func (d *dispatch) tryOnce(ctx context.Context) (*response, *outcome.Error) {
	s, r := d.server, d.request
	switch s.cfg.State.View().Verdict(r.workspace, r.digest) {
	case quarantine.Quarantined:
		return nil, outcome.New(outcome.Quarantined, outcome.NotRun, "this request has crashed targets")
	case quarantine.Suspect:
		d.suspect = true
	}
	d.slotRequest.isolated = d.suspect
	l, err := s.targets.acquire(ctx, &d.slotRequest, d.slotDeadline())
	if err != nil {
		d.noSlot = true
		return nil, outcome.From(err)
	}
	if revoked := r.checkKey(s.cfg.State.View()); revoked != nil {
		l.release(revoked)
		return nil, revoked
	}
	d.attempts++
	a, err := s.startAttempt(ctx, r, l, d.attempts, d.suspect, d.body())
	if err != nil {
		return nil, d.recordFailure(l, outcome.From(err))
	}
	resp, failure := a.readResponse(ctx)
	if failure != nil {
		a.finish(failure)
		return nil, d.recordFailure(l, failure)
	}
	return resp, nil
}

// slotDeadline returns the deadline for slot waits, which all attempts share.
func (d *dispatch) slotDeadline() time.Time {
	if d.slotWaitEnd.IsZero() {
		now := time.Now()
		q := d.server.targets.queue(d.request.model, d.slotRequest.kind())
		d.slotWaitEnd = now.Add(q.waitLimit(now))
	}
	return d.slotWaitEnd
}

// recordFailure logs a failed attempt and adds its target to those that the next
// attempt avoids, unless the target only lacked a slot.
func (d *dispatch) recordFailure(l *lease, failure *outcome.Error) *outcome.Error {
	switch failure.Code {
	case outcome.TargetBusy, outcome.TargetCold, outcome.Overloaded:
		// The target may soon have a free slot.
	default:
		d.slotRequest.avoid[l.target.ID] = struct{}{}
	}
	if failure.Outcome != outcome.NotRun {
		d.slotRequest.avoid[l.target.ID] = struct{}{}
		d.suspect = d.suspect || failure.Code.IsTargetFailure()
	}
	if failure.Code == outcome.TargetCrashed {
		d.crashed++
	}
	d.server.cfg.Log.Info("attempt_failed", "request", d.request.id, "attempt", d.attempts,
		"target", string(l.target.ID), "code", failure.Code.Name(), "outcome", failure.Outcome.String())
	return failure
}

// body returns the request body to send, with the position to resume from if the
// caller already has tokens.
func (d *dispatch) body() []byte {
	if d.resumeFromTokens == 0 {
		return d.request.body
	}
	return resumeBody(d.request.body, d.resumeFromTokens)
}

// readResponse waits for the response head and, unless the response is an event
// stream, for the complete body.
func (a *attempt) readResponse(ctx context.Context) (*response, *outcome.Error) {
	head, failure := a.recv(ctx)
	if failure != nil {
		return nil, failure
	}
	if isEventStream(head) {
		return &response{head: head, stream: a}, nil
	}
	body, failure := a.readBody(ctx)
	if failure != nil {
		return nil, failure
	}
	a.finish(nil)
	return &response{head: head, body: body}, nil
}

func (r *inboundRequest) maxAttempts() int {
	if r.limits.MaxAttempts > 0 {
		return r.limits.MaxAttempts
	}
	return defaultMaxAttempts
}

func (r *inboundRequest) retryRatio() float64 {
	if r.limits.RetryRatio > 0 {
		return r.limits.RetryRatio
	}
	return defaultRetryRatio
}
