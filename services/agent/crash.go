package agent

import (
	"context"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
)

const (
	// processExitWait is how long a request whose connection broke waits for the
	// watch connection to break too, which shows that the process has exited.
	processExitWait = 50 * time.Millisecond
	// crashReportWait bounds how long the requests that were in flight during a
	// crash are held until control has logged them as suspects. A retry of the
	// request that caused the crash, started before that, would share a second
	// target with other requests and could crash it as well.
	crashReportWait    = 500 * time.Millisecond
	crashReportTimeout = 30 * time.Second
)

// crash describes one crash of a target and the state of its report to control.
type crash struct {
	incarnation uint64
	reported    chan struct{} // closed once the report is sent or has failed
}

// recordCrash records the crash of an incarnation, once, and reports the requests
// that were in flight to control. The target receives no requests until it
// announces itself again.
func (t *target) recordCrash(incarnation uint64, reason string) *crash {
	t.mu.Lock()
	if t.crash != nil && t.crash.incarnation == incarnation {
		defer t.mu.Unlock()
		return t.crash
	}
	c := &crash{incarnation: incarnation, reported: make(chan struct{})}
	t.crash = c
	t.down = true
	t.epoch++
	report, found := t.tracker.Crashed(t.agent.now())
	t.apply(t.gate.ResetToCold(t.agent.now(), capacity(&t.info)))
	t.apply(t.gate.Close(outcome.TargetFailed))
	t.mu.Unlock()
	notify(t.agent.heartbeatDue)
	t.agent.counters.crashes.Inc(1)
	t.agent.cfg.Log.Warn("target_crashed", "target", t.id, "target_incarnation", incarnation,
		"reason", reason, "suspects", len(report.Suspects), "alone", report.Isolated)
	t.pool.CloseIdle()
	if !found {
		close(c.reported)
		return c
	}
	t.agent.background.Go(func() {
		defer close(c.reported)
		t.reportCrash(incarnation, report)
	})
	return c
}

func (t *target) reportCrash(incarnation uint64, r quarantine.Report) {
	message := rpc.CrashReport{
		Agent:       t.agent.cfg.Name,
		Target:      t.id,
		Incarnation: incarnation,
		Isolated:    r.Isolated,
	}
	for _, ref := range r.Suspects {
		message.Suspects = append(message.Suspects, rpc.SuspectRef{Workspace: ref.Workspace, Digest: ref.Digest})
	}
	ctx, cancel := context.WithTimeout(t.agent.targetsCtx, crashReportTimeout)
	defer cancel()
	if err := t.agent.cfg.Control.CallIdempotent(ctx, rpc.MethodReportCrash, &message, &rpc.Ack{}); err != nil {
		t.agent.cfg.Log.Error("crash_report_failed", "target", t.id, "error", err)
	}
}

// awaitCrashReport is called for a request whose connection broke. If the
// target's process has crashed, it waits up to crashReportWait for control to
// log the suspects. incarnation and watchBroken are the target's values from the
// time when the request was sent. It reports whether the process has crashed.
func (t *target) awaitCrashReport(incarnation uint64, watchBroken chan struct{}) bool {
	if watchBroken != nil && !closedWithin(watchBroken, processExitWait) {
		return false // only this connection broke
	}
	if watchBroken == nil && reachable(t.ctx, t.pool.Address()) {
		return false // the target still accepts connections
	}
	t.mu.Lock()
	c, current := t.crash, t.info.Incarnation
	t.mu.Unlock()
	if current == incarnation {
		c = t.recordCrash(incarnation, "connections broken")
	}
	if c == nil || c.incarnation != incarnation {
		return false
	}
	closedWithin(c.reported, crashReportWait)
	return true
}

// closedWithin waits for c to be closed and reports whether it was.
func closedWithin(c chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
		return true
	case <-timer.C:
		return false
	}
}
