package gateway

import (
	"context"
	"time"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/retry"
	"banyanwalk/infra/rpc"
)

// dispatch carries one request through its attempts.
type dispatch struct {
	server      *Server
	call        *call
	slotRequest slotRequest
	attempts    int
	mayHaveRun  int  // failed attempts that a target may have received
	suspect     bool // was with a target that failed: runs alone
	slotUntil   time.Time
	resumeFrom  int  // tokens that the caller already has
	noTarget    bool // no slot was found, so waiting longer is no use
}

// answer is the head of an answer and either its whole body or, for a stream,
// the attempt that still delivers it.
type answer struct {
	head *rpc.ExecuteEvent
	body []byte
	live *attempt
}

func (s *Server) newDispatch(r *call) *dispatch {
	return &dispatch{
		server: s,
		call:   r,
		slotRequest: slotRequest{
			model:     r.model,
			workspace: r.workspace,
			weight:    r.weight,
			order:     s.targets.nextOrder(),
			avoid:     make(map[fleet.TargetID]struct{}),
		},
	}
}

// run makes attempts until one brings an answer or none may follow. The
// failure carries the outcome over all attempts.
func (d *dispatch) run(ctx context.Context) (*answer, *outcome.Error) {
	for {
		found, failure := d.attempt(ctx)
		if failure == nil {
			return found, nil
		}
		if final := d.after(failure); final != nil {
			return nil, final
		}
	}
}

// after decides what follows a failed attempt. It returns the failure to
// report, or nil when another attempt may be made.
func (d *dispatch) after(failure *outcome.Error) *outcome.Error {
	s := d.server
	if d.noTarget {
		return d.overall(failure)
	}
	if failure.Outcome != outcome.NotRun {
		d.mayHaveRun++
	}
	verdict := retry.Decide(retry.Request{
		Idempotent:  d.call.idempotent,
		MayHaveRun:  d.mayHaveRun,
		MaxAttempts: d.call.maxAttempts(),
		TimeLeft:    time.Until(d.call.deadline),
		TargetsLeft: d.targetsLeft(),
	}, failure)
	if verdict == retry.WithinBudget && !s.budget.TryRetry() {
		e := outcome.New(outcome.RetryBudgetSpent, outcome.MayHaveRun, "not retried: %s", failure.Message)
		return e.WithRetryAfter(retryAfterBusy)
	}
	if verdict != retry.GiveUp {
		s.metrics.retries.Inc(1)
		return nil
	}
	return d.overall(failure)
}

// overall raises the outcome of the last failure to that of all attempts.
func (d *dispatch) overall(failure *outcome.Error) *outcome.Error {
	if d.mayHaveRun > 0 && failure.Outcome == outcome.NotRun {
		failure = failure.WithOutcome(outcome.MayHaveRun)
	}
	if failure.RetryAfter == 0 && failure.Code.HTTPStatus() == 503 {
		failure = failure.WithRetryAfter(retryAfterBusy)
	}
	return failure
}

// targetsLeft counts the targets that the request may still go to.
func (d *dispatch) targetsLeft() int {
	left := 0
	for _, target := range d.server.cfg.State.View().TargetsFor(d.call.model) {
		if _, avoided := d.slotRequest.avoid[target.ID]; !avoided {
			left++
		}
	}
	return left
}

// attempt makes one attempt: the verdict, a slot, the agent, the answer.
func (d *dispatch) attempt(ctx context.Context) (*answer, *outcome.Error) {
	s, r := d.server, d.call
	switch s.cfg.State.View().Verdict(r.workspace, r.digest) {
	case fleet.Convict:
		return nil, outcome.New(outcome.Quarantined, outcome.NotRun, "this request has crashed targets")
	case fleet.Suspect:
		d.suspect = true
	}
	d.slotRequest.alone = d.suspect
	held, err := s.targets.acquire(ctx, &d.slotRequest, d.slotDeadline())
	if err != nil {
		d.noTarget = true
		return nil, outcome.From(err)
	}
	if withdrawn := r.checkKey(s.cfg.State.View()); withdrawn != nil {
		held.release(withdrawn)
		return nil, withdrawn
	}
	d.attempts++
	a, err := s.open(ctx, r, held, d.attempts, d.suspect, d.body())
	if err != nil {
		return nil, d.failed(held, outcome.From(err))
	}
	found, failure := a.answer(ctx)
	if failure != nil {
		a.end(failure)
		return nil, d.failed(held, failure)
	}
	return found, nil
}

// slotDeadline bounds the wait for a slot, over all attempts.
func (d *dispatch) slotDeadline() time.Time {
	if d.slotUntil.IsZero() {
		now := time.Now()
		q := d.server.targets.queue(d.call.model, d.slotRequest.kind())
		d.slotUntil = now.Add(q.patience(now))
	}
	return d.slotUntil
}

// failed notes which targets the next attempt avoids.
func (d *dispatch) failed(held *lease, failure *outcome.Error) *outcome.Error {
	switch failure.Code {
	case outcome.TargetBusy, outcome.TargetCold, outcome.Overloaded:
		// It may have a slot in a moment.
	default:
		d.slotRequest.avoid[held.target.ID] = struct{}{}
	}
	if failure.Outcome != outcome.NotRun {
		d.slotRequest.avoid[held.target.ID] = struct{}{}
		d.suspect = d.suspect || failure.Code == outcome.TargetFailed
	}
	d.server.cfg.Log.Info("attempt_failed", "request", d.call.id, "attempt", d.attempts,
		"target", string(held.target.ID), "code", failure.Code.Name(), "outcome", failure.Outcome.String())
	return failure
}

// body returns the request body, with the place to resume from.
func (d *dispatch) body() []byte {
	if d.resumeFrom == 0 {
		return d.call.body
	}
	return resumeBody(d.call.body, d.resumeFrom)
}

// answer waits for the head, and unless it streams for the whole answer.
func (a *attempt) answer(ctx context.Context) (*answer, *outcome.Error) {
	head, failure := a.recv(ctx)
	if failure != nil {
		return nil, failure
	}
	if streams(head) {
		return &answer{head: head, live: a}, nil
	}
	body, failure := a.collect(ctx)
	if failure != nil {
		return nil, failure
	}
	a.end(nil)
	return &answer{head: head, body: body}, nil
}

func (r *call) maxAttempts() int {
	if r.limits.MaxAttempts > 0 {
		return r.limits.MaxAttempts
	}
	return defaultMaxAttempts
}

func (r *call) retryRatio() float64 {
	if r.limits.RetryRatio > 0 {
		return r.limits.RetryRatio
	}
	return defaultRetryRatio
}
