// Package placement chooses the target of a request from the known state of the
// fleet: which targets are in service, their utilization and their recent
// failures. It does no I/O and takes the time as an argument.
package placement

import (
	"slices"
	"sync"
	"time"

	"banyanwalk/core/roster"
)

const (
	// initialBackoff is how long a target is avoided after a failure; it doubles
	// with each further failure up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// remotePenalty is added to the utilization of targets outside the preferred
	// data centre.
	remotePenalty = 0.13
	// defaultSlots applies to targets that report no slots.
	defaultSlots = 4
)

// Targets is one process's view of the fleet. It is safe for concurrent use.
type Targets struct {
	dataCentre     string
	mu             sync.Mutex
	services       map[string][]*roster.Record
	byID           map[string]*roster.Record
	outOfService   func(dataCentre string) bool
	ownLoads       map[string]Load
	brokered       map[brokerTarget]int
	brokeredTokens map[brokerTarget]int64
	peerLoads      map[string]Load
	failures       map[string]*failureState
	errors         map[string]*errorState // by target, of those that have answered with server errors
	coldAllowances map[string]*bucket
	reservations   map[string][]time.Time // expiry times of slots reserved against batch items
	processes      int                    // number of processes that share the warmup rate of a cold target
	gateways       int                    // largest number known, including this process; 0: unknown
	handoverUntil  time.Time              // until then, what another broker has placed may be unknown
	limits         map[string]*rateLimit  // that targets have named, by id
	limitSequence  uint64                 // of the newest report of this process
	limitSharer    string                 // name of this process, if it uses only its part of the limits
	nextPlaces     map[string]time.Time   // by service: until then, places under limits have been promised
	serves         func(service, version string) bool
	speeds         map[string]*speed // by target
	serviceSpeeds  map[string]*serviceSpeed
}

type failureState struct {
	count int
	until time.Time
}

// New returns an empty view for a process in the given data centre.
func New(dataCentre string) *Targets {
	return &Targets{
		dataCentre:     dataCentre,
		services:       make(map[string][]*roster.Record),
		byID:           make(map[string]*roster.Record),
		outOfService:   func(string) bool { return false },
		ownLoads:       make(map[string]Load),
		brokered:       make(map[brokerTarget]int),
		brokeredTokens: make(map[brokerTarget]int64),
		peerLoads:      make(map[string]Load),
		failures:       make(map[string]*failureState),
		errors:         make(map[string]*errorState),
		coldAllowances: make(map[string]*bucket),
		reservations:   make(map[string][]time.Time),
		processes:      1,
		limits:         make(map[string]*rateLimit),
		nextPlaces:     make(map[string]time.Time),
		serves:         func(string, string) bool { return true },
		speeds:         make(map[string]*speed),
		serviceSpeeds:  make(map[string]*serviceSpeed),
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
		if current := byID[id]; current == nil || current.Incarnation != former.Incarnation {
			delete(t.failures, id)
			delete(t.errors, id)
			delete(t.coldAllowances, id)
			delete(t.speeds, id)
		}
		if current := byID[id]; current == nil {
			delete(t.limits, id)
		} else {
			t.dropLimit(id, current.Incarnation)
		}
	}
	t.services = services
	t.byID = byID
}

// SetOutOfService replaces the set of data centres that are out of service.
func (t *Targets) SetOutOfService(names []string) {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outOfService = func(dataCentre string) bool { return set[dataCentre] }
}

// SetPeerLoads replaces the load of the other processes at each target and the
// number of processes, including this one.
func (t *Targets) SetPeerLoads(loads map[string]Load, processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads = loads
	t.processes = max(1, processes)
}

// Failed records that a target failed a request or could not be reached, and
// starts or extends its backoff.
func (t *Targets) Failed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.failures[id]
	if f == nil {
		f = &failureState{}
		t.failures[id] = f
	}
	backoff := min(initialBackoff<<min(f.count, 10), maxBackoff)
	f.count++
	f.until = now.Add(backoff)
	if s := t.speeds[id]; s != nil {
		s.limit.failed()
	}
}

// Succeeded records that a target has answered, which ends its backoff.
func (t *Targets) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, id)
}

// Usable reports whether a target is in service and still runs the given
// incarnation.
func (t *Targets) Usable(id string, incarnation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	return r != nil && r.Incarnation == incarnation && r.State == roster.Ready && !t.outOfService(r.DataCentre)
}

// HasVersion reports whether a target of a service with a software version takes
// requests.
func (t *Targets) HasVersion(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.services[service], func(r *roster.Record) bool {
		return r.Version == version && !t.outOfService(r.DataCentre)
	})
}

// Versions calls f with the service and software version of each target that takes
// requests, also several times with the same.
func (t *Targets) Versions(f func(service, version string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, records := range t.services {
		for _, r := range records {
			f(service, r.Version)
		}
	}
}
