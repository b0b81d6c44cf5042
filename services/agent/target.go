package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/admission"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/targetconn"
	"banyanwalk/services/agent/announce"
)

// errPreempted is the cause of a context that ends because a batch item gives
// its slot up; errDropped of one whose target is gone.
var (
	errPreempted = errors.New("preempted by online work")
	errDropped   = errors.New("target fell silent")
)

// target guards one back end. Its mutex orders the decisions of its gate and
// tracker; no I/O is done under it.
type target struct {
	agent *Agent
	id    fleet.TargetID
	pool  *targetconn.Pool
	life  context.Context // until the target is dropped
	drop  context.CancelCauseFunc

	mu       sync.Mutex
	info     announce.Announcement
	lastSeen admission.Time
	gate     *admission.Gate
	tracker  *quarantine.Tracker
	tasks    map[uint64]*task
	nextID   uint64
	timer    *time.Timer
	down     bool          // refuses connections, until it announces itself again
	watched  net.Conn      // the watch connection; nil before the first one
	lost     chan struct{} // closed when the watch connection broke; nil while there is none
	crash    *crash        // the last one
	turn     uint64        // counts the signs that the process may have been replaced
}

// task is one request that waits for or holds a slot.
type task struct {
	verdict chan admission.Action // Start or Refuse
	preempt context.CancelCauseFunc
	turn    uint64 // of the target when the slot was granted
}

func newTarget(a *Agent, id fleet.TargetID, info announce.Announcement) *target {
	life, drop := context.WithCancelCause(a.life)
	t := &target{
		agent:    a,
		id:       id,
		pool:     targetconn.NewPool(info.Address, info.WarmCapacity),
		life:     life,
		drop:     drop,
		info:     info,
		lastSeen: a.now(),
		gate:     admission.NewGate(a.cfg.Admission, capacity(&info)),
		tracker:  quarantine.NewTracker(),
		tasks:    make(map[uint64]*task),
	}
	t.timer = time.AfterFunc(time.Hour, t.tick)
	return t
}

func capacity(info *announce.Announcement) admission.Capacity {
	return admission.Capacity{Warm: info.WarmCapacity, Cold: info.ColdCapacity, Warmup: info.WarmupRequests}
}

// admit waits for a slot. It returns the slot's number, or an error with
// outcome NotRun. preempt is called when the slot must be given up.
func (t *target) admit(ctx context.Context, r admission.Request, preempt context.CancelCauseFunc) (uint64, error) {
	entry := &task{verdict: make(chan admission.Action, 1), preempt: preempt}
	t.mu.Lock()
	t.nextID++
	r.ID = t.nextID
	t.tasks[r.ID] = entry
	t.apply(t.gate.Offer(t.agent.now(), r))
	t.mu.Unlock()
	select {
	case action := <-entry.verdict:
		return r.ID, t.admitted(action)
	case <-ctx.Done():
		return t.withdraw(ctx, r.ID, entry)
	}
}

func (t *target) admitted(action admission.Action) error {
	if action.Kind == admission.Start {
		return nil
	}
	return outcome.New(action.Code, outcome.NotRun, "target %s has no slot", t.id).WithRetryAfter(action.RetryAfter)
}

// withdraw takes back a request whose caller left while it waited.
func (t *target) withdraw(ctx context.Context, id uint64, entry *task) (uint64, error) {
	t.mu.Lock()
	actions, waiting := t.gate.Withdraw(t.agent.now(), id)
	t.apply(actions)
	if waiting {
		delete(t.tasks, id)
	}
	t.mu.Unlock()
	if waiting {
		return 0, endedEarly(ctx, outcome.NotRun)
	}
	action := <-entry.verdict
	if action.Kind == admission.Start {
		t.release(id, admission.Result{Ending: admission.NotSent})
	}
	return 0, endedEarly(ctx, outcome.NotRun)
}

// release ends a request that held a slot.
func (t *target) release(id uint64, r admission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tasks, id)
	now := t.agent.now()
	if r.Ending == admission.NotSent {
		t.tracker.NotSent(id)
	} else {
		t.tracker.Ended(now, id, r.Ending == admission.Succeeded)
	}
	t.apply(t.gate.Done(now, id, r))
}

// apply carries out the gate's actions and sets the next tick. The caller
// holds the mutex.
func (t *target) apply(actions []admission.Action) {
	for _, action := range actions {
		entry, found := t.tasks[action.ID]
		if !found {
			continue
		}
		switch action.Kind {
		case admission.Start:
			entry.turn = t.turn
			entry.verdict <- action
		case admission.Refuse:
			delete(t.tasks, action.ID)
			entry.verdict <- action
		case admission.Preempt:
			t.agent.counters.preempted.Inc(1)
			entry.preempt(errPreempted)
		}
	}
	now := t.agent.now()
	if at, found := t.gate.NextTick(now); found {
		t.timer.Reset(max(0, at-now))
	}
	if t.gate.Spare(now) > 0 {
		notify(t.agent.changed)
	}
}

func (t *target) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Tick(t.agent.now()))
}

// close refuses what waits and what comes; running batch items are preempted.
func (t *target) close(code outcome.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.gate.Close(code))
}

// spare returns how many batch items may start now.
func (t *target) spare() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Spare(t.agent.now())
}

// runningRequests returns how many requests are at the target.
func (t *target) runningRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Running()
}

// announced returns the target's newest announcement.
func (t *target) announced() announce.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info
}

// describe returns the target as control knows it, and false while it is down.
func (t *target) describe() (fleet.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fleet.Target{
		ID:               t.id,
		AgentAddr:        *t.agent.addr.Load(),
		AgentIncarnation: t.agent.incarnation,
		DataCentre:       t.agent.cfg.DataCentre,
		Model:            t.info.Model,
		Kind:             t.info.Kind,
		Incarnation:      t.info.Incarnation,
		WarmCapacity:     t.info.WarmCapacity,
		ColdCapacity:     t.info.ColdCapacity,
		Leaving:          t.info.Leaving || t.agent.draining.Load(),
	}, !t.down
}

// endedEarly describes why ctx ended before a request was answered.
func endedEarly(ctx context.Context, o outcome.Outcome) *outcome.Error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errPreempted):
		return outcome.New(outcome.Preempted, o, "gave its slot to online work")
	case errors.Is(cause, errDropped):
		return outcome.New(outcome.TargetFailed, o, "target fell silent")
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.New(outcome.DeadlineExceeded, o, "the deadline passed at the agent")
	default:
		return outcome.New(outcome.CallerGone, o, "the caller left")
	}
}
