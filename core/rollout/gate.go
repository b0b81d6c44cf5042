package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// grantWindow is the time over which the requests of grants are spread, so that the
	// new version gets them one by one. It is also the time for which a process asks.
	grantWindow = 250 * time.Millisecond
	// askedShare is the part of a process's requests for which it asks grants. The
	// control group grants fewer if the exposure allows fewer.
	askedShare = 0.2
	maxAsked   = 64
	// maxRoutes bounds the routes that are counted by themselves for each version;
	// further ones are counted together as OtherRoutes.
	maxRoutes   = 64
	maxVersions = 8 // of a service that are counted
	// finishingLease is how long after it has learned of Finishing a process needs no
	// confirmation by the leader. It is shorter than the time after which a version that
	// turns out to be bad must get no more requests (5 s).
	finishingLease = 2 * time.Second
)

// OtherRoutes is the route in evidence that stands for all routes beyond the first ones.
const OtherRoutes = "*"

// Gate says which versions of a service may get one more request, and counts what this
// process sees of them. It is safe for concurrent use. While no rollout is known, it
// counts nothing and costs one atomic load.
type Gate struct {
	now      func() time.Time
	services atomic.Pointer[map[string]*ServiceGate] // nil: no rollout is known
	short    chan struct{}
	mu       sync.Mutex // held by SetRollouts
}

// ServiceGate is the part of a Gate that belongs to one service with a rollout.
type ServiceGate struct {
	now         func() time.Time
	short       chan<- struct{}
	rollout     atomic.Pointer[Rollout]
	confirmedTo atomic.Pointer[time.Time] // until when Finishing counts as current

	mu         sync.Mutex
	grants     []heldGrant // sorted by expiry
	held       int         // requests in grants
	nextAt     time.Time
	spacing    time.Duration // between two requests to the new version
	placed     uint64        // requests since askedAt
	askedAt    time.Time
	missed     int // resumed requests since askedAt that found no grant
	reserved   int // requests in grants that only resumed requests may take until reservedTo
	reservedTo time.Time
	expired    int // requests of expired grants that TakeExpired has not returned
	counts     map[string]map[string]*Evidence
	references map[string]*reference // by route
}

// heldGrant is a grant with its requests that are not spent yet.
type heldGrant struct {
	requests int
	expires  time.Time
}

// Wanted is a number of requests to a new version that a process asks for.
type Wanted struct {
	Service  string
	Version  string
	Requests int
}

// NewGate returns a gate that knows of no rollout. now must also count the time in which
// the process or its machine is suspended, so that a process that resumes spends no
// expired grant; only differences of its values matter.
func NewGate(now func() time.Time) *Gate {
	return &Gate{now: now, short: make(chan struct{}, 1)}
}

// SetRollouts replaces the known rollouts, the newest of each service.
func (g *Gate) SetRollouts(rollouts []Rollout) {
	if len(rollouts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*ServiceGate, len(rollouts))
	maps.Copy(next, g.all())
	for _, r := range rollouts {
		s := next[r.Service]
		if s == nil {
			s = &ServiceGate{now: g.now, short: g.short, askedAt: g.now(),
				counts: make(map[string]map[string]*Evidence), references: make(map[string]*reference)}
			s.rollout.Store(&r)
			s.confirmFor(finishingLease)
			next[r.Service] = s
			continue
		}
		s.set(&r)
	}
	g.services.Store(&next)
}

// set takes the newest record. A grant belongs to one rollout in its Canary phase.
func (s *ServiceGate) set(r *Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.rollout.Load()
	another := former.Version != r.Version || former.StartedMS != r.StartedMS
	if another {
		s.references = make(map[string]*reference)
	}
	if another || r.Phase != Canary {
		s.grants, s.held = nil, 0
	}
	if another || former.Phase != r.Phase {
		s.confirmFor(finishingLease)
	}
	s.rollout.Store(r)
}

// Confirm records that the leader has confirmed Finishing until a time of the gate's
// clock.
func (g *Gate) Confirm(service, version string, until time.Time) {
	s := g.Service(service)
	if s == nil || s.rollout.Load().Version != version {
		return
	}
	if until.After(*s.confirmedTo.Load()) {
		s.confirmedTo.Store(&until)
	}
}

// confirmFor makes Finishing count as current for a time from now on.
func (s *ServiceGate) confirmFor(d time.Duration) {
	until := s.now().Add(d)
	s.confirmedTo.Store(&until)
}

// Unconfirmed returns the new version if the requests should all go there, but the leader
// has not confirmed that lately: the version may have been reverted since. The old
// version is preferred then. After the end of its targets, the new one is used.
func (s *ServiceGate) Unconfirmed() (version string, unconfirmed bool) {
	r := s.rollout.Load()
	return r.Version, r.Phase == Finishing && s.now().After(*s.confirmedTo.Load())
}

// bars is Gate.Bars for one service.
func (s *ServiceGate) bars(version string, resumed bool) bool {
	if !s.rollout.Load().bars(version, resumed) {
		return false
	}
	_, unconfirmed := s.Unconfirmed()
	return !unconfirmed
}

// Service returns the gate of a service, or nil if no rollout of it is known.
func (g *Gate) Service(name string) *ServiceGate {
	return g.all()[name]
}

// Admit reports whether one more request may go to a target of a version now, and takes
// a grant if it needs one.
func (g *Gate) Admit(service, version string) bool {
	s := g.Service(service)
	return s == nil || s.Admit(version, false)
}

// Bars reports whether no request may go to a version, with or without a grant. resumed
// is set for a request that goes on with what the version began.
func (g *Gate) Bars(service, version string, resumed bool) bool {
	s := g.Service(service)
	return s != nil && s.bars(version, resumed)
}

// Serves reports whether a version serves the requests of a service without grants, so
// that its targets count as capacity.
func (g *Gate) Serves(service, version string) bool {
	s := g.Service(service)
	return s == nil || !s.bars(version, false) && !s.rollout.Load().needsGrant(version)
}

// bars reports whether no request may go to a version in this phase. What the old
// versions began goes on there until the rollout is completed.
func (r *Rollout) bars(version string, resumed bool) bool {
	isNew := version == r.Version
	switch r.Phase {
	case Canary:
		return false
	case Finishing:
		return !isNew && !resumed
	case Completed:
		return !isNew
	default:
		return isNew
	}
}

// needsGrant reports whether a request to a version spends a grant.
func (r *Rollout) needsGrant(version string) bool { return r.Phase == Canary && version == r.Version }

// Allows reports whether Admit would admit a request, without side effects.
func (s *ServiceGate) Allows(version string, resumed bool) bool {
	r := s.rollout.Load()
	if s.bars(version, resumed) {
		return false
	}
	if !r.needsGrant(version) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(s.now())
	return s.held > 0
}

// Admit reports whether one more request may go to a target of a version now. It takes a
// grant if the request needs one.
func (s *ServiceGate) Admit(version string, resumed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollout.Load()
	if s.bars(version, resumed) {
		return false
	}
	if !r.needsGrant(version) {
		s.countPlaced(r.Service, version)
		return true
	}
	now := s.now()
	s.dropExpired(now)
	if s.held == 0 {
		return false
	}
	if s.grants[0].requests--; s.grants[0].requests == 0 {
		s.grants = s.grants[1:]
	}
	s.held--
	s.countPlaced(r.Service, version)
	s.nextAt = now.Add(s.spacing)
	if resumed {
		s.reserved = max(0, s.reserved-1)
	}
	if s.held == 0 {
		s.wake()
	}
	return true
}

// countPlaced counts a request whose target this process has chosen. It is counted with
// the grant, so that the leader can tell from each later report which grants were spent;
// its route may be unknown here. The caller holds the lock.
func (s *ServiceGate) countPlaced(service, version string) {
	s.placed++
	if e := s.evidence(service, version, ""); e != nil {
		e.Requests++
	}
}

// Canary returns the new version while its requests need grants, else an empty one, and
// whether the next request should go there. Requests of a grant are spread over
// grantWindow.
func (s *ServiceGate) Canary() (version string, next bool) {
	r := s.rollout.Load()
	if r.Phase != Canary {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dropExpired(now)
	free := s.held
	if now.Before(s.reservedTo) {
		free -= s.reserved
	}
	return r.Version, free > 0 && !now.Before(s.nextAt)
}

// Missed notes that a request that goes on with what a version began found no target. If
// it lacks a grant, one is asked for at once and kept for such a request: its caller
// waits in the middle of a response.
func (s *ServiceGate) Missed(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(s.now())
	if s.rollout.Load().needsGrant(version) && s.held == 0 {
		s.missed++
		s.wake()
	}
}

// wake makes the process ask for grants at once.
func (s *ServiceGate) wake() {
	select {
	case s.short <- struct{}{}:
	default:
	}
}

// dropExpired drops expired grants. The caller holds the lock.
func (s *ServiceGate) dropExpired(now time.Time) {
	for len(s.grants) > 0 && !now.Before(s.grants[0].expires) {
		s.expired += s.grants[0].requests
		s.held -= s.grants[0].requests
		s.grants = s.grants[1:]
	}
}

// AddGrant adds requests that this process may send to a new version until expires, a
// time of the gate's clock. A grant of a rollout that is not in its Canary phase is
// dropped.
func (g *Gate) AddGrant(service, version string, n int, expires time.Time) {
	s := g.Service(service)
	if s == nil || n <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rollout.Load().needsGrant(version) {
		return
	}
	now := s.now()
	s.dropExpired(now)
	if !now.Before(expires) {
		s.expired += n
		return
	}
	s.grants = append(s.grants, heldGrant{requests: n, expires: expires})
	slices.SortFunc(s.grants, func(a, b heldGrant) int { return a.expires.Compare(b.expires) })
	s.held += n
	s.spacing = grantWindow / time.Duration(s.held)
}

// Short returns a channel that receives a value when the last grant of a service has
// been spent.
func (g *Gate) Short() <-chan struct{} { return g.short }

// Active reports whether a rollout is in a phase that control decides on evidence.
func (g *Gate) Active() bool {
	for _, s := range g.all() {
		if !s.rollout.Load().Phase.Final() {
			return true
		}
	}
	return false
}

// Finishing reports whether a rollout moves all requests.
func (g *Gate) Finishing() bool {
	for _, s := range g.all() {
		if s.rollout.Load().Phase == Finishing {
			return true
		}
	}
	return false
}

// Wanted returns the further requests to new versions that this process asks for: its
// part of the requests that it will place within grantWindow at the present rate, less
// those that it may still spend.
func (g *Gate) Wanted() []Wanted {
	var wanted []Wanted
	for name, s := range g.all() {
		if n := s.wanted(); n > 0 {
			wanted = append(wanted, Wanted{Service: name, Version: s.rollout.Load().Version, Requests: n})
		}
	}
	slices.SortFunc(wanted, func(a, b Wanted) int { return cmp.Compare(a.Service, b.Service) })
	return wanted
}

// all returns the gates of the services with a known rollout, which must not be changed.
func (g *Gate) all() map[string]*ServiceGate {
	if services := g.services.Load(); services != nil {
		return *services
	}
	return nil
}

// wanted returns the number of further requests for Wanted and starts a new period.
func (s *ServiceGate) wanted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.dropExpired(now)
	elapsed := max(now.Sub(s.askedAt), time.Millisecond)
	placed, missed := s.placed, s.missed
	s.askedAt, s.placed, s.missed = now, 0, 0
	if placed+uint64(missed) == 0 || s.rollout.Load().Phase != Canary {
		return 0
	}
	if missed > 0 {
		s.reserved, s.reservedTo = missed, now.Add(2*grantWindow)
	}
	expected := float64(placed) * float64(grantWindow) / float64(elapsed)
	return min(maxAsked, missed+int(math.Ceil(expected*askedShare))) - s.held
}

// TakeExpired returns the requests of grants that have expired unspent since the last
// call.
func (g *Gate) TakeExpired() []Wanted {
	var expired []Wanted
	for name, s := range g.all() {
		s.mu.Lock()
		s.dropExpired(s.now())
		if s.expired > 0 {
			expired = append(expired, Wanted{Service: name, Version: s.rollout.Load().Version, Requests: s.expired})
		}
		s.expired = 0
		s.mu.Unlock()
	}
	return expired
}

// Observe counts how a request at a target ended.
func (g *Gate) Observe(service, version, route string, a Answer) {
	if s := g.Service(service); s != nil {
		s.observe(service, version, route, a, false)
	}
}

// ObserveAborted counts a request that its caller or this process gave up after the
// given times. It counts if it was slow by then; else it shows nothing.
func (g *Gate) ObserveAborted(service, version, route string, soFar Answer) {
	if s := g.Service(service); s != nil {
		s.observe(service, version, route, soFar, true)
	}
}

// observe counts how a request ended, and adds the response to the reference of its route
// if an old version completed it.
func (s *ServiceGate) observe(service, version, route string, a Answer, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.evidence(service, version, route)
	if e == nil {
		return
	}
	ref := s.references[e.Route]
	if ref == nil {
		ref = &reference{}
		s.references[e.Route] = ref
	}
	slow := !a.Failed && ref.isSlow(a)
	if aborted && !slow {
		return
	}
	e.Answers++
	switch {
	case a.Failed:
		e.Failed++
	case slow:
		e.Slow++
	}
	if !a.Failed && !aborted && version != s.rollout.Load().Version {
		ref.add(a)
	}
}

// evidence returns the counts of a version and route, or nil if there are too many
// versions. The caller holds the lock.
func (s *ServiceGate) evidence(service, version, route string) *Evidence {
	routes := s.counts[version]
	if routes == nil {
		if len(s.counts) >= maxVersions && version != s.rollout.Load().Version {
			return nil
		}
		routes = make(map[string]*Evidence)
		s.counts[version] = routes
	}
	if routes[route] == nil && len(routes) >= maxRoutes {
		route = OtherRoutes
	}
	e := routes[route]
	if e == nil {
		e = &Evidence{Service: service, Version: version, Route: route}
		routes[route] = e
	}
	return e
}

// Report returns the counts since the start of the process, of the services whose
// rollout is not final.
func (g *Gate) Report() []Evidence {
	var all []Evidence
	for _, s := range g.all() {
		if s.rollout.Load().Phase.Final() {
			continue
		}
		s.mu.Lock()
		for _, routes := range s.counts {
			for _, e := range routes {
				all = append(all, *e)
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return all
}
