package agent

import (
	"context"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
)

const (
	// settleWait is how long a request whose connection broke waits for the
	// sign that the whole process is gone.
	settleWait = 50 * time.Millisecond
	// reportWait bounds how long the requests of a crash are held until
	// control has logged the suspects. A retry that starts before that could
	// take a second target down beside innocent requests.
	reportWait    = 500 * time.Millisecond
	reportTimeout = 30 * time.Second
)

// crash is one crash of a target and its report to control.
type crash struct {
	incarnation uint64
	reported    chan struct{} // closed once control has it, or has been tried for long
}

// noteCrash records the end of an incarnation, once, and reports what was at
// the target. The target gets nothing until it announces itself again.
func (t *target) noteCrash(incarnation uint64, reason string) *crash {
	t.mu.Lock()
	if t.crash != nil && t.crash.incarnation == incarnation {
		defer t.mu.Unlock()
		return t.crash
	}
	c := &crash{incarnation: incarnation, reported: make(chan struct{})}
	t.crash = c
	t.down = true
	t.turn++
	report, found := t.tracker.Crashed(t.agent.now())
	t.apply(t.gate.ResetToCold(t.agent.now(), capacity(&t.info)))
	t.apply(t.gate.Close(outcome.TargetFailed))
	t.mu.Unlock()
	notify(t.agent.beat)
	t.agent.counters.crashes.Inc(1)
	t.agent.cfg.Log.Warn("target_crashed", "target", t.id, "target_incarnation", incarnation,
		"reason", reason, "suspects", len(report.Suspects), "alone", report.Isolated)
	t.pool.CloseIdle()
	if !found {
		close(c.reported)
		return c
	}
	t.agent.work.Go(func() {
		defer close(c.reported)
		t.report(incarnation, report)
	})
	return c
}

func (t *target) report(incarnation uint64, r quarantine.Report) {
	message := rpc.CrashReport{
		Agent:       t.agent.cfg.Name,
		Target:      t.id,
		Incarnation: incarnation,
		Alone:       r.Isolated,
	}
	for _, ref := range r.Suspects {
		message.Suspects = append(message.Suspects, rpc.SuspectRef{Workspace: ref.Workspace, Digest: ref.Digest})
	}
	ctx, cancel := context.WithTimeout(t.agent.life, reportTimeout)
	defer cancel()
	if err := t.agent.cfg.Control.CallAgain(ctx, rpc.MethodReportCrash, &message, &rpc.Ack{}); err != nil {
		t.agent.cfg.Log.Error("crash_report_failed", "target", t.id, "error", err)
	}
}

// settle is called by a request whose connection broke. If the target's
// process is gone, it returns after the suspects are logged, within bounds.
// incarnation and lost are those of the moment when the request was sent.
func (t *target) settle(incarnation uint64, lost chan struct{}) {
	if lost != nil && !closedWithin(lost, settleWait) {
		return // only this connection broke
	}
	if lost == nil && reachable(t.life, t.pool.Address()) {
		return // there is no sign of a crash
	}
	t.mu.Lock()
	c, current := t.crash, t.info.Incarnation
	t.mu.Unlock()
	if current == incarnation {
		c = t.noteCrash(incarnation, "connections broken")
	}
	if c != nil {
		closedWithin(c.reported, reportWait)
	}
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
