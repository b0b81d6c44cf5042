package director

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// catalogState connects the catalog to its replica. One goroutine applies
// commands; readers load the newest published state. It implements
// replica.StateMachine.
type catalogState struct {
	machine *catalog.Machine // owned by the applying goroutine
	current atomic.Pointer[catalog.State]
	packed  atomic.Pointer[rpc.PackedCatalog] // current state as pushed to followers
	changed func()
}

func newCatalogState(changed func()) *catalogState {
	c := &catalogState{machine: catalog.New(), changed: changed}
	c.current.Store(c.machine.State())
	c.packed.Store(rpc.PackCatalog(c.machine.State(), nil))
	return c
}

// Apply executes one encoded catalog.Command and returns its catalog.Result.
func (c *catalogState) Apply(index uint64, command []byte) any {
	var decoded catalog.Command
	if err := msgpack.Unmarshal(command, &decoded); err != nil {
		return catalog.Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	result := c.machine.Apply(index, decoded)
	if result.Changed {
		c.publish()
	}
	return result
}

// Snapshot encodes the complete state.
func (c *catalogState) Snapshot() ([]byte, error) { return msgpack.Marshal(c.machine.State()) }

// Restore replaces the complete state.
func (c *catalogState) Restore(snapshot []byte) error {
	var state catalog.State
	if err := msgpack.Unmarshal(snapshot, &state); err != nil {
		return errors.Wrap(err, "decode catalog snapshot")
	}
	c.machine = catalog.Restore(state)
	c.publish()
	return nil
}

func (c *catalogState) publish() {
	state := c.machine.State()
	c.current.Store(state)
	c.packed.Store(rpc.PackCatalog(state, c.packed.Load()))
	c.changed()
}

func (c *catalogState) state() *catalog.State { return c.current.Load() }
