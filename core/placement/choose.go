package placement

import (
	"time"

	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
)

const (
	// NoQueue as Query.MaxQueue admits a request to free slots only.
	NoQueue = -1
	// EngineQueue is how many requests may wait at a model engine beyond its slots. A slot
	// becomes free every 100 ms, and the first event is due within 300 ms.
	EngineQueue = 2
	// EngineQueueOnRetry is EngineQueue for callers that have been refused before: they
	// retry only once, and a late response is better than none.
	EngineQueueOnRetry = 10
)

// EngineQueueFor returns the Query.MaxQueue of a request to a model engine. isRetry is set
// if its caller has been refused before.
func EngineQueueFor(isRetry bool) int {
	if isRetry {
		return EngineQueueOnRetry
	}
	return EngineQueue
}

// Query describes a request that needs a target.
type Query struct {
	Service         string
	DataCentre      string  // whose targets are preferred; empty: the data centre of this process
	MaxQueue        int     // online requests that may wait at a target beyond its slots; 0: any number, negative: none
	WarmupPerSecond float64 // requests per second that one cold target can take
	Batch           bool
	Spare           int             // slots of a target that a batch item must leave free
	Exclude         map[string]bool // ids of targets already tried
	Tokens          int64           // that the target holds for the request; 0: unknown
	Memory          int64           // tokens that a target can hold; 0: unknown
	Version         *string         // that the target's software must have; nil: any
	// Rollout limits the versions to those that may get requests; nil: any may.
	Rollout *rollout.ServiceGate

	onlyTarget     string // id of the only target to consider; empty: all
	withoutVersion string // version that is not considered; empty: none
}

// Acquire chooses a target and counts the request there until Release. It
// returns nil when no target can take the request. full reports that all slots
// of the target were already in use, some of them by batch items.
func (t *Targets) Acquire(now time.Time, q Query) (chosen *roster.Record, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.chooseVersion(now, q)
	if best == nil {
		return nil, false
	}
	full = t.total(best.ID) >= slotsOf(best) && t.ownLoads[best.ID].Batch+t.peerLoads[best.ID].Batch > 0
	t.addOwn(best.ID, q.Batch, 1)
	t.addTokens(best.ID, q.Batch, q.HeldTokens())
	t.useColdAllowance(now, best)
	if s := t.speeds[best.ID]; s != nil {
		s.askedAt = now
	}
	t.useRateLimit(best)
	return best, full
}

// HasPlace reports whether a target has a place for a request now.
func (t *Targets) HasPlace(now time.Time, q Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.best(now, q, false) != nil
}

// ReserveSlot reserves one slot of a target against batch items until the given
// time, for an online request that the load reports do not show yet.
func (t *Targets) ReserveSlot(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservations[id] = append(t.reservations[id], until)
}

// reserved returns how many slots of a target are reserved against batch items.
func (t *Targets) reserved(now time.Time, id string) int {
	expiries := t.reservations[id]
	for len(expiries) > 0 && !now.Before(expiries[0]) {
		expiries = expiries[1:]
	}
	if len(expiries) == 0 {
		delete(t.reservations, id)
		return 0
	}
	t.reservations[id] = expiries
	return len(expiries)
}

// best returns the target with the lowest utilization, or with the lowest expected
// completion where the targets of a service differ. If includeFailed is true,
// targets in backoff after a failure are considered too.
func (t *Targets) best(now time.Time, q Query, includeFailed bool) *roster.Record {
	var best *roster.Record
	least := 0.0
	preferred := q.DataCentre
	if preferred == "" {
		preferred = t.dataCentre
	}
	bySpeed := t.choosesBySpeed(now, q.Service)
	for _, r := range t.services[q.Service] {
		if q.Exclude[r.ID] || t.outOfService(r.DataCentre) || !t.underLimits(now, r, &q) {
			continue
		}
		if !q.takesVersion(r) {
			continue
		}
		if !includeFailed && t.inBackoff(now, r.ID) {
			continue
		}
		cost := t.cost(now, r, bySpeed)
		if q.Batch && t.total(r.ID)+t.reserved(now, r.ID)+spareAt(r, q.Spare) >= slotsOf(r) {
			continue
		}
		if q.MaxQueue != 0 && t.online(r.ID) >= slotsOf(r)+max(0, q.MaxQueue) {
			continue
		}
		if r.DataCentre != preferred {
			cost += remotePenalty
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
	}
	return best
}

// underLimits reports whether a target's warmup, the rate that it has named and its
// memory allow a request.
func (t *Targets) underLimits(now time.Time, r *roster.Record, q *Query) bool {
	return t.underWarmupLimit(now, r, *q) && t.underRateLimit(now, r, q.Batch) && t.hasMemory(now, r, q)
}

// cost returns the value by which targets are compared; the lowest is the best.
func (t *Targets) cost(now time.Time, r *roster.Record, bySpeed bool) float64 {
	if bySpeed {
		return t.completionCost(now, r)
	}
	return t.utilization(r)
}

// utilization is the share of a target's slots in use. Once all are in use, it
// is one plus the share of online requests only, since batch items are preempted
// for an online request.
func (t *Targets) utilization(r *roster.Record) float64 {
	slots := slotsOf(r)
	total := t.total(r.ID)
	if total < slots {
		return float64(total) / float64(slots)
	}
	return 1 + float64(t.online(r.ID))/float64(slots)
}

// online returns the number of online requests at a target, from all processes.
func (t *Targets) online(id string) int {
	return t.ownLoads[id].Online + t.peerLoads[id].Online
}

// spareAt returns how many slots of a target batch items leave free: at least one
// slot remains for them, since they yield to online requests anyway.
func spareAt(r *roster.Record, wanted int) int { return min(wanted, slotsOf(r)-1) }

func slotsOf(r *roster.Record) int {
	if r.Slots > 0 {
		return r.Slots
	}
	return defaultSlots
}

func (t *Targets) inBackoff(now time.Time, id string) bool {
	f := t.failures[id]
	return f != nil && now.Before(f.until) || t.isEjected(now, id)
}

// BatchToPreempt returns, for each target with fewer than spare free slots, how
// many of this process's batch items should be preempted there.
func (t *Targets) BatchToPreempt(spare int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	preemptions := make(map[string]int)
	for id, own := range t.ownLoads {
		r := t.byID[id]
		if r == nil || own.Batch == 0 {
			continue
		}
		if over := t.total(id) + spareAt(r, spare) - slotsOf(r); over > 0 {
			preemptions[id] = min(over, own.Batch)
		}
	}
	return preemptions
}
