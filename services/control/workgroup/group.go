package workgroup

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/batch"
	"banyanwalk/core/idempotency"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/logclock"
	"banyanwalk/services/control/replica"
)

// command is one log entry of a group. Exactly one of Batch and Key is set.
type command struct {
	NowMS int64                `msgpack:"n"` // time of the proposer's group clock, Unix milliseconds
	Batch *batch.Command       `msgpack:"b,omitempty"`
	Key   *idempotency.Command `msgpack:"k,omitempty"`
}

// snapshot is the encoded state of a group.
type snapshot struct {
	Batch batch.State       `msgpack:"b"`
	Keys  idempotency.State `msgpack:"k"`
}

// group is the replica of one work group on this host. It implements
// replica.StateMachine; reads may run concurrently with Apply.
type group struct {
	id      uint32
	replica *replica.Replica
	clock   logclock.Clock

	mu             sync.RWMutex
	batch          *batch.Machine
	keys           *idempotency.Table
	waiters        map[*waiter]struct{}
	requireRecords func(refs ...batch.Ref)
}

// waiter waits until items of one of its models are queued.
type waiter struct {
	models []string
	queued chan struct{} // closed once such items are queued
}

func newGroup(id uint32, requireRecords func(refs ...batch.Ref)) *group {
	g := &group{id: id, batch: batch.New(), keys: idempotency.New(), waiters: make(map[*waiter]struct{}), requireRecords: requireRecords}
	g.batch.OnReferenced(func(refs []batch.Ref) { requireRecords(refs...) })
	return g
}

// Apply applies one encoded command.
func (g *group) Apply(_ uint64, encoded []byte) any {
	var c command
	if err := codec.Unmarshal(encoded, &c); err != nil {
		return outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)
	}
	g.clock.Observe(c.NowMS)
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Key != nil {
		if c.Key.End != nil {
			g.requireRecords(c.Key.End.Response)
		}
		return g.keys.Apply(c.NowMS, c.Key)
	}
	if c.Batch == nil {
		return outcome.New(outcome.Internal, outcome.NotRun, "empty command")
	}
	result := g.batch.Apply(c.NowMS, c.Batch)
	g.notifyWaiters()
	return result
}

// notifyWaiters wakes the waiters whose models have queued items. The caller holds mu.
func (g *group) notifyWaiters() {
	for w := range g.waiters {
		if g.batch.HasQueued(w.models) {
			delete(g.waiters, w)
			close(w.queued)
		}
	}
}

// Snapshot encodes the complete state.
func (g *group) Snapshot() ([]byte, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	s := snapshot{Batch: g.batch.State(), Keys: g.keys.State()}
	encoded, err := msgpack.Marshal(&s)
	return encoded, errors.Wrap(err, "encode work group")
}

// Restore replaces the complete state by a snapshot.
func (g *group) Restore(encoded []byte) error {
	var s snapshot
	if err := codec.Unmarshal(encoded, &s); err != nil {
		return errors.Wrap(err, "decode work group")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.batch.Restore(s.Batch); err != nil {
		return err
	}
	g.keys.Restore(s.Keys)
	g.clock.Observe(max(s.Batch.NowMS, s.Keys.NowMS))
	g.batch.ReferencedRecords(func(ref batch.Ref) { g.requireRecords(ref) })
	g.keys.Responses(func(ref batch.Ref) { g.requireRecords(ref) })
	g.notifyWaiters()
	return nil
}

// waitReadIndex makes a following read linearizable: it returns once this host has
// applied everything that was acknowledged before the call.
func (g *group) waitReadIndex(ctx context.Context) error {
	_, err := g.replica.ReadIndex(ctx)
	return err
}

// read calls f with the batch state, under the read lock. f must not change or retain it.
func (g *group) read(f func(m *batch.Machine)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.batch)
}

// propose replicates a command and returns the result of applying it. An *outcome.Error
// returned by Apply becomes the error.
func (g *group) propose(ctx context.Context, c command) (any, error) {
	c.NowMS = g.clock.NowMS()
	encoded, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode command: %v", err)
	}
	response, err := g.replica.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	if rejection, ok := response.(*outcome.Error); ok {
		return nil, rejection
	}
	return response, nil
}

// executeBatch replicates a batch command. If the state machine rejects it, the reason is
// returned as the error.
func (g *group) executeBatch(ctx context.Context, c *batch.Command) (*batch.Result, error) {
	response, err := g.propose(ctx, command{Batch: c})
	if err != nil {
		return nil, err
	}
	result, ok := response.(batch.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", response)
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return &result, nil
}

// executeIdempotency replicates an idempotency command. If the state machine rejects it,
// the reason is returned as the error.
func (g *group) executeIdempotency(ctx context.Context, c *idempotency.Command) (*idempotency.Result, error) {
	response, err := g.propose(ctx, command{Key: c})
	if err != nil {
		return nil, err
	}
	result, ok := response.(idempotency.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", response)
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return &result, nil
}

// waitQueued blocks until an item of one of the models is queued and returns true, or
// returns false when ctx ends first.
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
