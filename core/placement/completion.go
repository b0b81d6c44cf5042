package placement

import (
	"math"
	"time"

	"banyanwalk/core/roster"
)

const (
	// processSpread is how much the costs of a target differ between the processes that
	// place requests without the broker. The loads that they know of are 200 ms old, and
	// with equal costs all of them would choose the same target.
	processSpread = 0.3
	// fullCost exceeds the cost of a free slot at any usual target.
	fullCost = 10
)

// completionCost returns the expected completion of one more request at a target,
// relative to that at a usual target and by the share of its slots in use. Beyond the
// concurrency limit it rises with the square of the requests there. A full target
// costs more than any with a free slot; as in utilization, only online requests count
// there. The caller holds the lock.
func (t *Targets) completionCost(now time.Time, r *roster.Record) float64 {
	slots := float64(slotsOf(r))
	n, full := float64(t.total(r.ID)+1), 0.0
	if n > slots {
		n, full = float64(t.online(r.ID)+1), fullCost
	}
	relative, limit := t.relativeTime(now, r), t.limitOfSlots(r)
	cost := relative * n / slots * max(1, n/limit)
	if t.limitSharer != "" {
		cost *= 1 + processSpread*t.position(r.ID)
	}
	return full + cost
}

// relativeTime returns how long a target takes for a request, relative to the mean of
// its service. The value of a target that is given no requests decays, so that the
// target is tried again. The caller holds the lock.
func (t *Targets) relativeTime(now time.Time, r *roster.Record) float64 {
	s := t.speeds[r.ID]
	if s == nil || s.incarnation != r.Incarnation {
		return 1
	}
	relative := s.paceNow(now)
	if s.learned {
		relative *= math.Exp(s.unit - t.serviceSpeedOf(r.Service).meanUnit)
	}
	return relative * math.Exp(-float64(max(0, now.Sub(s.askedAt)-idleAfter))/float64(speedMemory))
}

// limitOfSlots returns the concurrency limit of a target. The caller holds the lock.
func (t *Targets) limitOfSlots(r *roster.Record) float64 {
	s := t.speeds[r.ID]
	if s == nil || s.incarnation != r.Incarnation {
		return newConcurrencyLimit(slotsOf(r)).value
	}
	limit := min(s.limit.value, float64(slotsOf(r)))
	if s.namedSlots > 0 {
		limit = min(limit, float64(s.namedSlots))
	}
	return limit
}
