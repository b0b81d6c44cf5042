package jobhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/fairshare"
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
	ejected metrics.Counter // targets that were avoided for a time because they answered with server errors
	runs    metrics.Counter // reported by gateways
	loads   metrics.Counter

	mu        sync.Mutex
	grants    map[rpc.SlotID]grant
	returns   map[string]*placement.Returns // by service
	shares    map[string]*fairshare.Shares  // by service; only of model engines
	sharing   *shareMeters
	lastSweep time.Time
}

type grant struct {
	target  string
	service string
	since   time.Time
	expires time.Time
	suspect bool               // the request may crash the target
	shared  *fairshare.Request // counted in the shares of the service; nil: it is not
	tokens  int64              // that the target holds for it
}

func newBroker(s *Server, r *runner) *broker {
	return &broker{
		server:  s,
		targets: s.cfg.Follower.Targets,
		runner:  r,
		granted: metrics.GetOrRegisterCounter("broker.slots.granted", s.cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("broker.slots.refused", s.cfg.Metrics),
		ejected: metrics.GetOrRegisterCounter("broker.targets.avoided", s.cfg.Metrics),
		runs:    metrics.GetOrRegisterCounter("broker.runs.reported", s.cfg.Metrics),
		loads:   metrics.GetOrRegisterCounter("broker.loads.reported", s.cfg.Metrics),
		grants:  make(map[rpc.SlotID]grant),
		returns: make(map[string]*placement.Returns),
		shares:  make(map[string]*fairshare.Shares),
		sharing: newShareMeters(s.cfg.Metrics, s.log),
	}
}

// startTerm drops all grants and sets the broker's id for the new term. Id 0 stops
// the broker.
func (b *broker) startTerm(brokerID uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.grants {
		b.dropGrant(id, 0)
	}
	clear(b.shares)
	b.targets.DrainLimits(time.Now())
	b.id.Store(brokerID)
}

// acquire grants a slot at a target to one request, and preempts a batch item if
// the target is full.
func (b *broker) acquire(_ context.Context, r *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	return b.acquireAt(time.Now(), r)
}

func (b *broker) acquireAt(now time.Time, r *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	if b.id.Load() == 0 {
		return nil, notLeader()
	}
	target, full, failure := b.place(now, r)
	if failure != nil {
		return nil, failure
	}
	if full {
		b.runner.preempt(map[string]int{target.ID: 1})
	}
	b.granted.Inc(1)
	if r.Stream != streams.NoKey {
		b.server.origins.begun(streams.Group{Origin: streams.Origin{Service: r.Service, Version: target.Version}, Keys: []streams.Key{r.Stream}})
	}
	return &rpc.SlotGrant{Target: target.ID, Total: b.targets.TotalLoad(target.ID), Version: target.Version,
		Pace: b.targets.ExpectedPace(now, target.ID)}, nil
}

// place chooses a target within the shares of the workspaces, and records the grant.
// One lock covers both, so that no two requests get the same free slot.
func (b *broker) place(now time.Time, r *rpc.SlotRequest) (target *roster.Record, full bool, failure *outcome.Error) {
	query := b.query(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropGrant(r.ID, 0) // of a repeated request
	shared, decision := b.share(now, r, &query)
	if decision.Admitted {
		target, full = b.acquireTarget(now, query, r.IsSuspect)
	}
	if target == nil {
		return nil, false, b.refuse(now, r, decision)
	}
	if shared != nil {
		b.shares[r.Service].Granted(*shared)
		b.sharing.granted(r.Workspace, decision)
	}
	expires := now.Add(time.Duration(r.RemainingMS)*time.Millisecond + grantGrace)
	b.grants[r.ID] = grant{target: target.ID, service: r.Service, since: now, expires: expires, suspect: r.IsSuspect, shared: shared,
		tokens: query.HeldTokens()}
	return target, full, nil
}

// query returns the placement of a request. Only model engines have a bounded queue.
func (b *broker) query(r *rpc.SlotRequest) placement.Query {
	query := placement.Query{Service: r.Service, DataCentre: r.DataCentre, Exclude: make(map[string]bool, len(r.Exclude)), Version: r.Version}
	query.Rollout = b.server.cfg.Follower.Gate.Service(r.Service)
	for _, id := range r.Exclude {
		query.Exclude[id] = true
	}
	table := b.server.cfg.Follower.Table()
	if table == nil {
		query.MaxQueue = placement.EngineQueue
		return query
	}
	service := table.Service(r.Service)
	if service == nil || service.Slots > 0 {
		query.MaxQueue = placement.EngineQueueFor(r.IsRetry)
	}
	if service != nil {
		query.WarmupPerSecond = service.WarmupPerSecond
		query.Tokens, query.Memory = r.Tokens, service.KVCapacity
	}
	return query
}

// refuse returns the refusal of a request for which no target has a place. The caller
// holds the lock.
func (b *broker) refuse(now time.Time, r *rpc.SlotRequest, d fairshare.Decision) *outcome.Error {
	b.refused.Inc(1)
	if d.Contended && !d.Within {
		return b.refuseBeyondShare(now, r, d)
	}
	retryAfter, limited := b.targets.NextPlace(now, r.Service)
	slots, taken, targets := b.targets.Free(r.Service)
	if !limited {
		retryAfter = b.returnsOf(r.Service).Next(now, slots, time.Duration(r.RemainingMS)*time.Millisecond)
	}
	return outcome.New(outcome.TargetBusy, outcome.NotRun, "no target of service %s has a place: %d slots at %d targets, %d requests there, all limited %t, returning %t",
		r.Service, slots, targets, taken, limited, r.IsRetry).WithRetryAfter(retryAfter)
}

// returnsOf returns how refused callers of a service are spread. The caller holds the
// lock.
func (b *broker) returnsOf(service string) *placement.Returns {
	returns := b.returns[service]
	if returns == nil {
		returns = &placement.Returns{}
		b.returns[service] = returns
	}
	return returns
}

// acquireTarget chooses a target. A request that may crash it goes, where it can, to
// one without another such request: if the target then crashes, the evidence is
// against one of them only. The caller holds the lock.
func (b *broker) acquireTarget(now time.Time, q placement.Query, suspect bool) (target *roster.Record, full bool) {
	if !suspect {
		return b.targets.Acquire(now, q)
	}
	separate := q
	separate.Exclude = maps.Clone(q.Exclude)
	for _, g := range b.grants {
		if g.suspect {
			separate.Exclude[g.target] = true
		}
	}
	if target, full = b.targets.Acquire(now, separate); target != nil {
		return target, full
	}
	return b.targets.Acquire(now, q)
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
			b.dropGrant(id, 0)
		}
	}
}

// dropGrant removes a grant and frees its slot. held is how long the request had it; 0:
// unknown. The caller holds the lock.
func (b *broker) dropGrant(id rpc.SlotID, held time.Duration) {
	g, found := b.grants[id]
	if !found {
		return
	}
	delete(b.grants, id)
	b.targets.Release(g.target, false)
	if g.shared != nil {
		b.shares[g.service].Released(*g.shared, held)
	}
	b.targets.ReleaseTokens(g.target, false, g.tokens)
}

// release frees slots, and records the targets that failed and what gateways saw of
// others.
func (b *broker) release(_ context.Context, r *rpc.SlotRelease) (*rpc.Ack, error) {
	return b.releaseAt(time.Now(), r)
}

// noteResponse records how a request at a target ended.
func (b *broker) noteResponse(now time.Time, target string, serverError bool) {
	if b.targets.Responded(now, target, serverError) {
		b.ejected.Inc(1)
		b.server.log.Info("target_avoided", "target", target, "reason", "it answers with server errors")
	}
}

func (b *broker) releaseAt(now time.Time, r *rpc.SlotRelease) (*rpc.Ack, error) {
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
		held := time.Duration(0)
		if g, found := b.grants[id]; found {
			b.noteResponse(now, g.target, slices.Contains(r.Errors, id))
			if held = now.Sub(g.since); b.returns[g.service] != nil {
				b.returns[g.service].Observe(held)
			}
		}
		b.dropGrant(id, held)
	}
	b.mu.Unlock()
	b.runner.wakeUp()
	return &rpc.Ack{}, nil
}
