package agent

import (
	"context"
	"time"

	"banyanwalk/core/admission"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent/announce"
)

// execution is the state of one request attempt on one target.
type execution struct {
	agent    *Agent
	target   *target
	open     *rpc.ExecuteOpen
	info     announce.Announcement
	ref      quarantine.Ref
	isolated bool // a suspect: must not share the target with other requests

	slot         uint64
	sent         bool          // the target may have received some of the request
	incarnation  uint64        // of the target's process when the request was sent
	watchBroken  chan struct{} // closed when the watch connection to that process broke
	complete     bool
	status       int
	trailingData bool // the connection carried more data after the response
	reusable     bool // the connection may carry another request
	tokens       int
	timePerUnit  time.Duration
}

// checkQuarantine refuses requests that are known to crash targets and isolates
// those that are suspected of it.
func (x *execution) checkQuarantine() error {
	verdict := x.agent.cfg.Control.View().Verdict(x.open.Workspace, x.open.Digest)
	if x.open.Suspect {
		verdict = max(verdict, quarantine.Suspect)
	}
	x.target.mu.Lock()
	level := x.target.tracker.EffectiveSuspicion(x.agent.now(), x.ref, verdict)
	x.target.mu.Unlock()
	if level == quarantine.Quarantined {
		return outcome.New(outcome.Quarantined, outcome.NotRun, "the request has crashed targets")
	}
	x.isolated = level == quarantine.Suspect
	return nil
}

// recheckQuarantine repeats checkQuarantine for a request that has waited for its
// slot. A request that became a suspect meanwhile is refused, because its slot
// is shared with other requests.
func (x *execution) recheckQuarantine() error {
	wasIsolated := x.isolated
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	if x.isolated && !wasIsolated {
		return outcome.New(outcome.TargetBusy, outcome.NotRun, "the request became a suspect while it waited").WithRetryAfter(time.Second)
	}
	return nil
}

// run waits for a slot, sends the request to the target and forwards the
// response.
func (x *execution) run(parent context.Context, out sink) error {
	ctx, preempt := context.WithCancelCause(parent)
	defer preempt(nil)
	stopDrop := context.AfterFunc(x.target.ctx, func() { preempt(errDropped) })
	defer stopDrop()
	stopAbort := context.AfterFunc(ctx, out.abort)
	defer stopAbort()
	arrived := time.Now()
	slot, err := x.target.admit(ctx, x.admissionRequest(ctx), preempt)
	if err != nil {
		return err
	}
	x.slot = slot
	x.agent.counters.slotWait.UpdateSince(arrived)
	err = x.dispatch(ctx, out)
	x.target.release(slot, x.admissionResult(ctx, err))
	if err == nil {
		x.agent.counters.completed.Inc(1)
		x.agent.cfg.Log.Info("request_answered", "request", x.open.ID.RequestID, "attempt", x.open.ID.Attempt,
			"target", x.target.id, "workspace", x.open.Workspace, "status", x.status, "tokens", x.tokens,
			"ms", time.Since(arrived).Milliseconds())
	}
	return err
}

func (x *execution) admissionRequest(ctx context.Context) admission.Request {
	r := admission.Request{Workspace: x.open.Workspace, Class: admissionClass(x.open.Class), Isolated: x.isolated}
	r.NonPreemptible = x.open.Class == rpc.ClassBatch && !x.open.Idempotent
	deadline, _ := ctx.Deadline()
	r.StartBy = x.agent.now() + time.Until(deadline)
	return r
}

// dispatch sends the request and forwards the response. The request holds a slot.
func (x *execution) dispatch(ctx context.Context, out sink) error {
	// The view of the fleet may have changed while the request waited.
	if err := x.agent.checkAdmissible(x.open.ID); err != nil {
		return err
	}
	if err := x.recheckQuarantine(); err != nil {
		return err
	}
	conn, err := x.target.pool.Get(ctx)
	if err != nil {
		return x.connectError(ctx, err)
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
	return x.classifyFailure(ctx, outcome.From(err))
}

// connectError returns the error of a request whose connection to the target
// could not be opened.
func (x *execution) connectError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.NotRun)
	}
	x.target.handleDialFailure(err)
	return outcome.New(outcome.TargetFailed, outcome.NotRun, "connect to target %s: %v", x.target.id, err)
}

// classifyFailure determines why an exchange failed after the request was sent.
// If the target may have crashed, it waits for the crash report first.
func (x *execution) classifyFailure(ctx context.Context, e *outcome.Error) error {
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.MayHaveRun)
	}
	if e.Code == outcome.BadTargetResponse {
		x.agent.counters.invalidResponses.Inc(1)
		return e
	}
	if e.Code == outcome.TargetFailed && x.status < serverErrorStatus && x.target.awaitCrashReport(x.incarnation, x.watchBroken) {
		return outcome.New(outcome.TargetCrashed, e.Outcome, "%s", e.Message)
	}
	return e
}

// admissionResult returns how the request ended, for the admission gate.
func (x *execution) admissionResult(ctx context.Context, err error) admission.Result {
	switch {
	case !x.sent:
		return admission.Result{Ending: admission.NotSent}
	case err == nil && x.complete:
		return admission.Result{Ending: admission.Succeeded, TimePerUnit: x.timePerUnit}
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

// beginSend marks the point from which the target may run the request. It returns
// an error if the request must not be sent after all.
func (x *execution) beginSend(out sink) error {
	if err := x.bindToProcess(); err != nil {
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

// bindToProcess registers the request with the target process that will receive
// it. It is called after the connection was opened: if the watch connection is
// still open then, both lead to the same process, since no other process can
// have had the port in between. A slot that was granted for an earlier process
// is refused, because the new process may be cold and have less capacity.
func (x *execution) bindToProcess() error {
	x.target.mu.Lock()
	defer x.target.mu.Unlock()
	if x.target.down {
		return outcome.New(outcome.TargetFailed, outcome.NotRun, "target %s is down", x.target.id)
	}
	if x.target.slotRequests[x.slot].epoch != x.target.epoch || x.target.watchedProcessEnded() {
		refusal := outcome.New(outcome.TargetCold, outcome.NotRun, "target %s restarted after the slot was granted", x.target.id)
		return refusal.WithRetryAfter(time.Second)
	}
	x.incarnation, x.watchBroken = x.target.info.Incarnation, x.target.watchBroken
	x.target.tracker.Started(x.slot, x.ref, x.isolated)
	return nil
}
