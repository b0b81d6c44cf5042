package jobhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

const (
	// grantMargin is added to a request's deadline, after which its slot counts
	// as free even if no release has come.
	grantMargin = 500 * time.Millisecond
	// maxQueue is how many requests may wait at a target beyond its slots. A
	// slot gets free every 100 ms, and a first event is due within 300.
	maxQueue = 2
	// maxQueueReturning is the same for callers that have been refused before:
	// they come back once, and rather get a late answer than none.
	maxQueueReturning = 10
	// busyRetry is when a request may come back that found no place.
	busyRetry = 300 * time.Millisecond
	sweepEach = 256 // grants between two looks for those that have lapsed
)

// broker places the online requests of all gateways, and knows so at any time
// how full each target is. It works on the leader of the job group, where the
// batch items run that have to give way.
//
// It answers steps of load: gateways that choose on reports which are 200 ms
// old meet at the same targets.
type broker struct {
	server  *Server
	targets *placement.Targets
	runner  *runner
	number  atomic.Uint64 // of this broker; 0: this host does not lead
	granted metrics.Counter
	refused metrics.Counter

	mu     sync.Mutex
	grants map[rpc.SlotID]grant
	count  int
}

type grant struct {
	target string
	until  time.Time
}

func newBroker(s *Server, r *runner) *broker {
	return &broker{
		server:  s,
		targets: s.cfg.Follower.Targets,
		runner:  r,
		granted: metrics.GetOrRegisterCounter("broker.slots.granted", s.cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("broker.slots.refused", s.cfg.Metrics),
		grants:  make(map[rpc.SlotID]grant),
	}
}

// lead begins the work of the broker under a number, or ends it with 0.
func (b *broker) lead(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.grants {
		b.drop(id)
	}
	b.number.Store(number)
}

// acquire places one request.
func (b *broker) acquire(_ context.Context, r *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	if b.number.Load() == 0 {
		return nil, notLeader()
	}
	query := placement.Query{Service: r.Service, DataCentre: r.DataCentre, MaxQueue: maxQueue, Exclude: make(map[string]bool, len(r.Exclude))}
	if r.Returning {
		query.MaxQueue = maxQueueReturning
	}
	for _, id := range r.Exclude {
		query.Exclude[id] = true
	}
	if table := b.server.cfg.Follower.Table(); table != nil {
		if service := table.Service(r.Service); service != nil {
			query.WarmupPerSecond = service.WarmupPerSecond
		}
	}
	now := time.Now()
	target, full := b.targets.Acquire(now, query)
	if target == nil {
		b.refused.Inc(1)
		slots, taken, targets := b.targets.Free(r.Service)
		return nil, outcome.New(outcome.TargetBusy, outcome.NotRun, "no target of service %s has a place: %d slots at %d targets, %d requests there, returning %t",
			r.Service, slots, targets, taken, r.Returning).WithRetryAfter(busyRetry)
	}
	if full {
		b.runner.take(map[string]int{target.ID: 1})
	}
	b.note(r.ID, target, now.Add(time.Duration(r.LeftMS)*time.Millisecond+grantMargin), now)
	b.granted.Inc(1)
	return &rpc.SlotGrant{Target: target.ID, Total: b.targets.Total(target.ID)}, nil
}

func (b *broker) note(id rpc.SlotID, target *roster.Record, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants[id] = grant{target: target.ID, until: until}
	if b.count++; b.count%sweepEach == 0 {
		b.sweep(now)
	}
}

// sweep drops the grants whose time is over. The caller holds the lock.
func (b *broker) sweep(now time.Time) {
	for id, g := range b.grants {
		if now.After(g.until) {
			b.drop(id)
		}
	}
}

// drop ends a grant. The caller holds the lock.
func (b *broker) drop(id rpc.SlotID) {
	g, found := b.grants[id]
	if !found {
		return
	}
	delete(b.grants, id)
	b.targets.Release(g.target, false)
}

// release ends uses of slots.
func (b *broker) release(_ context.Context, r *rpc.SlotRelease) (*rpc.Ack, error) {
	now := time.Now()
	for _, target := range r.Failed {
		b.targets.Failed(now, target)
	}
	b.mu.Lock()
	for _, id := range r.IDs {
		b.drop(id)
	}
	b.mu.Unlock()
	b.runner.nudge()
	return &rpc.Ack{}, nil
}
