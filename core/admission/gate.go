package admission

import (
	"slices"
	"time"

	"banyanwalk/core/outcome"
)

// minQueue is the least capacity of the online queue, in requests.
const minQueue = 8

// Gate is the admission controller of one target. It is not safe for concurrent
// use.
type Gate struct {
	cfg                 Config
	window              window
	slowdown            slowdownDetector
	load                load
	queue               queue
	isolation           isolation
	running             map[uint64]*slot
	onlineByWorkspace   map[string]int // running online requests per workspace
	startSeq            uint64         // number of requests started so far
	preemptible         int            // running batch items that can be preempted
	nonPreemptible      int            // running batch items that cannot be preempted
	preempting          int            // preempted batch items whose Done is still to come
	heldUntil           []Time         // when slots of ended requests that the target may still be running are released, ascending
	batchHoldoffUntil   Time           // no batch item starts before this time
	consecutiveFailures int
	closeCode           outcome.Code // if not 0, every request is refused with this code
}

// slot is one running request.
type slot struct {
	request   Request
	startSeq  uint64
	epoch     uint64 // of the window when the request started
	preempted bool
}

// NewGate returns the gate of a target that has just started and is cold.
func NewGate(cfg Config, c Capacity) *Gate {
	return &Gate{
		cfg:               cfg.withDefaults(),
		window:            newWindow(c),
		running:           make(map[uint64]*slot),
		onlineByWorkspace: make(map[string]int),
	}
}

// Limit returns how many requests may run at the target now.
func (g *Gate) Limit() int {
	if g.consecutiveFailures >= g.cfg.FailThreshold {
		return 1 // probe with a single request until one succeeds
	}
	return g.window.limit()
}

// Running returns the number of in-flight requests.
func (g *Gate) Running() int { return len(g.running) }

// RunningOnline returns the number of in-flight online requests.
func (g *Gate) RunningOnline() int {
	return len(g.running) - g.preemptible - g.nonPreemptible - g.preempting
}

// Waiting returns the number of queued requests, suspects included.
func (g *Gate) Waiting() int { return g.queue.size + len(g.isolation.pending) }

// Warm reports whether the target has warmed up.
func (g *Gate) Warm() bool { return g.window.warm() }

// Offer asks for a slot. The request is started, refused or queued.
func (g *Gate) Offer(now Time, r Request) []Action {
	if g.closeCode != 0 {
		return []Action{{Kind: Refuse, ID: r.ID, Code: g.closeCode}}
	}
	if r.Class == Batch {
		return g.offerBatch(now, r)
	}
	if r.Isolated {
		return g.offerIsolated(now, r)
	}
	r.StartBy = min(r.StartBy, now+g.cfg.MaxWait)
	var actions []Action
	if g.queue.size >= max(minQueue, g.cfg.QueueFactor*g.window.capacity.Warm) {
		victim, found := g.queue.evict(r.Workspace)
		if !found {
			return []Action{g.refuseBusy(r.ID)}
		}
		actions = append(actions, g.refuseBusy(victim.ID))
	}
	g.queue.push(r)
	return append(actions, g.schedule(now)...)
}

func (g *Gate) offerBatch(now Time, r Request) []Action {
	if g.Spare(now) < 1 || (r.Isolated && len(g.running)+len(g.heldUntil) > 0) {
		return []Action{g.refuseBusy(r.ID)}
	}
	if r.NonPreemptible && g.nonPreemptible >= max(1, g.Limit()/nonPreemptibleDivisor) {
		return []Action{g.refuseBusy(r.ID)}
	}
	return []Action{g.start(r)}
}

// Done records the end of a started request and frees its slot.
func (g *Gate) Done(now Time, id uint64, result Result) []Action {
	s, found := g.running[id]
	if !found {
		return nil
	}
	delete(g.running, id)
	g.isolation.finish(now, id, g.queue.size > 0)
	switch {
	case s.request.Class == Online:
		g.countOnline(s.request.Workspace, -1)
	case s.request.NonPreemptible:
		g.nonPreemptible--
	case s.preempted:
		g.preempting--
	default:
		g.preemptible--
	}
	g.recordResult(now, s, result)
	return g.schedule(now)
}

func (g *Gate) recordResult(now Time, s *slot, result Result) {
	switch result.Ending {
	case Succeeded:
		g.consecutiveFailures = 0
		g.window.success(s.epoch)
		if s.epoch == g.window.epoch && g.slowdown.add(result.TimePerUnit, len(g.running)+1) {
			g.resetToCold()
		}
	case Failed:
		g.consecutiveFailures++
		if g.consecutiveFailures == g.cfg.FailThreshold {
			g.resetToCold()
		}
	case Cancelled, NotSent:
	}
	if !g.window.warm() && (result.Ending == Failed || result.Ending == Cancelled) {
		g.heldUntil = append(g.heldUntil, now+g.cfg.CancelGrace)
	}
}

// Withdraw removes a queued request whose caller disconnected. It reports
// whether the request was queued.
func (g *Gate) Withdraw(now Time, id uint64) ([]Action, bool) {
	found := g.queue.remove(id) || g.isolation.remove(id)
	return g.schedule(now), found
}

// Tick applies timeouts: overdue requests are refused, and slots that cancelled
// requests occupied are reused.
func (g *Gate) Tick(now Time) []Action { return g.schedule(now) }

// ResetToCold returns the target to its cold capacity, as after a start, a crash, a
// refused connection or a new incarnation.
func (g *Gate) ResetToCold(now Time, c Capacity) []Action {
	g.window.resize(c)
	g.consecutiveFailures = 0
	g.resetToCold()
	return g.schedule(now)
}

func (g *Gate) resetToCold() {
	g.window.reset()
	g.slowdown.reset()
}

// ConfirmIncarnation applies an announcement of the same incarnation and ends
// LimitToCold.
func (g *Gate) ConfirmIncarnation(now Time, c Capacity) []Action {
	g.window.resize(c)
	g.window.unconfirmed = false
	return g.schedule(now)
}

// LimitToCold limits the target to its cold capacity until
// ConfirmIncarnation or ResetToCold, because its process may have been replaced.
func (g *Gate) LimitToCold(now Time) []Action {
	g.window.unconfirmed = true
	return g.schedule(now)
}

// Close refuses all queued and all new requests with the given code. Running
// requests continue, except that preemptible batch items are preempted.
func (g *Gate) Close(code outcome.Code) []Action {
	g.closeCode = code
	var actions []Action
	waiting := g.queue.take(func(Request) bool { return true })
	waiting = append(waiting, g.isolation.pending...)
	g.isolation.pending = nil
	for _, r := range waiting {
		actions = append(actions, Action{Kind: Refuse, ID: r.ID, Code: code})
	}
	return append(actions, g.preemptAll(true)...)
}

// Reopen accepts requests again after Close.
func (g *Gate) Reopen() { g.closeCode = 0 }

// Closed reports whether the gate refuses all requests.
func (g *Gate) Closed() bool { return g.closeCode != 0 }

// NextTick returns when Tick must next be called; false if it need not be.
func (g *Gate) NextTick(now Time) (Time, bool) {
	next, found := g.queue.earliest()
	consider := func(t Time) {
		if !found || t < next {
			next, found = t, true
		}
	}
	for _, r := range g.isolation.pending {
		consider(r.StartBy)
	}
	if len(g.isolation.pending) > 0 && g.isolation.blockNotBefore > now {
		consider(g.isolation.blockNotBefore)
	}
	if len(g.heldUntil) > 0 {
		consider(g.heldUntil[0])
	}
	if g.batchHoldoffUntil > now {
		consider(g.batchHoldoffUntil)
	}
	return next, found
}

// schedule starts and preempts requests until no more can start and no
// preemptible batch item occupies a slot that an online request waits for.
func (g *Gate) schedule(now Time) []Action {
	for len(g.heldUntil) > 0 && g.heldUntil[0] <= now {
		g.heldUntil = slices.Delete(g.heldUntil, 0, 1)
	}
	if g.closeCode != 0 {
		return nil
	}
	actions := g.expire(now)
	actions = append(actions, g.scheduleIsolated(now)...)
	if g.isolation.blocksStarts() {
		return actions
	}
	for g.queue.size > 0 {
		if g.occupied() >= g.Limit() {
			g.batchHoldoffUntil = now + g.cfg.BatchHoldoff
			if g.preemptible == 0 {
				break
			}
			actions = append(actions, g.preemptNewest())
			continue
		}
		r := g.queue.pop(func(workspace string) int { return g.onlineByWorkspace[workspace] })
		actions = append(actions, g.start(r))
	}
	for g.occupied() > g.Limit() && g.preemptible > 0 {
		actions = append(actions, g.preemptNewest())
	}
	g.load.recordOwn(now, len(g.running))
	return actions
}

func (g *Gate) expire(now Time) []Action {
	var actions []Action
	for _, r := range g.queue.take(func(r Request) bool { return r.StartBy <= now }) {
		actions = append(actions, g.refuseBusy(r.ID))
	}
	for _, r := range g.isolation.expire(now) {
		actions = append(actions, g.refuseBusy(r.ID))
	}
	return actions
}

// refuseBusy refuses a request because no slot is free.
func (g *Gate) refuseBusy(id uint64) Action {
	code := outcome.TargetBusy
	if !g.window.warm() {
		code = outcome.TargetCold
	}
	return Action{Kind: Refuse, ID: id, Code: code, RetryAfter: time.Second}
}

func (g *Gate) start(r Request) Action {
	g.startSeq++
	g.running[r.ID] = &slot{request: r, startSeq: g.startSeq, epoch: g.window.epoch}
	switch {
	case r.Class == Online:
		g.countOnline(r.Workspace, 1)
	case r.NonPreemptible:
		g.nonPreemptible++
	default:
		g.preemptible++
	}
	if r.Isolated {
		g.isolation.runningID = r.ID
		g.isolation.active = true
	}
	return Action{Kind: Start, ID: r.ID}
}

func (g *Gate) countOnline(workspace string, n int) {
	g.onlineByWorkspace[workspace] += n
	if g.onlineByWorkspace[workspace] == 0 {
		delete(g.onlineByWorkspace, workspace)
	}
}

// occupied returns the number of slots in use. A preempted item frees its slot
// at once on a warm target; on a cold one it still counts, until it has ended
// and CancelGrace has passed.
func (g *Gate) occupied() int {
	n := len(g.running) + len(g.heldUntil)
	if g.window.warm() {
		n -= g.preempting
	}
	return n
}

// preemptNewest preempts the batch item that started last. The caller checks
// that there is one.
func (g *Gate) preemptNewest() Action {
	var newest *slot
	for _, s := range g.running {
		if s.request.Class == Batch && !s.request.NonPreemptible && !s.preempted && (newest == nil || s.startSeq > newest.startSeq) {
			newest = s
		}
	}
	newest.preempted = true
	g.preemptible--
	g.preempting++
	return Action{Kind: Preempt, ID: newest.request.ID}
}

// preemptAll preempts every preemptible batch item if needed is true.
func (g *Gate) preemptAll(needed bool) []Action {
	var actions []Action
	for needed && g.preemptible > 0 {
		actions = append(actions, g.preemptNewest())
	}
	return actions
}

// Spare returns how many batch items may start now. On a cold target with a
// limit above one, a slot stays reserved for online requests.
func (g *Gate) Spare(now Time) int {
	if g.closeCode != 0 || g.queue.size > 0 || now < g.batchHoldoffUntil || g.isolation.hasWork() {
		return 0
	}
	spare := g.Limit() - g.occupied() - g.load.foreign()
	if !g.window.warm() && g.Limit() > 1 {
		spare--
	}
	return max(0, spare)
}
