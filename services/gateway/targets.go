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

// targetTable holds what this gateway knows of the load of each target and
// the requests that wait for a free slot.
type targetTable struct {
	dataCentre string
	state      State
	start      time.Time
	order      atomic.Uint64
	loads      sync.Map // fleet.TargetID -> *targetLoad
	queues     sync.Map // queueKey -> *slotQueue
}

// targetLoad is the load of one life of a target.
type targetLoad struct {
	*balance.Load
	incarnation uint64
	agent       uint64       // incarnation of the agent
	suspects    atomic.Int64 // requests that run alone or wait for it at the agent
}

// lease is a slot on a target, held by one attempt.
type lease struct {
	target fleet.Target
	load   *targetLoad
	table  *targetTable
	alone  bool
	once   sync.Once
}

// slotRequest is what a request asks of its target.
type slotRequest struct {
	model     string
	workspace string
	weight    int
	order     uint64
	alone     bool
	avoid     map[fleet.TargetID]struct{}
}

// slotQueue is one queue of a model.
type slotQueue struct {
	waiting   atomic.Int64
	busySince time.Time // zero while nothing waits
	mu        sync.Mutex
	fair      *balance.Queue[*waiter]
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

// clock returns nanoseconds since the table was made.
func (t *targetTable) clock() int64 { return int64(time.Since(t.start)) }

// nextOrder returns the place of a new request in its workspace.
func (t *targetTable) nextOrder() uint64 { return t.order.Add(1) }

// acquire returns a slot on a target. It queues while no target has
// one, until until at most.
func (t *targetTable) acquire(ctx context.Context, k *slotRequest, until time.Time) (*lease, error) {
	q := t.queue(k.model, k.kind())
	if q.waiting.Load() == 0 {
		found, err := t.try(k)
		if found != nil || err != nil {
			return found, err
		}
	}
	return t.wait(ctx, q, k, until)
}

// try takes a free slot. Both results are nil when there is none now.
func (t *targetTable) try(k *slotRequest) (*lease, error) {
	if !t.state.Fresh(time.Now()) {
		return nil, errStale()
	}
	targets := t.state.View().TargetsFor(k.model)
	candidates := make([]balance.Candidate, 0, len(targets))
	index := make([]int, 0, len(targets))
	now := t.clock()
	for i := range targets {
		if _, avoided := k.avoid[targets[i].ID]; avoided {
			continue
		}
		candidates = append(candidates, t.candidate(&targets[i], k.alone, now))
		index = append(index, i)
	}
	if len(candidates) == 0 {
		e := outcome.New(outcome.NoTarget, outcome.NotRun, "no target in service for %s", k.model)
		return nil, e.WithRetryAfter(retryAfterBusy)
	}
	for {
		chosen, ok := balance.Choose(candidates, rand.IntN)
		if !ok {
			return nil, nil
		}
		target := targets[index[chosen]]
		load := t.load(&target)
		if k.alone {
			load.suspects.Add(1)
			load.TryStart(math.MaxInt)
			return &lease{target: target, load: load, table: t, alone: true}, nil
		}
		if load.TryStart(candidates[chosen].Capacity) {
			return &lease{target: target, load: load, table: t}, nil
		}
		candidates[chosen].Unavailable = true // another request took the slot
	}
}

// candidate returns what the choice needs to know of a target. A suspect waits
// at the agent until the target is idle, so only other suspects count for it.
func (t *targetTable) candidate(target *fleet.Target, alone bool, now int64) balance.Candidate {
	load := t.load(target)
	c := balance.Candidate{
		ID:          target.ID,
		Local:       target.DataCentre == t.dataCentre,
		InFlight:    load.InFlight(),
		Capacity:    load.Capacity(),
		Unavailable: load.InBackoff(now),
	}
	if alone {
		c.InFlight = int(load.suspects.Load())
		c.Capacity = maxSuspectsWaiting
		c.Unavailable = false
	}
	return c
}

// load returns the load of this life of the target.
func (t *targetTable) load(target *fleet.Target) *targetLoad {
	for {
		known, ok := t.loads.Load(target.ID)
		if ok {
			l := known.(*targetLoad)
			if l.incarnation == target.Incarnation && l.agent == target.AgentIncarnation {
				return l
			}
		}
		fresh := &targetLoad{
			Load:        balance.NewLoad(target.ColdCapacity, target.WarmCapacity),
			incarnation: target.Incarnation,
			agent:       target.AgentIncarnation,
		}
		if !ok {
			if _, raced := t.loads.LoadOrStore(target.ID, fresh); !raced {
				return fresh
			}
			continue
		}
		if t.loads.CompareAndSwap(target.ID, known, fresh) {
			return fresh
		}
	}
}

// release gives the slot back. A refusal or failure lowers what the target is
// believed to bear; nil raises it.
func (l *lease) release(failure *outcome.Error) {
	l.once.Do(func() {
		l.load.Finish(failure == nil)
		if l.alone {
			l.load.suspects.Add(-1)
		}
		if failure != nil {
			l.learn(failure)
		}
		l.table.serve(l.target.Model)
	})
}

func (l *lease) learn(failure *outcome.Error) {
	switch failure.Code {
	case outcome.TargetBusy, outcome.Overloaded:
		l.load.Refused(l.table.clock())
	case outcome.TargetCold:
		l.load.ResetToCold()
		l.load.Refused(l.table.clock())
	case outcome.TargetFailed, outcome.Unreachable, outcome.StreamBroken, outcome.Draining, outcome.TargetLeaving:
		l.load.ResetToCold()
	}
}
