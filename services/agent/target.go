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

// Causes for which the context of a request is cancelled: errPreempted when a
// batch item must give up its slot, errDropped when its target was dropped.
var (
	errPreempted = errors.New("preempted by online work")
	errDropped   = errors.New("target fell silent")
)

// target proxies requests to one target process. Its mutex serialises the
// decisions of the admission gate and the quarantine tracker; no I/O is done
// while it is held.
type target struct {
	agent  *Agent
	id     fleet.TargetID
	pool   *targetconn.Pool
	ctx    context.Context // cancelled when the target is dropped
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	info         announce.Announcement
	lastSeen     admission.Time
	gate         *admission.Gate
	tracker      *quarantine.Tracker
	slotRequests map[uint64]*slotRequest
	nextID       uint64
	timer        *time.Timer
	down         bool          // crashed and has not announced itself since
	watchConn    net.Conn      // the watch connection; nil before the first one
	watchBroken  chan struct{} // closed when the watch connection breaks; nil while there is none
	crash        *crash        // the last crash; nil if there was none
	epoch        uint64        // incremented when the process may have been replaced
}

// slotRequest is a request that waits for or holds a slot.
type slotRequest struct {
	decision chan admission.Action // Start or Refuse
	preempt  context.CancelCauseFunc
	epoch    uint64 // the target's epoch when the slot was granted
}

func newTarget(a *Agent, id fleet.TargetID, info announce.Announcement) *target {
	ctx, cancel := context.WithCancelCause(a.targetsCtx)
	t := &target{
		agent:        a,
		id:           id,
		pool:         targetconn.NewPool(info.Address, info.WarmCapacity),
		ctx:          ctx,
		cancel:       cancel,
		info:         info,
		lastSeen:     a.now(),
		gate:         admission.NewGate(a.cfg.Admission, capacity(&info)),
		tracker:      quarantine.NewTracker(),
		slotRequests: make(map[uint64]*slotRequest),
	}
	t.timer = time.AfterFunc(time.Hour, t.tick)
	return t
}

func capacity(info *announce.Announcement) admission.Capacity {
	return admission.Capacity{Warm: info.WarmCapacity, Cold: info.ColdCapacity, Warmup: info.WarmupRequests}
}

// admit waits for a slot and returns its ID, or an error with outcome NotRun.
// preempt is called when the slot must be given up.
func (t *target) admit(ctx context.Context, r admission.Request, preempt context.CancelCauseFunc) (uint64, error) {
	entry := &slotRequest{decision: make(chan admission.Action, 1), preempt: preempt}
	t.mu.Lock()
	t.nextID++
	r.ID = t.nextID
	t.slotRequests[r.ID] = entry
	t.apply(t.gate.Offer(t.agent.now(), r))
	t.mu.Unlock()
	select {
	case action := <-entry.decision:
		return r.ID, t.admissionError(action)
	case <-ctx.Done():
		return t.withdraw(ctx, r.ID, entry)
	}
}

func (t *target) admissionError(action admission.Action) error {
	if action.Kind == admission.Start {
		return nil
	}
	return outcome.New(action.Code, outcome.NotRun, "target %s has no slot", t.id).WithRetryAfter(action.RetryAfter)
}

// withdraw cancels a request whose context ended while it waited for a slot.
func (t *target) withdraw(ctx context.Context, id uint64, entry *slotRequest) (uint64, error) {
	t.mu.Lock()
	actions, waiting := t.gate.Withdraw(t.agent.now(), id)
	t.apply(actions)
	if waiting {
		delete(t.slotRequests, id)
	}
	t.mu.Unlock()
	if waiting {
		return 0, endedEarly(ctx, outcome.NotRun)
	}
	action := <-entry.decision
	if action.Kind == admission.Start {
		t.release(id, admission.Result{Ending: admission.NotSent})
	}
	return 0, endedEarly(ctx, outcome.NotRun)
}

// release returns a request's slot and records how the request ended.
func (t *target) release(id uint64, r admission.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.slotRequests, id)
	now := t.agent.now()
	if r.Ending == admission.NotSent {
		t.tracker.NotSent(id)
	} else {
		t.tracker.Ended(now, id, r.Ending == admission.Succeeded)
	}
	t.apply(t.gate.Done(now, id, r))
}

// apply carries out the gate's actions and schedules its next tick. The caller
// holds the mutex.
func (t *target) apply(actions []admission.Action) {
	for _, action := range actions {
		entry, found := t.slotRequests[action.ID]
		if !found {
			continue
		}
		switch action.Kind {
		case admission.Start:
			entry.epoch = t.epoch
			entry.decision <- action
		case admission.Refuse:
			delete(t.slotRequests, action.ID)
			entry.decision <- action
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

// close refuses waiting and new requests and preempts the running batch items.
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

// runningRequests returns how many requests are in flight at the target.
func (t *target) runningRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Running()
}

// announcement returns the target's latest announcement.
func (t *target) announcement() announce.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info
}

// describe returns the target as it is reported to control, and whether it is up.
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

// endedEarly returns the error of a request whose ctx ended before its response
// was complete.
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
