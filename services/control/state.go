package control

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/logclock"
	"banyanwalk/infra/telemetry"
)

// maxCachedUpdates limits the cached updates that subscribers share.
const maxCachedUpdates = 64

// configState is the state machine of the configuration group. It implements
// replica.StateMachine and can also be read by other goroutines than the one
// that applies commands.
type configState struct {
	log   *telemetry.Log
	clock logclock.Clock

	mu      sync.RWMutex
	machine *fleet.Machine
	view    *fleet.View
	changed chan struct{} // closed and replaced when the revision changes

	cacheMu       sync.Mutex
	cachedUpdates map[uint64]fleet.Update // from a subscriber's revision (the key) to the current one
}

func newConfigState(log *telemetry.Log) *configState {
	return &configState{
		log:           log,
		machine:       fleet.NewMachine(),
		view:          &fleet.View{},
		changed:       make(chan struct{}),
		cachedUpdates: make(map[uint64]fleet.Update),
	}
}

// Apply executes one encoded fleet.Command and returns its fleet.Result.
func (c *configState) Apply(index uint64, command []byte) any {
	var decoded fleet.Command
	if err := codec.Unmarshal(command, &decoded); err != nil {
		return fleet.Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(decoded.AtMS)
	previousRevision := c.machine.Revision()
	result := c.machine.Apply(index, decoded)
	if c.machine.Revision() != previousRevision {
		c.publishView()
	}
	return result
}

// Snapshot encodes the complete state.
func (c *configState) Snapshot() ([]byte, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := c.machine.State()
	return msgpack.Marshal(&state)
}

// Restore replaces the complete state.
func (c *configState) Restore(snapshot []byte) error {
	var state fleet.State
	if err := codec.Unmarshal(snapshot, &state); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine = fleet.FromState(state)
	c.clock.Observe(c.machine.LatestMS())
	c.publishView()
	return nil
}

// publishView updates the view, drops cached updates and wakes the goroutines
// that wait for a change. The caller must hold mu.
func (c *configState) publishView() {
	view, err := c.view.Apply(c.machine.UpdateSince(c.view.Revision))
	if err != nil {
		c.log.Error("state_view_failed", "revision", c.machine.Revision(), "error", err)
	} else {
		c.view = view
	}
	c.cacheMu.Lock()
	clear(c.cachedUpdates)
	c.cacheMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// current returns the view and a channel that is closed when the view changes.
func (c *configState) current() (*fleet.View, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view, c.changed
}

// updateSince returns the changes after a revision. Subscribers with the same
// revision share the update, so it must not be modified.
func (c *configState) updateSince(revision uint64) fleet.Update {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	if u, found := c.cachedUpdates[revision]; found {
		return u
	}
	u := c.machine.UpdateSince(revision)
	if len(c.cachedUpdates) < maxCachedUpdates {
		c.cachedUpdates[revision] = u
	}
	return u
}

// read calls f with the machine. f must not modify it or keep a reference to
// it.
func (c *configState) read(f func(m *fleet.Machine)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.machine)
}

// propose replicates a command and returns its result. If the machine rejects
// the command, propose returns that as the error.
func (s *Server) propose(ctx context.Context, c fleet.Command) (*fleet.Result, error) {
	c.AtMS = s.configState.clock.NowMS()
	encoded, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode command: %v", err)
	}
	applied, err := s.groups[ConfigGroup].Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	result, ok := applied.(fleet.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", applied)
	}
	if result.Error != nil {
		return nil, result.Error
	}
	return &result, nil
}

// View returns the latest state that this host has applied. It may be stale,
// since no quorum has confirmed it.
func (s *Server) View() *fleet.View {
	view, _ := s.configState.current()
	return view
}

// ConfirmedView returns a state that includes all commands acknowledged before
// the call (a linearizable read).
func (s *Server) ConfirmedView(ctx context.Context) (*fleet.View, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	return s.View(), nil
}

// confirm waits until this host has applied all commands acknowledged before
// the call, as confirmed by a quorum in a round that starts after the call.
// Concurrent callers share a round.
func (s *Server) confirm(ctx context.Context) error {
	_, err := s.groups[ConfigGroup].ReadIndex(ctx)
	return err
}
