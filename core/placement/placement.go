// Package placement chooses the target of a request from what is known of the
// fleet: who is in service, how full each one is, and which ones have failed of
// late. It does no I/O and takes the time as an argument.
package placement

import (
	"sync"
	"time"

	"banyanwalk/core/roster"
)

const (
	// firstAvoidance is how long a target is avoided after a failure; it
	// doubles with each further one up to maxAvoidance.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 8 * time.Second
	// remotePenalty is how much fuller, in shares of its slots, a target of the
	// own data centre may be than one elsewhere and still go first.
	remotePenalty = 0.13
	// defaultSlots stands for targets that do not tell their slots.
	defaultSlots = 4
)

// Load is the requests that one process has at a target.
type Load struct {
	Online   int `msgpack:"o"`
	Batch    int `msgpack:"b"`
	Brokered int `msgpack:"k,omitempty"` // of Online, those whose target one broker has chosen
}

// Direct returns the load without the requests that the broker has placed.
func (l Load) Direct() Load { return Load{Online: l.Online - l.Brokered, Batch: l.Batch} }

// Targets is the fleet as one process sees it. It is safe for concurrent use.
type Targets struct {
	dataCentre string
	mu         sync.Mutex
	services   map[string][]*roster.Record
	byID       map[string]*roster.Record
	out        func(dataCentre string) bool
	own        map[string]Load
	brokered   map[brokeredAt]int
	others     map[string]Load
	failures   map[string]*failure
	cold       map[string]*allowance
	holds      map[string][]time.Time // slots that batch must leave free, by their end
	processes  int                    // that share what a cold target bears
}

type failure struct {
	count int
	until time.Time
}

// allowance counts what was sent to a cold target in the second from start.
type allowance struct {
	start time.Time
	used  int
}

// New returns the view of a process in a data centre, with no targets.
func New(dataCentre string) *Targets {
	return &Targets{
		dataCentre: dataCentre,
		services:   make(map[string][]*roster.Record),
		byID:       make(map[string]*roster.Record),
		out:        func(string) bool { return false },
		own:        make(map[string]Load),
		brokered:   make(map[brokeredAt]int),
		others:     make(map[string]Load),
		failures:   make(map[string]*failure),
		cold:       make(map[string]*allowance),
		holds:      make(map[string][]time.Time),
		processes:  1,
	}
}

// SetRecords replaces the known targets.
func (t *Targets) SetRecords(records []*roster.Record) {
	services := make(map[string][]*roster.Record)
	byID := make(map[string]*roster.Record, len(records))
	for _, r := range records {
		byID[r.ID] = r
		if r.State == roster.Ready {
			services[r.Service] = append(services[r.Service], r)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, former := range t.byID {
		if now := byID[id]; now == nil || now.Born != former.Born {
			delete(t.failures, id)
			delete(t.cold, id)
		}
	}
	t.services = services
	t.byID = byID
}

// SetOut replaces the data centres that are out of service.
func (t *Targets) SetOut(names []string) {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out = func(dataCentre string) bool { return set[dataCentre] }
}

// SetOthers replaces what the other processes have at each target, and how
// many processes there are with this one.
func (t *Targets) SetOthers(loads map[string]Load, processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others = loads
	t.processes = max(1, processes)
}

// brokeredAt names what one broker has placed at one target.
type brokeredAt struct {
	broker uint64
	target string
}

// Own returns what this process has at each target. Brokered is what the given
// broker has placed.
func (t *Targets) Own(broker uint64) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[string]Load, len(t.own))
	for id, load := range t.own {
		load.Brokered = t.brokered[brokeredAt{broker, id}]
		own[id] = load
	}
	return own
}

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

// Assign counts a request at a target that a broker has chosen, until
// Unassign. It returns nil when this process knows no such target in service.
func (t *Targets) Assign(broker uint64, id string) *roster.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || r.State != roster.Ready || t.out(r.DataCentre) {
		return nil
	}
	t.addBrokered(broker, id, 1)
	return r
}

// Unassign ends a request that Assign counted.
func (t *Targets) Unassign(broker uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addBrokered(broker, id, -1)
}

func (t *Targets) addBrokered(broker uint64, id string, by int) {
	at := brokeredAt{broker, id}
	if t.brokered[at] += by; t.brokered[at] == 0 {
		delete(t.brokered, at)
	}
	t.count(id, false, by)
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

// Total returns the requests at a target, as far as this process knows.
func (t *Targets) Total(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total(id)
}

func (t *Targets) total(id string) int {
	own, others := t.own[id], t.others[id]
	return own.Online + own.Batch + others.Online + others.Batch
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

func (t *Targets) count(id string, batch bool, by int) {
	load := t.own[id]
	if batch {
		load.Batch += by
	} else {
		load.Online += by
	}
	t.set(id, load)
}

func (t *Targets) set(id string, load Load) {
	if load == (Load{}) {
		delete(t.own, id)
		return
	}
	t.own[id] = load
}

// Release ends a request that Acquire counted.
func (t *Targets) Release(id string, batch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(id, batch, -1)
}

// Failed notes that a target broke off or could not be reached.
func (t *Targets) Failed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.failures[id]
	if f == nil {
		f = &failure{}
		t.failures[id] = f
	}
	avoid := min(firstAvoidance<<min(f.count, 10), maxAvoidance)
	f.count++
	f.until = now.Add(avoid)
}

// Succeeded notes that a target has answered.
func (t *Targets) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, id)
}

// Usable reports whether a target may still get requests.
func (t *Targets) Usable(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	return r != nil && r.Born == born && r.State == roster.Ready && !t.out(r.DataCentre)
}

// Free returns the slots of a service's targets in service, those that are
// taken, and how many targets there are.
func (t *Targets) Free(service string) (slots, taken, targets int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.services[service] {
		if t.out(r.DataCentre) {
			continue
		}
		slots += slotsOf(r)
		taken += t.total(r.ID)
		targets++
	}
	return slots, taken, targets
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
