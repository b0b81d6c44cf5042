package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable/durabletest"
)

// createOn creates a log on a disk and returns the directory.
func createOn(t require.TestingT, dir string, disk *durabletest.Disk) *Log {
	l, _, err := Open(dir, Options{SegmentBytes: 600, FS: disk})
	require.NoError(t, err)
	return l
}

// A replica was lost until its restart once its disk had been full for a moment,
// because the log kept its first write error.
func TestLogAcceptsWritesOnceDiskHasRoomAgain(t *testing.T) {
	for room := range 200 {
		disk := durabletest.NewDisk()
		l := createOn(t, filepath.Join(t.TempDir(), "log"), disk)
		require.NoError(t, l.Save(Batch{HardState: &raft.HardState{Term: 1}, Entries: []raft.Entry{entry(1, 1)}}))
		second := Batch{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2), entry(3, 2)}}
		disk.SetRoom(room)
		if err := l.Save(second); err != nil {
			require.NotErrorIs(t, err, ErrPermanent)
			require.Error(t, l.Save(second))
			disk.SetRoom(-1)
			require.NoError(t, l.Save(second), "room %d", room)
		}
		require.NoError(t, l.Close())
		l, r := openLog(t, filepath.Dir(l.dir))
		require.Equal(t, uint64(2), r.HardState.Term)
		require.Len(t, r.Entries, 3)
		require.NoError(t, l.Close())
	}
}

// failingRun writes to a log on a disk that fails at random and compares what a power
// loss leaves with what Save has acknowledged.
type failingRun struct {
	disk     *durabletest.Disk
	dir      string
	log      *Log
	expected expectedState // acknowledged
	tried    expectedState // of the last write, acknowledged or not
}

// fail chooses what fails from now on.
func (r *failingRun) fail(t *rapid.T) {
	r.disk.SetRoom(rapid.SampledFrom([]int{-1, -1, 0, 1, 30, 300}).Draw(t, "room"))
	r.disk.SetFailSyncs(rapid.IntRange(0, 3).Draw(t, "syncs") == 0)
}

func (r *failingRun) work() {
	r.disk.SetRoom(-1)
	r.disk.SetFailSyncs(false)
}

// save writes entries or a snapshot, once or until it succeeds.
func (r *failingRun) save(t *rapid.T) {
	next := r.expected.clone()
	next.hardState.Term++
	hs := next.hardState
	batch := Batch{HardState: &hs}
	if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
		next.snapshot = raft.Snapshot{Index: next.lastIndex() + 5, Term: hs.Term, Data: []byte("installed")}
		next.entries = nil
		batch.Snapshot = &next.snapshot
	}
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		next.entries = append(next.entries, entry(next.lastIndex()+1, hs.Term))
		batch.Entries = append(batch.Entries, next.entries[len(next.entries)-1])
	}
	r.tried = next
	for range rapid.IntRange(1, 3).Draw(t, "attempts") {
		if r.log.Save(batch) == nil {
			r.expected = next.clone()
			return
		}
	}
	if rapid.Bool().Draw(t, "repeat") {
		r.work()
		require.NoError(t, r.log.Save(batch))
		r.expected = next.clone()
	}
}

// restart closes the log, with or without a power loss, and opens it again.
func (r *failingRun) restart(t *rapid.T) {
	powerLost := rapid.Bool().Draw(t, "power")
	require.NoError(t, r.log.Close())
	r.work()
	if powerLost {
		require.NoError(t, r.disk.LosePower(filepath.Dir(r.dir)))
	}
	l, recovered, err := Open(r.dir, Options{SegmentBytes: 600, FS: r.disk})
	require.NoError(t, err)
	r.log = l
	if recovered.HardState.Term != r.expected.hardState.Term {
		r.expected = r.tried.clone() // a write that was not acknowledged may be there, but only whole
	}
	r.expected.require(t, recovered)
	if !powerLost && rapid.Bool().Draw(t, "second loss") { // what Open has returned must survive, too
		require.NoError(t, r.log.Close())
		require.NoError(t, r.disk.LosePower(filepath.Dir(r.dir)))
		l, recovered, err = Open(r.dir, Options{SegmentBytes: 600, FS: r.disk})
		require.NoError(t, err)
		r.log = l
		r.expected.require(t, recovered)
	}
}

// Guards against a write that is acknowledged though a failed write or sync before it
// has lost part of the file, and against a log that cannot be opened after one.
func TestNothingAcknowledgedIsLostByFailingDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		r := &failingRun{disk: durabletest.NewDisk(), dir: filepath.Join(dir, "data")}
		r.log = createOn(t, r.dir, r.disk)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			r.fail(t)
			r.save(t)
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				r.restart(t)
			}
		}
		r.restart(t)
		require.NoError(t, r.log.Close())
	})
}

// Where the cut after a failed sync failed, too, and the disk was then full, the frame
// stayed in the file. The next process relied on it, and a power loss removed it.
func TestUnsyncedFrameIsCutOnceTruncationWorksAgain(t *testing.T) {
	disk := durabletest.NewDisk()
	dir := filepath.Join(t.TempDir(), "data")
	l, _, err := Open(dir, Options{FS: disk})
	require.NoError(t, err)
	require.NoError(t, l.Save(Batch{HardState: &raft.HardState{Term: 1}, Entries: []raft.Entry{entry(1, 1)}}))
	second := Batch{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2)}}
	disk.SetFailSyncs(true)
	disk.SetFailTruncates(true)
	require.Error(t, l.Save(second))
	disk.SetFailSyncs(false)
	disk.SetFailTruncates(false)
	disk.SetRoom(0)
	for range 10 {
		require.Error(t, l.Save(second))
	}
	require.NoError(t, l.Close())
	l, r, err := Open(dir, Options{FS: disk})
	require.NoError(t, err)
	relied := len(r.Entries)
	require.NoError(t, l.Close())
	disk.SetRoom(-1)
	require.NoError(t, disk.LosePower(filepath.Dir(dir)))
	l, r, err = Open(dir, Options{FS: disk})
	require.NoError(t, err)
	require.Len(t, r.Entries, relied)
	require.NoError(t, l.Close())
}

// dirSyncing is a disk on which only syncs of files fail.
type dirSyncing struct{ *durabletest.Disk }

func (d dirSyncing) SyncDir(dir string) error {
	d.SetFailSyncs(false)
	defer d.SetFailSyncs(true)
	return d.Disk.SyncDir(dir)
}

// Guards against a frame that is relied on though no sync of it has succeeded: a process
// is killed between write and sync, the next one fails to sync what it has read and ends,
// and the one after that opens the log.
func TestFrameIsNotReliedOnAfterFailedSyncOfOpen(t *testing.T) {
	disk := durabletest.NewDisk()
	dir := filepath.Join(t.TempDir(), "data")
	l, _, err := Open(dir, Options{FS: disk})
	require.NoError(t, err)
	require.NoError(t, l.Save(Batch{HardState: &raft.HardState{Term: 1}, Entries: []raft.Entry{entry(1, 1)}}))
	require.NoError(t, l.encodeFrame(&record{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry(2, 2)}}))
	_, err = l.tailFile.Write(l.buffer) // killed before the sync
	require.NoError(t, err)
	require.NoError(t, l.Close())

	disk.SetFailSyncs(true)
	_, _, err = Open(dir, Options{FS: dirSyncing{disk}})
	require.Error(t, err)
	disk.SetFailSyncs(false)
	l, r, err := Open(dir, Options{FS: disk})
	require.NoError(t, err)
	relied := len(r.Entries)
	require.NoError(t, l.Save(Batch{HardState: &raft.HardState{Term: 3}, Entries: []raft.Entry{entry(3, 3)}}))
	relied++
	require.NoError(t, l.Close())
	require.NoError(t, disk.LosePower(filepath.Dir(dir)))
	l, r, err = Open(dir, Options{FS: disk})
	require.NoError(t, err)
	require.Len(t, r.Entries, relied)
	require.NoError(t, l.Close())
}
