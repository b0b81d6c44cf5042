package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/telemetry"
)

// maxSharedUpdates bounds the updates kept for subscribers to share.
const maxSharedUpdates = 64

// configState is the state machine of the configuration group, with readers
// beside the goroutine that applies. It implements replica.StateMachine.
type configState struct {
	log *telemetry.Log

	mu      sync.RWMutex
	machine *fleet.Machine
	view    *fleet.View
	changed chan struct{} // closed and replaced when the revision moves

	updatesMu sync.Mutex
	updates   map[uint64]fleet.Update // by revision held, for the current revision
}

func newConfigState(log *telemetry.Log) *configState {
	return &configState{
		log:     log,
		machine: fleet.NewMachine(),
		view:    &fleet.View{},
		changed: make(chan struct{}),
		updates: make(map[uint64]fleet.Update),
	}
}

// Apply executes one encoded fleet.Command and returns its fleet.Result.
func (c *configState) Apply(index uint64, command []byte) any {
	var decoded fleet.Command
	if err := msgpack.Unmarshal(command, &decoded); err != nil {
		return fleet.Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.machine.Revision()
	result := c.machine.Apply(index, decoded)
	if c.machine.Revision() != before {
		c.publish()
	}
	return result
}

// Snapshot encodes the whole state.
func (c *configState) Snapshot() ([]byte, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	state := c.machine.State()
	return msgpack.Marshal(&state)
}

// Restore replaces the whole state.
func (c *configState) Restore(snapshot []byte) error {
	var state fleet.State
	if err := msgpack.Unmarshal(snapshot, &state); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine = fleet.FromState(state)
	c.publish()
	return nil
}

// publish brings the view up to date and wakes all that wait. The caller holds
// the lock.
func (c *configState) publish() {
	view, err := c.view.Apply(c.machine.UpdateSince(c.view.Revision))
	if err != nil {
		c.log.Error("state_view_failed", "revision", c.machine.Revision(), "error", err)
	} else {
		c.view = view
	}
	c.updatesMu.Lock()
	clear(c.updates)
	c.updatesMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// current returns the view and a channel that is closed when it changes.
func (c *configState) current() (*fleet.View, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view, c.changed
}

// updateSince returns what changed after a revision. Subscribers that hold the
// same revision share the update, which must not be changed.
func (c *configState) updateSince(revision uint64) fleet.Update {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.updatesMu.Lock()
	defer c.updatesMu.Unlock()
	if u, found := c.updates[revision]; found {
		return u
	}
	u := c.machine.UpdateSince(revision)
	if len(c.updates) < maxSharedUpdates {
		c.updates[revision] = u
	}
	return u
}

// read calls f with the machine, which f must not change or keep.
func (c *configState) read(f func(m *fleet.Machine)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.machine)
}

// propose replicates a command and returns its result. A refusal by the
// machine is returned as the error.
func (s *Server) propose(ctx context.Context, c fleet.Command) (*fleet.Result, error) {
	c.AtMS = time.Now().UnixMilli()
	encoded, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode command: %v", err)
	}
	answer, err := s.groups[ConfigGroup].Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	result, ok := answer.(fleet.Result)
	if !ok {
		return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "unexpected result %T", answer)
	}
	if result.Error != nil {
		return nil, result.Error
	}
	return &result, nil
}

// View returns the newest state that this host has applied, without a quorum's
// confirmation.
func (s *Server) View() *fleet.View {
	view, _ := s.state.current()
	return view
}

// ConfirmedView returns the state with everything that was acknowledged before
// the call.
func (s *Server) ConfirmedView(ctx context.Context) (*fleet.View, error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	return s.View(), nil
}

// confirm returns once a quorum has confirmed, in a round begun after the
// call, that this host has applied everything acknowledged before it. Callers
// that wait together share a round.
func (s *Server) confirm(ctx context.Context) error {
	_, err := s.groups[ConfigGroup].ReadIndex(ctx)
	return err
}
