package jobhost

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
)

const (
	// grantGrace is added to a request's deadline; after that its slot counts as
	// free even without a release.
	grantGrace = 500 * time.Millisecond
	// maxQueue is how many requests may wait at a target beyond its slots. A slot
	// becomes free every 100 ms, and the first event is due within 300 ms.
	maxQueue = 2
	// maxQueueOnRetry is maxQueue for callers that have been refused before: they
	// retry only once, and a late response is better than none.
	maxQueueOnRetry = 10
	// sweepInterval is the time between two sweeps for expired grants.
	sweepInterval = 500 * time.Millisecond
)

// broker grants target slots to the online requests of all gateways, so that it
// always knows the load of each target. It runs on the leader of the job group,
// which also runs the batch items that online requests preempt.
//
// One central broker handles sudden increases of load: gateways that choose
// targets by themselves, from load reports that are 200 ms old, all pick the same
// ones.
type broker struct {
	server  *Server
	targets *placement.Targets
	runner  *runner
	id      atomic.Uint64 // id of this broker, one per term; 0: this host does not lead
	granted metrics.Counter
	refused metrics.Counter
	runs    metrics.Counter // reported by gateways
	loads   metrics.Counter

	mu        sync.Mutex
	grants    map[rpc.SlotID]grant
	returns   map[string]*placement.Returns // by service
	lastSweep time.Time
}

type grant struct {
	target  string
	service string
	since   time.Time
	expires time.Time
	suspect bool  // the request may crash the target
	tokens  int64 // that the target holds for it
}

func newBroker(s *Server, r *runner) *broker {
	return &broker{
		server:  s,
		targets: s.cfg.Follower.Targets,
		runner:  r,
		granted: metrics.GetOrRegisterCounter("broker.slots.granted", s.cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("broker.slots.refused", s.cfg.Metrics),
		runs:    metrics.GetOrRegisterCounter("broker.runs.reported", s.cfg.Metrics),
		loads:   metrics.GetOrRegisterCounter("broker.loads.reported", s.cfg.Metrics),
		grants:  make(map[rpc.SlotID]grant),
		returns: make(map[string]*placement.Returns),
	}
}

// startTerm drops all grants and sets the broker's id for the new term. Id 0 stops
// the broker.
func (b *broker) startTerm(brokerID uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.grants {
		b.dropGrant(id)
	}
	b.targets.DrainLimits(time.Now())
	b.id.Store(brokerID)
}

// acquire grants a slot at a target to one request, and preempts a batch item if
// the target is full.
func (b *broker) acquire(_ context.Context, r *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	if b.id.Load() == 0 {
		return nil, notLeader()
	}
	now := time.Now()
	query := b.query(r)
	target, full := b.acquireTarget(now, query, r.IsSuspect)
	if target == nil {
		return nil, b.refuse(now, r)
	}
	if full {
		b.runner.preempt(map[string]int{target.ID: 1})
	}
	expires := now.Add(time.Duration(r.RemainingMS)*time.Millisecond + grantGrace)
	b.recordGrant(r.ID, grant{target: target.ID, service: r.Service, since: now, expires: expires, suspect: r.IsSuspect,
		tokens: query.HeldTokens()})
	b.granted.Inc(1)
	if r.Stream != streams.NoKey {
		b.server.origins.begun(streams.Group{Origin: streams.Origin{Service: r.Service, Version: target.Version}, Keys: []streams.Key{r.Stream}})
	}
	return &rpc.SlotGrant{Target: target.ID, Total: b.targets.TotalLoad(target.ID), Version: target.Version,
		Pace: b.targets.ExpectedPace(now, target.ID)}, nil
}

// query returns the placement of a request. Only model engines have a bounded queue.
func (b *broker) query(r *rpc.SlotRequest) placement.Query {
	query := placement.Query{Service: r.Service, DataCentre: r.DataCentre, Exclude: make(map[string]bool, len(r.Exclude)), Version: r.Version}
	for _, id := range r.Exclude {
		query.Exclude[id] = true
	}
	table := b.server.cfg.Follower.Table()
	if table == nil {
		query.MaxQueue = maxQueue
		return query
	}
	service := table.Service(r.Service)
	if service == nil || service.Slots > 0 {
		query.MaxQueue = maxQueue
		if r.IsRetry {
			query.MaxQueue = maxQueueOnRetry
		}
	}
	if service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
		query.Tokens, query.Memory = r.Tokens, service.KVCapacity
	}
	return query
}

// refuse returns the refusal of a request for which no target has a place.
func (b *broker) refuse(now time.Time, r *rpc.SlotRequest) *outcome.Error {
	b.refused.Inc(1)
	retryAfter, limited := b.targets.NextPlace(now, r.Service)
	slots, taken, targets := b.targets.Free(r.Service)
	if !limited {
		retryAfter = b.nextReturn(now, r, slots)
	}
	return outcome.New(outcome.TargetBusy, outcome.NotRun, "no target of service %s has a place: %d slots at %d targets, %d requests there, all limited %t, returning %t",
		r.Service, slots, targets, taken, limited, r.IsRetry).WithRetryAfter(retryAfter)
}

// nextReturn returns the delay after which a refused caller should return.
func (b *broker) nextReturn(now time.Time, r *rpc.SlotRequest, slots int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	returns := b.returns[r.Service]
	if returns == nil {
		returns = &placement.Returns{}
		b.returns[r.Service] = returns
	}
	return returns.Next(now, slots, time.Duration(r.RemainingMS)*time.Millisecond)
}

// acquireTarget chooses a target. A request that may crash it goes, where it can, to
// one without another such request: if the target then crashes, the evidence is
// against one of them only.
func (b *broker) acquireTarget(now time.Time, q placement.Query, suspect bool) (target *roster.Record, full bool) {
	if !suspect {
		return b.targets.Acquire(now, q)
	}
	separate := q
	separate.Exclude = maps.Clone(q.Exclude)
	b.mu.Lock()
	for _, g := range b.grants {
		if g.suspect {
			separate.Exclude[g.target] = true
		}
	}
	b.mu.Unlock()
	if target, full = b.targets.Acquire(now, separate); target != nil {
		return target, full
	}
	return b.targets.Acquire(now, q)
}

func (b *broker) recordGrant(id rpc.SlotID, g grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropGrant(id) // of a repeated request
	b.grants[id] = g
}

// sweep drops expired grants every sweepInterval. Their releases were lost, and
// without it batch items would wait for these slots for ever.
func (b *broker) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastSweep) >= sweepInterval {
		b.lastSweep = now
		b.dropExpired(now)
		b.logSpeeds(now)
	}
}

// logSpeeds logs what the broker has learned of targets that differ.
func (b *broker) logSpeeds(now time.Time) {
	targets, services := b.targets.SpeedChanges(now)
	for service, bySpeed := range services {
		b.server.log.Info("service_chosen_by_speed", "service", service, "by_speed", bySpeed)
	}
	for i := range targets {
		c := &targets[i]
		b.server.log.Info("target_speed", "target", c.Target, "service", c.Service, "time_percent", c.TimePercent, "pace_percent", c.PacePercent,
			"limit", c.Limit, "slots", c.Slots, "runs", c.Runs)
	}
}

// dropExpired drops expired grants. The caller holds the lock.
func (b *broker) dropExpired(now time.Time) {
	for id, g := range b.grants {
		if now.After(g.expires) {
			b.dropGrant(id)
		}
	}
}

// dropGrant removes a grant and frees its slot. The caller holds the lock.
func (b *broker) dropGrant(id rpc.SlotID) {
	g, found := b.grants[id]
	if !found {
		return
	}
	delete(b.grants, id)
	b.targets.Release(g.target, false)
	b.targets.ReleaseTokens(g.target, false, g.tokens)
}

// release frees slots, and records the targets that failed and what gateways saw of
// others.
func (b *broker) release(_ context.Context, r *rpc.SlotRelease) (*rpc.Ack, error) {
	now := time.Now()
	for _, target := range r.Failed {
		b.targets.Failed(now, target)
	}
	for i := range r.Loads {
		b.targets.ApplyLoad(now, r.Loads[i])
	}
	for i := range r.Runs {
		b.targets.ObserveRun(now, r.Runs[i])
	}
	b.loads.Inc(int64(len(r.Loads)))
	b.runs.Inc(int64(len(r.Runs)))
	if len(r.IDs) == 0 {
		return &rpc.Ack{}, nil
	}
	b.mu.Lock()
	for _, id := range r.IDs {
		if g, found := b.grants[id]; found && b.returns[g.service] != nil {
			b.returns[g.service].Observe(now.Sub(g.since))
		}
		b.dropGrant(id)
	}
	b.mu.Unlock()
	b.runner.wakeUp()
	return &rpc.Ack{}, nil
}
