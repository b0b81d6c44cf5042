package admission

const (
	maxIsolatedPending = 16
	// isolationDutyDivisor bounds the time for which suspects block other waiting
	// requests: after a block of length d, the next one starts no sooner than 4d later.
	isolationDutyDivisor = 4
)

// isolation runs suspects one at a time on an otherwise idle target. The first
// waiting suspect blocks other requests from starting until the target is idle.
// After it has run, and if others wait, the next suspect may not block them for
// isolationDutyDivisor times the length of that block.
type isolation struct {
	pending        []Request
	active         bool
	runningID      uint64 // valid if active
	blocking       bool
	blockedSince   Time // when the current block began
	blockNotBefore Time // earliest start of the next block
}

// hasWork reports whether a suspect runs or waits.
func (iso *isolation) hasWork() bool { return iso.active || len(iso.pending) > 0 }

// blocksStarts reports whether other requests must not start now.
func (iso *isolation) blocksStarts() bool { return iso.active || iso.blocking }

// finish is called for each request that ends. If it was the running suspect,
// other requests may start again.
func (iso *isolation) finish(now Time, id uint64, othersWait bool) {
	if !iso.active || iso.runningID != id {
		return
	}
	iso.active = false
	iso.unblock(now, othersWait)
}

func (iso *isolation) unblock(now Time, othersWait bool) {
	if !iso.blocking {
		return
	}
	iso.blocking = false
	if othersWait {
		iso.blockNotBefore = now + isolationDutyDivisor*(now-iso.blockedSince)
	}
}

func (iso *isolation) remove(id uint64) bool {
	for i, r := range iso.pending {
		if r.ID == id {
			iso.pending = append(iso.pending[:i], iso.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (iso *isolation) expire(now Time) []Request {
	var overdue, kept []Request
	for _, r := range iso.pending {
		if r.StartBy <= now {
			overdue = append(overdue, r)
		} else {
			kept = append(kept, r)
		}
	}
	iso.pending = kept
	return overdue
}

func (g *Gate) offerIsolated(now Time, r Request) []Action {
	if len(g.isolation.pending) >= maxIsolatedPending {
		return []Action{g.refuseBusy(r.ID)}
	}
	r.StartBy = min(r.StartBy, now+g.cfg.IsolatedMaxWait)
	g.isolation.pending = append(g.isolation.pending, r)
	return g.schedule(now)
}

// scheduleIsolated starts the first suspect if the target is idle, and otherwise
// preempts batch items to make it idle.
func (g *Gate) scheduleIsolated(now Time) []Action {
	if g.isolation.active {
		return g.preemptAll(g.Waiting() > 0)
	}
	if len(g.isolation.pending) == 0 {
		g.isolation.unblock(now, g.queue.size > 0)
		return nil
	}
	if now < g.isolation.blockNotBefore && g.queue.size > 0 {
		g.isolation.blocking = false
		return nil
	}
	if !g.isolation.blocking {
		g.isolation.blocking, g.isolation.blockedSince = true, now
	}
	if len(g.running)+len(g.heldUntil) == 0 {
		r := g.isolation.pending[0]
		g.isolation.pending = g.isolation.pending[1:]
		return []Action{g.start(r)}
	}
	return g.preemptAll(true)
}
