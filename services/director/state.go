package director

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/logclock"
	"banyanwalk/infra/rpc"
)

// catalogState connects the catalog to its replica. One goroutine applies
// commands; readers load the newest published state. It implements
// replica.StateMachine.
type catalogState struct {
	clock   logclock.Clock
	mu      sync.Mutex // guards machine
	machine *catalog.Machine
	current atomic.Pointer[catalog.State]
	packed  atomic.Pointer[rpc.PackedCatalog] // current state as pushed to followers
	// verdictRevision is the log index of the last change of the verdicts.
	verdictRevision atomic.Uint64
	// leavingRevision is the log index at which a process was last recorded to leave.
	leavingRevision atomic.Uint64
	takeLeaving     func([]roster.Leaving) // is told of processes that were recorded to leave
	changed         func()
}

func newCatalogState(changed func()) *catalogState {
	c := &catalogState{machine: catalog.New(), changed: changed, takeLeaving: func([]roster.Leaving) {}}
	c.current.Store(c.machine.State())
	c.packed.Store(rpc.PackCatalog(c.machine.State(), nil))
	return c
}

// Apply executes one encoded catalog.Command and returns its catalog.Result.
func (c *catalogState) Apply(index uint64, command []byte) any {
	var decoded catalog.Command
	if err := codec.Unmarshal(command, &decoded); err != nil {
		return catalog.Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(decoded.AtMS())
	result := c.machine.Apply(index, decoded)
	if result.Changed {
		c.publish()
	}
	if result.CountsChanged {
		c.store()
	}
	if result.VerdictsChanged {
		c.publishVerdicts()
	}
	if result.LeavingChanged {
		c.publishLeaving()
	}
	return result
}

// Snapshot encodes the complete state.
func (c *catalogState) Snapshot() ([]byte, error) {
	c.mu.Lock()
	snapshot := c.machine.Snapshot()
	c.mu.Unlock()
	return msgpack.Marshal(&snapshot)
}

// Restore replaces the complete state.
func (c *catalogState) Restore(snapshot []byte) error {
	var state catalog.Snapshot
	if err := codec.Unmarshal(snapshot, &state); err != nil {
		return errors.Wrap(err, "decode catalog snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine = catalog.Restore(state)
	c.clock.Observe(c.machine.Verdicts().LatestMS())
	for _, r := range c.machine.State().Rollouts {
		c.clock.Observe(r.StartedMS)
	}
	for _, process := range state.Leaving {
		c.clock.Observe(process.AtMS)
	}
	c.publish()
	c.publishVerdicts()
	c.leavingRevision.Store(0)
	c.publishLeaving()
	return nil
}

// publish makes the state visible to readers. The caller holds the lock.
func (c *catalogState) publish() {
	c.store()
	c.changed()
}

// store makes the state visible to readers without waking the followers' feeds. The
// caller holds the lock.
func (c *catalogState) store() {
	state := c.machine.State()
	c.current.Store(state)
	c.packed.Store(rpc.PackCatalog(state, c.packed.Load()))
}

// publishVerdicts announces a change of the verdicts. The caller holds the lock.
func (c *catalogState) publishVerdicts() {
	c.verdictRevision.Store(c.machine.Verdicts().Revision())
	c.changed()
}

// publishLeaving announces the processes that were recorded to leave since the last
// call. The caller holds the lock.
func (c *catalogState) publishLeaving() {
	processes, upTo := c.machine.LeavingSince(c.leavingRevision.Load())
	c.leavingRevision.Store(upTo)
	c.takeLeaving(processes)
}

// leavingSince returns the processes that were recorded to leave after a log index, and
// the index up to which that holds.
func (c *catalogState) leavingSince(revision uint64) (processes []roster.Leaving, upTo uint64) {
	if c.leavingRevision.Load() <= revision {
		return nil, revision
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.LeavingSince(revision)
}

// isLeaving reports whether a process of a target is recorded to leave.
func (c *catalogState) isLeaving(process roster.Leaving) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.IsLeaving(process)
}

// verdictsSince returns the changes of the verdicts after a revision, or nil if
// there are none.
func (c *catalogState) verdictsSince(revision uint64) *quarantine.Update {
	if c.verdictRevision.Load() <= revision {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	update := c.machine.Verdicts().UpdateSince(revision)
	return &update
}

// hasCrashed reports whether a process of a target is known to have crashed.
func (c *catalogState) hasCrashed(target string, incarnation int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Verdicts().HasCrashed(target, uint64(incarnation))
}

// hasExpiredVerdicts reports whether the times to live of verdicts call for a
// command.
func (c *catalogState) hasExpiredVerdicts(nowMS int64) bool {
	if c.verdictRevision.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Verdicts().HasExpired(nowMS)
}

func (c *catalogState) state() *catalog.State { return c.current.Load() }
