package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"banyanwalk/core/balance"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
)

// targetTable tracks this gateway's load on each target and the requests that wait
// for a free slot.
type targetTable struct {
	dataCentre string
	state      State
	start      time.Time
	lastOrder  atomic.Uint64
	loads      sync.Map // fleet.TargetID -> *targetLoad
	queues     sync.Map // queueKey -> *slotQueue
}

// targetLoad is this gateway's load on one incarnation of a target.
type targetLoad struct {
	*balance.Load
	incarnation      uint64
	agentIncarnation uint64
	suspects         atomic.Int64 // in-flight suspects, running alone on the target or waiting at the agent until it is idle
}

// lease is a slot on a target, held by one attempt until release.
type lease struct {
	target   fleet.Target
	load     *targetLoad
	table    *targetTable
	isolated bool
	once     sync.Once
}

// slotRequest describes the slot that a request needs.
type slotRequest struct {
	model     string
	workspace string
	weight    int
	order     uint64
	isolated  bool
	avoid     map[fleet.TargetID]struct{}
}

// slotQueue holds the waiting requests of one queueKind for one model.
type slotQueue struct {
	waiting       atomic.Int64
	nonEmptySince time.Time // zero while the queue is empty
	mu            sync.Mutex
	fairQueue     *balance.Queue[*waiter]
}

// waiter is one request in a queue.
type waiter struct {
	slotRequest *slotRequest
	done        chan waitResult // one result, buffered
}

type waitResult struct {
	lease *lease
	err   error
}

func newTargetTable(dataCentre string, state State) *targetTable {
	return &targetTable{dataCentre: dataCentre, state: state, start: time.Now()}
}

// now returns the monotonic time in nanoseconds since the table was created.
func (t *targetTable) now() int64 { return int64(time.Since(t.start)) }

// nextOrder returns the position of a new request among those of its workspace. A
// request keeps it across retries.
func (t *targetTable) nextOrder() uint64 { return t.lastOrder.Add(1) }

// acquire returns a slot on a target. If none is free, or others already wait, it
// queues until the deadline.
func (t *targetTable) acquire(ctx context.Context, req *slotRequest, deadline time.Time) (*lease, error) {
	q := t.queue(req.model, req.kind())
	if q.waiting.Load() == 0 {
		l, err := t.tryAcquire(req)
		if l != nil || err != nil {
			return l, err
		}
	}
	return t.waitForSlot(ctx, q, req, deadline)
}

// tryAcquire takes a free slot. Both results are nil when there is none now.
func (t *targetTable) tryAcquire(req *slotRequest) (*lease, error) {
	if !t.state.Fresh(time.Now()) {
		return nil, errStale()
	}
	targets := t.state.View().TargetsFor(req.model)
	candidates := make([]balance.Candidate, 0, len(targets))
	index := make([]int, 0, len(targets))
	now := t.now()
	for i := range targets {
		if _, avoided := req.avoid[targets[i].ID]; avoided {
			continue
		}
		candidates = append(candidates, t.candidate(&targets[i], req.isolated, now))
		index = append(index, i)
	}
	if len(candidates) == 0 {
		e := outcome.New(outcome.NoTarget, outcome.NotRun, "no target in service for %s", req.model)
		return nil, e.WithRetryAfter(retryAfterBusy)
	}
	for {
		chosen, ok := balance.Choose(candidates, rand.IntN)
		if !ok {
			return nil, nil
		}
		target := targets[index[chosen]]
		load := t.load(&target)
		if req.isolated {
			load.suspects.Add(1)
			load.TryStart(math.MaxInt)
			return &lease{target: target, load: load, table: t, isolated: true}, nil
		}
		if load.TryStart(candidates[chosen].Capacity) {
			return &lease{target: target, load: load, table: t}, nil
		}
		candidates[chosen].Unavailable = true // another request took the slot
	}
}

// candidate returns a target as input for balance.Choose. A suspect waits at the
// agent until the target is idle, so only other suspects count as its load.
func (t *targetTable) candidate(target *fleet.Target, isolated bool, now int64) balance.Candidate {
	load := t.load(target)
	c := balance.Candidate{
		ID:          target.ID,
		Local:       target.DataCentre == t.dataCentre,
		InFlight:    load.InFlight(),
		Capacity:    load.Capacity(),
		Unavailable: load.InBackoff(now),
	}
	if isolated {
		c.InFlight = int(load.suspects.Load())
		c.Capacity = maxSuspectsWaiting
		c.Unavailable = false
	}
	return c
}

// load returns the load of the target's current incarnation. It replaces the load
// of an earlier incarnation of the target or its agent.
func (t *targetTable) load(target *fleet.Target) *targetLoad {
	for {
		existing, ok := t.loads.Load(target.ID)
		if ok {
			l := existing.(*targetLoad)
			if l.incarnation == target.Incarnation && l.agentIncarnation == target.AgentIncarnation {
				return l
			}
		}
		created := &targetLoad{
			Load:             balance.NewLoad(target.ColdCapacity, target.WarmCapacity),
			incarnation:      target.Incarnation,
			agentIncarnation: target.AgentIncarnation,
		}
		if !ok {
			if _, raced := t.loads.LoadOrStore(target.ID, created); !raced {
				return created
			}
			continue
		}
		if t.loads.CompareAndSwap(target.ID, existing, created) {
			return created
		}
	}
}

// release frees the slot. A nil failure, which means success, raises the estimated
// capacity of the target; a failure may start a backoff or reset the estimate.
func (l *lease) release(failure *outcome.Error) {
	l.once.Do(func() {
		l.load.Finish(failure == nil)
		if l.isolated {
			l.load.suspects.Add(-1)
		}
		if failure != nil {
			l.adjustLoad(failure)
		}
		l.table.assignSlots(l.target.Model)
	})
}

// adjustLoad updates the load of the target after a failure: a refusal for lack of
// a slot starts a backoff, and a target that is cold, failed, unreachable or
// leaving gets its cold capacity.
func (l *lease) adjustLoad(failure *outcome.Error) {
	switch failure.Code {
	case outcome.TargetBusy, outcome.Overloaded:
		l.load.Refused(l.table.now())
	case outcome.TargetCold:
		l.load.ResetToCold()
		l.load.Refused(l.table.now())
	case outcome.TargetFailed, outcome.TargetCrashed, outcome.Unreachable, outcome.StreamBroken, outcome.Draining, outcome.TargetLeaving:
		l.load.ResetToCold()
	}
}
