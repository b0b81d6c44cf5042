package placement

import (
	"time"

	"banyanwalk/core/roster"
)

// Query asks for the target of one request.
type Query struct {
	Service         string
	DataCentre      string  // whose targets go first; empty: those of this process
	MaxQueue        int     // online requests that may wait at a target beyond its slots; 0: any number
	WarmupPerSecond float64 // requests that one cold target bears
	Batch           bool
	Spare           int             // slots that are to stay free, for batch
	Exclude         map[string]bool // ids that have been tried
}

// Acquire chooses a target and counts the request there until Release. It
// returns nil when no target can take the request. full tells that the
// target's slots were all taken, some of them by batch items.
func (t *Targets) Acquire(now time.Time, q Query) (chosen *roster.Record, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.best(now, q, false)
	if best == nil && !q.Batch {
		best = t.best(now, q, true)
	}
	if best == nil {
		return nil, false
	}
	full = t.total(best.ID) >= slotsOf(best) && t.own[best.ID].Batch+t.others[best.ID].Batch > 0
	t.count(best.ID, q.Batch, 1)
	t.spendAllowance(now, best)
	return best, full
}

// Hold keeps one slot of a target free of batch items until a time, for an
// online request that the reports do not show yet.
func (t *Targets) Hold(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holds[id] = append(t.holds[id], until)
}

// held returns how many slots of a target are kept free at now.
func (t *Targets) held(now time.Time, id string) int {
	holds := t.holds[id]
	for len(holds) > 0 && !now.Before(holds[0]) {
		holds = holds[1:]
	}
	if len(holds) == 0 {
		delete(t.holds, id)
		return 0
	}
	t.holds[id] = holds
	return len(holds)
}

// best returns the least full target. avoided says that targets which failed
// of late are considered too.
func (t *Targets) best(now time.Time, q Query, avoided bool) *roster.Record {
	var best *roster.Record
	least := 0.0
	home := q.DataCentre
	if home == "" {
		home = t.dataCentre
	}
	for _, r := range t.services[q.Service] {
		if q.Exclude[r.ID] || t.out(r.DataCentre) || !t.bears(now, r, q) {
			continue
		}
		if !avoided && t.isAvoided(now, r.ID) {
			continue
		}
		fill := t.fill(r)
		if q.Batch && t.total(r.ID)+t.held(now, r.ID)+q.Spare >= slotsOf(r) {
			continue
		}
		if q.MaxQueue > 0 && t.online(r.ID) >= slotsOf(r)+q.MaxQueue {
			continue
		}
		if r.DataCentre != home {
			fill += remotePenalty
		}
		if best == nil || fill < least {
			best, least = r, fill
		}
	}
	return best
}

// fill is the share of a target's slots that are taken. Once all are, batch
// items do not count: they give way to an online request.
func (t *Targets) fill(r *roster.Record) float64 {
	slots := slotsOf(r)
	total := t.total(r.ID)
	if total < slots {
		return float64(total) / float64(slots)
	}
	return 1 + float64(t.online(r.ID))/float64(slots)
}

// online returns the online requests at a target. Batch items give way to them.
func (t *Targets) online(id string) int {
	return t.own[id].Online + t.others[id].Online
}

func slotsOf(r *roster.Record) int {
	if r.Slots > 0 {
		return r.Slots
	}
	return defaultSlots
}

func (t *Targets) isAvoided(now time.Time, id string) bool {
	f := t.failures[id]
	return f != nil && now.Before(f.until)
}

// bears reports whether a cold target can take one more request from this
// process in the current second.
func (t *Targets) bears(now time.Time, r *roster.Record, q Query) bool {
	if q.WarmupPerSecond <= 0 || !isCold(now, r) {
		return true
	}
	a := t.cold[r.ID]
	if a == nil || now.Sub(a.start) >= time.Second {
		return true
	}
	share := max(1, int(q.WarmupPerSecond)/t.processes)
	return a.used < share
}

func isCold(now time.Time, r *roster.Record) bool {
	return !r.ColdUntil.IsZero() && now.Before(r.ColdUntil)
}

func (t *Targets) spendAllowance(now time.Time, r *roster.Record) {
	if !isCold(now, r) {
		return
	}
	a := t.cold[r.ID]
	if a == nil || now.Sub(a.start) >= time.Second {
		a = &allowance{start: now}
		t.cold[r.ID] = a
	}
	a.used++
}

// Crowded returns the targets where requests wait although batch items run
// that this process could take away, with how many of them.
func (t *Targets) Crowded(spare int) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	crowded := make(map[string]int)
	for id, own := range t.own {
		r := t.byID[id]
		if r == nil || own.Batch == 0 {
			continue
		}
		if over := t.total(id) + spare - slotsOf(r); over > 0 {
			crowded[id] = min(over, own.Batch)
		}
	}
	return crowded
}
