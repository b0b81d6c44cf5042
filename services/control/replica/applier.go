package replica

import (
	"sync"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/raft"
)

// task is one piece of work for the goroutine that owns the state machine. Only
// one field is set.
type task struct {
	entries  []raft.Entry
	snapshot *raft.Snapshot
	confirm  *confirmedRead
	run      func()
}

// confirmedRead is a read that waits until index is applied.
type confirmedRead struct {
	index   uint64
	callers []*readCall
}

// taken is an encoded state on its way to disk.
type taken struct {
	index uint64
	data  []byte
}

// applier applies what is committed. The queue is bounded by the entries that
// the consensus keeps in memory, so add never blocks the replication.
type applier struct {
	sm            StateMachine
	waiters       *waiters
	snapshotEvery uint64     // entries
	snapshotBytes int        // of commands; 0: no bound
	taken         chan taken // capacity one

	mu     sync.Mutex
	queue  []task
	wake   chan struct{} // capacity one
	closed bool
	ended  chan struct{} // closed when run has returned

	// Owned by the applying goroutine.
	applied     uint64
	snapshotted uint64
	bytes       int // of commands applied since then
	reads       []*confirmedRead
	publish     func(applied uint64)
}

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

// close lets run end after the tasks that are queued.
func (a *applier) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	notify(a.wake)
}

func (a *applier) next() ([]task, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	tasks := a.queue
	a.queue = nil
	return tasks, a.closed && len(tasks) == 0
}

// run applies tasks until close. It returns an error when the state machine
// cannot be restored.
func (a *applier) run() error {
	defer close(a.ended)
	for {
		tasks, ended := a.next()
		if ended {
			return nil
		}
		for i := range tasks {
			if err := a.do(&tasks[i]); err != nil {
				return err
			}
		}
		if len(tasks) == 0 {
			<-a.wake
		}
	}
}

func (a *applier) do(t *task) error {
	switch {
	case t.snapshot != nil:
		if err := a.sm.Restore(t.snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore snapshot %d", t.snapshot.Index)
		}
		a.applied = t.snapshot.Index
		a.snapshotted, a.bytes = t.snapshot.Index, 0
	case t.confirm != nil:
		a.reads = append(a.reads, t.confirm)
	case t.run != nil:
		t.run()
		return nil
	default:
		a.apply(t.entries)
	}
	a.publish(a.applied)
	a.finishReads()
	return a.maybeSnapshot()
}

func (a *applier) apply(entries []raft.Entry) {
	for i := range entries {
		e := &entries[i]
		var result any
		if e.Type == raft.EntryCommand && len(e.Data) > 0 {
			result = a.sm.Apply(e.Index, e.Data)
			a.bytes += len(e.Data)
		}
		a.applied = e.Index
		if p := a.waiters.take(e.Index, e.Term); p != nil {
			p.finish(answer{result: result})
		}
	}
}

func (a *applier) finishReads() {
	kept := a.reads[:0]
	for _, read := range a.reads {
		if read.index > a.applied {
			kept = append(kept, read)
			continue
		}
		for _, call := range read.callers {
			call.finish(a.applied)
		}
	}
	a.reads = kept
}

// maybeSnapshot encodes the state when enough entries have been applied. The
// file is written elsewhere; while one is being written none is encoded.
func (a *applier) maybeSnapshot() error {
	tooMany := a.applied-a.snapshotted >= a.snapshotEvery
	tooLarge := a.snapshotBytes > 0 && a.bytes >= a.snapshotBytes
	if !tooMany && !tooLarge || len(a.taken) > 0 {
		return nil
	}
	data, err := a.sm.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "encode snapshot at %d", a.applied)
	}
	a.snapshotted, a.bytes = a.applied, 0
	a.taken <- taken{index: a.applied, data: data}
	return nil
}
