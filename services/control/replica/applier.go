package replica

import (
	"sync"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/raft"
)

// task is a unit of work for the goroutine that owns the state machine. Exactly
// one field is set.
type task struct {
	entries  []raft.Entry
	snapshot *raft.Snapshot
	read     *confirmedRead
	run      func()
}

// confirmedRead holds the calls of a read round whose read index the leader has
// confirmed. They return once index is applied.
type confirmedRead struct {
	index uint64
	calls []*readCall
}

// encodedState is an encoded snapshot of the state machine that is not written
// to disk yet.
type encodedState struct {
	index uint64
	data  []byte
}

// applier applies committed entries to the state machine. Its queue has no limit
// of its own, so that add never blocks replication; it is bounded by the number
// of entries that the consensus keeps in memory.
type applier struct {
	sm            StateMachine
	pending       *pendingProposals
	snapshotEvery uint64            // entries
	snapshotBytes int               // of applied commands; 0: unlimited
	encoded       chan encodedState // capacity one

	mu     sync.Mutex
	queue  []task
	wake   chan struct{} // capacity one
	closed bool
	done   chan struct{} // closed when run has returned

	// Owned by the goroutine that executes run.
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // of applied commands
	pendingReads       []*confirmedRead
	publishApplied     func(applied uint64)
}

// add queues a task. It returns false after close.
func (a *applier) add(t task) bool {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return false
	}
	a.queue = append(a.queue, t)
	a.mu.Unlock()
	notify(a.wake)
	return true
}

// close makes run return after the queued tasks.
func (a *applier) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	notify(a.wake)
}

// takeTasks empties the queue. It returns true if the applier is closed and the
// queue was empty.
func (a *applier) takeTasks() ([]task, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	tasks := a.queue
	a.queue = nil
	return tasks, a.closed && len(tasks) == 0
}

// run executes tasks until close. It returns an error if the state machine fails
// to restore or encode a snapshot.
func (a *applier) run() error {
	defer close(a.done)
	for {
		tasks, ended := a.takeTasks()
		if ended {
			return nil
		}
		for i := range tasks {
			if err := a.execute(&tasks[i]); err != nil {
				return err
			}
		}
		if len(tasks) == 0 {
			<-a.wake
		}
	}
}

func (a *applier) execute(t *task) error {
	switch {
	case t.snapshot != nil:
		if err := a.sm.Restore(t.snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot %d", t.snapshot.Index)
		}
		a.applied = t.snapshot.Index
		a.snapshotIndex, a.bytesSinceSnapshot = t.snapshot.Index, 0
	case t.read != nil:
		a.pendingReads = append(a.pendingReads, t.read)
	case t.run != nil:
		t.run()
		return nil
	default:
		a.apply(t.entries)
	}
	a.publishApplied(a.applied)
	a.finishReads()
	return a.maybeSnapshot()
}

func (a *applier) apply(entries []raft.Entry) {
	for i := range entries {
		e := &entries[i]
		var result any
		if e.Type == raft.EntryCommand && len(e.Data) > 0 {
			result = a.sm.Apply(e.Index, e.Data)
			a.bytesSinceSnapshot += len(e.Data)
		}
		a.applied = e.Index
		if p := a.pending.take(e.Index, e.Term); p != nil {
			p.complete(proposalResult{value: result})
		}
	}
}

// finishReads completes the reads whose index has been applied.
func (a *applier) finishReads() {
	kept := a.pendingReads[:0]
	for _, read := range a.pendingReads {
		if read.index > a.applied {
			kept = append(kept, read)
			continue
		}
		for _, call := range read.calls {
			call.complete(readResult{index: a.applied})
		}
	}
	a.pendingReads = kept
}

// maybeSnapshot encodes the state if enough entries have been applied since the
// last snapshot and the loop has taken the previous encoding. The loop then has
// the file written by another goroutine.
func (a *applier) maybeSnapshot() error {
	tooMany := a.applied-a.snapshotIndex >= a.snapshotEvery
	tooLarge := a.snapshotBytes > 0 && a.bytesSinceSnapshot >= a.snapshotBytes
	if !tooMany && !tooLarge || len(a.encoded) > 0 {
		return nil
	}
	data, err := a.sm.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "encode snapshot at %d", a.applied)
	}
	a.snapshotIndex, a.bytesSinceSnapshot = a.applied, 0
	a.encoded <- encodedState{index: a.applied, data: data}
	return nil
}
