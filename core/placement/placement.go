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
