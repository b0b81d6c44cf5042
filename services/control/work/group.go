package work

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/batch"
	"banyanwalk/core/idempotency"
	"banyanwalk/core/outcome"
	"banyanwalk/services/control/replica"
)

// command is one entry of a group's log. One of Batch and Key is set.
type command struct {
	NowMS int64                `msgpack:"n"` // wall clock of the proposer, Unix milliseconds
	Batch *batch.Command       `msgpack:"b,omitempty"`
	Key   *idempotency.Command `msgpack:"k,omitempty"`
}

// snapshot is the encoded state of a group.
type snapshot struct {
	Batch batch.State       `msgpack:"b"`
	Keys  idempotency.State `msgpack:"k"`
}

// group is the state of one work group on this host. It implements
// replica.StateMachine, with readers beside the goroutine that applies.
type group struct {
	id      uint32
	replica *replica.Replica

	mu      sync.RWMutex
	batch   *batch.Machine
	keys    *idempotency.Table
	waiters map[*waiter]struct{}
	want    func(refs ...batch.Ref)
}

// waiter waits for queued items of some models.
type waiter struct {
	models []string
	queued chan struct{} // closed once there are any
}

func newGroup(id uint32, want func(refs ...batch.Ref)) *group {
	g := &group{id: id, batch: batch.New(), keys: idempotency.New(), waiters: make(map[*waiter]struct{}), want: want}
	g.batch.OnReferenced(func(refs []batch.Ref) { want(refs...) })
	return g
}

// Apply executes one encoded command.
func (g *group) Apply(_ uint64, encoded []byte) any {
	var c command
	if err := msgpack.Unmarshal(encoded, &c); err != nil {
		return outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Key != nil {
		if c.Key.End != nil {
			g.want(c.Key.End.Response)
		}
		return g.keys.Apply(c.NowMS, c.Key)
	}
	if c.Batch == nil {
		return outcome.New(outcome.Internal, outcome.NotRun, "empty command")
	}
	result := g.batch.Apply(c.NowMS, c.Batch)
	g.wake()
	return result
}

// wake tells the waiters whose models have queued items. The caller holds mu.
func (g *group) wake() {
	for w := range g.waiters {
		if g.batch.HasQueued(w.models) {
			delete(g.waiters, w)
			close(w.queued)
		}
	}
}

// Snapshot encodes the whole state.
func (g *group) Snapshot() ([]byte, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	s := snapshot{Batch: g.batch.State(), Keys: g.keys.State()}
	encoded, err := msgpack.Marshal(&s)
	return encoded, errors.Wrap(err, "encode work group")
}

// Restore replaces the whole state.
func (g *group) Restore(encoded []byte) error {
	var s snapshot
	if err := msgpack.Unmarshal(encoded, &s); err != nil {
		return errors.Wrap(err, "decode work group")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.batch.Restore(s.Batch); err != nil {
		return err
	}
	g.keys.Restore(s.Keys)
	g.batch.ReferencedRecords(func(ref batch.Ref) { g.want(ref) })
	g.keys.Responses(func(ref batch.Ref) { g.want(ref) })
	g.wake()
	return nil
}

// confirm returns once this host has applied all that was acknowledged before
// the call.
func (g *group) confirm(ctx context.Context) error {
	_, err := g.replica.ReadIndex(ctx)
	return err
}

// read calls f with the machine, which f must not change or keep.
func (g *group) read(f func(m *batch.Machine)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.batch)
}

func (g *group) propose(ctx context.Context, c command) (any, error) {
	c.NowMS = time.Now().UnixMilli()
	encoded, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode command: %v", err)
	}
	answer, err := g.replica.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	if failure, ok := answer.(*outcome.Error); ok {
		return nil, failure
	}
	return answer, nil
}

// execute replicates a batch command. A refusal by the machine is returned as
// the error.
func (g *group) execute(ctx context.Context, c *batch.Command) (*batch.Result, error) {
	answer, err := g.propose(ctx, command{Batch: c})
	if err != nil {
		return nil, err
	}
	result, ok := answer.(batch.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", answer)
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return &result, nil
}

// executeKey replicates an idempotency command.
func (g *group) executeKey(ctx context.Context, c *idempotency.Command) (*idempotency.Result, error) {
	answer, err := g.propose(ctx, command{Key: c})
	if err != nil {
		return nil, err
	}
	result, ok := answer.(idempotency.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", answer)
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return &result, nil
}

// waitQueued returns true once an item of one of the models is queued, false
// when ctx ends first.
func (g *group) waitQueued(ctx context.Context, models []string) bool {
	w := &waiter{models: models, queued: make(chan struct{})}
	g.mu.Lock()
	if g.batch.HasQueued(models) {
		g.mu.Unlock()
		return true
	}
	g.waiters[w] = struct{}{}
	g.mu.Unlock()
	select {
	case <-w.queued:
		return true
	case <-ctx.Done():
		g.mu.Lock()
		delete(g.waiters, w)
		g.mu.Unlock()
		return false
	}
}
