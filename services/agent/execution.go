package agent

import (
	"context"
	"time"

	"banyanwalk/core/admission"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent/announce"
)

// execution is one attempt at one target.
type execution struct {
	agent  *Agent
	target *target
	open   *rpc.ExecuteOpen
	info   announce.Announcement
	ref    quarantine.Ref
	alone  bool // suspect: must have the target to itself

	slot        uint64
	sent        bool          // a byte may have reached the target
	incarnation uint64        // of the target's process, when the request was sent
	lost        chan struct{} // the watch on that process
	whole       bool
	status      int
	unread      bool // something follows the answer on the connection
	reusable    bool // the connection may carry another request
	tokens      int
	pace        time.Duration
}

// checkStanding refuses convicts and marks suspects.
func (x *execution) checkStanding() error {
	verdict := x.agent.cfg.Control.View().Verdict(x.open.Workspace, x.open.Digest)
	if x.open.Suspect {
		verdict = max(verdict, fleet.Suspect)
	}
	x.target.mu.Lock()
	standing := x.target.tracker.EffectiveSuspicion(x.agent.now(), x.ref, verdict)
	x.target.mu.Unlock()
	if standing == fleet.Convict {
		return outcome.New(outcome.Quarantined, outcome.NotRun, "the request has crashed targets")
	}
	x.alone = standing == fleet.Suspect
	return nil
}

// recheckStanding is checkStanding for a request that has waited. One that
// became a suspect meanwhile has a slot beside others, so it must not run.
func (x *execution) recheckStanding() error {
	alone := x.alone
	if err := x.checkStanding(); err != nil {
		return err
	}
	if x.alone && !alone {
		return outcome.New(outcome.TargetBusy, outcome.NotRun, "the request became a suspect while it waited").WithRetryAfter(time.Second)
	}
	return nil
}

// run waits for a slot, then carries the request to the target and its answer
// back.
func (x *execution) run(parent context.Context, out sink) error {
	ctx, preempt := context.WithCancelCause(parent)
	defer preempt(nil)
	stopDrop := context.AfterFunc(x.target.life, func() { preempt(errDropped) })
	defer stopDrop()
	stopAbort := context.AfterFunc(ctx, out.abort)
	defer stopAbort()
	arrived := time.Now()
	slot, err := x.target.admit(ctx, x.request(ctx), preempt)
	if err != nil {
		return err
	}
	x.slot = slot
	x.agent.counters.wait.UpdateSince(arrived)
	err = x.carry(ctx, out)
	x.target.release(slot, x.result(ctx, err))
	if err == nil {
		x.agent.counters.completed.Inc(1)
		x.agent.cfg.Log.Info("request_answered", "request", x.open.ID.RequestID, "attempt", x.open.ID.Attempt,
			"target", x.target.id, "workspace", x.open.Workspace, "status", x.status, "tokens", x.tokens,
			"ms", time.Since(arrived).Milliseconds())
	}
	return err
}

func (x *execution) request(ctx context.Context) admission.Request {
	r := admission.Request{Workspace: x.open.Workspace, Class: admissionClass(x.open.Class), Isolated: x.alone}
	r.NonPreemptible = x.open.Class == rpc.ClassBatch && !x.open.Idempotent
	deadline, _ := ctx.Deadline()
	r.StartBy = x.agent.now() + time.Until(deadline)
	return r
}

// carry sends the request and passes the answer on.
func (x *execution) carry(ctx context.Context, out sink) error {
	// The state may have changed while the request waited.
	if err := x.agent.admissible(x.open.ID); err != nil {
		return err
	}
	if err := x.recheckStanding(); err != nil {
		return err
	}
	conn, err := x.target.pool.Get(ctx)
	if err != nil {
		return x.notConnected(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = x.exchange(ctx, conn, out)
	if stop() && err == nil && x.reusable {
		x.target.pool.Put(conn)
		return nil
	}
	conn.Close()
	if err == nil || !x.sent {
		return err
	}
	return x.explain(ctx, outcome.From(err))
}

// notConnected is the end of a request that found no open port.
func (x *execution) notConnected(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.NotRun)
	}
	x.target.unreachable(err)
	return outcome.New(outcome.TargetFailed, outcome.NotRun, "connect to target %s: %v", x.target.id, err)
}

// explain finds the reason why an exchange failed after the request was sent.
func (x *execution) explain(ctx context.Context, e *outcome.Error) error {
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.MayHaveRun)
	}
	if e.Code == outcome.BadTargetAnswer {
		x.agent.counters.badAnswer.Inc(1)
		return e
	}
	if e.Code == outcome.TargetFailed && x.status < serverErrorStatus {
		x.target.settle(x.incarnation, x.lost)
	}
	return e
}

// result tells the gate how the request ended.
func (x *execution) result(ctx context.Context, err error) admission.Result {
	switch {
	case !x.sent:
		return admission.Result{Ending: admission.NotSent}
	case err == nil && x.whole:
		return admission.Result{Ending: admission.Succeeded, TimePerUnit: x.pace}
	case ctx.Err() != nil && !deadlinePassed(ctx):
		return admission.Result{Ending: admission.Cancelled}
	case err == nil:
		return admission.Result{Ending: admission.Failed}
	case outcome.IsCode(err, outcome.CallerGone):
		return admission.Result{Ending: admission.Cancelled}
	default:
		return admission.Result{Ending: admission.Failed}
	}
}

func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// begin marks the point from which the target may run the request. It fails
// with outcome NotRun if the request must not be sent after all.
func (x *execution) begin(out sink) error {
	if err := x.enter(); err != nil {
		return err
	}
	if !x.agent.markSent(x.open) {
		return outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "another attempt got to the target first")
	}
	if err := out.sent(); err != nil {
		return outcome.New(outcome.CallerGone, outcome.NotRun, "the caller left")
	}
	x.sent = true
	x.agent.counters.started.Inc(1)
	x.agent.cfg.Log.Debug("request_sent", "request", x.open.ID.RequestID, "attempt", x.open.ID.Attempt, "target", x.target.id)
	return nil
}

// enter records the request with the process that it goes to. It comes after
// the connection was made: if the watch still stands then, the connection is
// to the watched process, since no other can have had the port. A slot that
// was granted for an earlier process is void, as the next one may bear less.
func (x *execution) enter() error {
	x.target.mu.Lock()
	defer x.target.mu.Unlock()
	if x.target.down {
		return outcome.New(outcome.TargetFailed, outcome.NotRun, "target %s is down", x.target.id)
	}
	if x.target.tasks[x.slot].turn != x.target.turn || x.target.watchEnded() {
		refusal := outcome.New(outcome.TargetCold, outcome.NotRun, "target %s restarted after the slot was granted", x.target.id)
		return refusal.WithRetryAfter(time.Second)
	}
	x.incarnation, x.lost = x.target.info.Incarnation, x.target.lost
	x.target.tracker.Started(x.slot, x.ref, x.alone)
	return nil
}
