package payload

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/batch"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/durable/durabletest"
)

// No record was accepted any more until a restart once the disk had been full for a
// moment, because the store kept its first write error.
func TestStoreAcceptsPutsOnceDiskHasRoomAgain(t *testing.T) {
	for room := range headerBytes + 300 {
		disk := durabletest.NewDisk()
		dir := filepath.Join(t.TempDir(), "payload")
		s, err := Open(dir, testSegmentBytes, testOpenTime, disk)
		require.NoError(t, err)
		mustPut(t, s, 1)
		disk.SetRoom(room)
		for _, i := range []int{2, 3} {
			_, err = s.Put(recordData(i))
		}
		require.Error(t, err)
		disk.SetRoom(-1)
		mustPut(t, s, 2)
		mustPut(t, s, 3)
		require.NoError(t, s.Close())
		require.NoError(t, disk.LosePower(dir))
		s = openStore(t, dir)
		for _, i := range []int{1, 2, 3} {
			require.True(t, s.Has(RefOf(recordData(i))), "record %d, room %d", i, room)
		}
	}
}

// An operating system may drop the pages of a failed sync and report the next one as
// successful, so a record must not be acknowledged by a later sync of its file.
func TestRecordsOfFailedSyncAreNotStored(t *testing.T) {
	disk := durabletest.NewDisk()
	dir := filepath.Join(t.TempDir(), "payload")
	s, err := Open(dir, testSegmentBytes, testOpenTime, disk)
	require.NoError(t, err)
	mustPut(t, s, 1)
	disk.SetFailSyncs(true)
	for range 2 {
		_, err = s.Put(recordData(2))
		require.Error(t, err)
		require.False(t, s.Has(RefOf(recordData(2))))
	}
	disk.SetFailSyncs(false)
	mustPut(t, s, 2)
	require.NoError(t, s.Close())
	require.NoError(t, disk.LosePower(dir))
	s = openStore(t, dir)
	require.True(t, s.Has(RefOf(recordData(1))))
	require.True(t, s.Has(RefOf(recordData(2))))
}

// A full disk must not keep the process from starting.
func TestStoreOpensOnFullDisk(t *testing.T) {
	disk := durabletest.NewDisk()
	disk.SetRoom(0)
	s, err := Open(filepath.Join(t.TempDir(), "payload"), testSegmentBytes, testOpenTime, disk)
	require.NoError(t, err)
	_, err = s.Put(recordData(1))
	require.Error(t, err)
	disk.SetRoom(-1)
	mustPut(t, s, 1)
	require.NoError(t, s.Close())
	_, err = s.Put(recordData(1))
	require.ErrorIs(t, err, ErrClosed)
}

// blockedSyncs is a file system whose syncs wait.
type blockedSyncs struct {
	*durabletest.Disk
	begun, proceed chan struct{}
}

type blockedFile struct {
	durable.File
	fs *blockedSyncs
}

func (b *blockedSyncs) OpenFile(path string, flag int, mode os.FileMode) (durable.File, error) {
	f, err := b.Disk.OpenFile(path, flag, mode)
	return &blockedFile{File: f, fs: b}, err
}

func (f *blockedFile) Sync() error {
	f.fs.begun <- struct{}{}
	<-f.fs.proceed
	return f.File.Sync()
}

// A record that is written to the file while its sync fails must not be acknowledged,
// nor one that has started a new segment be lost with it.
func TestFailedSyncCoversRecordsWrittenMeanwhile(t *testing.T) {
	fs := &blockedSyncs{Disk: durabletest.NewDisk(), begun: make(chan struct{}), proceed: make(chan struct{})}
	s, err := Open(filepath.Join(t.TempDir(), "payload"), 2*(headerBytes+200), testOpenTime, fs)
	require.NoError(t, err)
	results := make([]error, 3)
	var puts conc.WaitGroup
	defer puts.Wait()
	put := func(i int) {
		puts.Go(func() { _, results[i] = s.Put(recordData(i)) })
	}
	put(0)
	<-fs.begun
	put(1)
	require.Eventually(t, func() bool { return pendingRecords(s) == 2 }, time.Second, time.Millisecond)
	put(2) // in a new segment
	require.Eventually(t, func() bool { return pendingRecords(s) == 3 }, time.Second, time.Millisecond)
	require.False(t, s.Has(RefOf(recordData(2))), "not synced yet")
	fs.SetFailSyncs(true)
	fs.proceed <- struct{}{}
	<-fs.begun
	fs.SetFailSyncs(false)
	fs.proceed <- struct{}{}
	puts.Wait()
	require.Error(t, results[0])
	require.Error(t, results[1])
	require.NoError(t, results[2])
	require.False(t, s.Has(RefOf(recordData(1))))
	require.True(t, s.Has(RefOf(recordData(2))))
}

func pendingRecords(s *Store) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.pending)
}

// failingRun puts records on a disk that fails at random and compares what it holds
// with what Put has acknowledged.
type failingRun struct {
	disk  *durabletest.Disk
	dir   string
	store *Store
	acked []int
	next  int
}

func (r *failingRun) open(t *rapid.T) {
	s, err := Open(r.dir, testSegmentBytes, testOpenTime, r.disk)
	require.NoError(t, err)
	r.store = s
}

// put stores new records and old ones concurrently.
func (r *failingRun) put(t *rapid.T) {
	first := max(0, r.next-rapid.IntRange(0, 3).Draw(t, "again"))
	r.next += rapid.IntRange(1, 4).Draw(t, "new")
	results := make([]error, r.next-first)
	var puts conc.WaitGroup
	for i := range results {
		puts.Go(func() { _, results[i] = r.store.Put(recordData(first + i)) })
	}
	puts.Wait()
	for i, err := range results {
		if err == nil && !slices.Contains(r.acked, first+i) {
			r.acked = append(r.acked, first+i)
		}
	}
}

// reclaim keeps only every third record, so that some segments are compacted.
func (r *failingRun) reclaim() {
	r.acked = slices.DeleteFunc(r.acked, func(i int) bool { return i%3 > 0 })
	inUse := map[batch.Digest]struct{}{}
	for _, i := range r.acked {
		inUse[RefOf(recordData(i)).Digest] = struct{}{}
	}
	_, _ = r.store.Reclaim(inUse, time.Now().Add(time.Hour))
}

func (r *failingRun) work() {
	r.disk.SetRoom(-1)
	r.disk.SetFailSyncs(false)
}

func (r *failingRun) requireAcked(t *rapid.T) {
	for _, i := range r.acked {
		data, err := r.store.Read(RefOf(recordData(i)))
		require.NoError(t, err, "record %d", i)
		require.Equal(t, recordData(i), data)
	}
}

// restart opens the store again, at times after a power loss.
func (r *failingRun) restart(t *rapid.T) {
	require.NoError(t, r.store.Close())
	r.work()
	if rapid.Bool().Draw(t, "power") {
		require.NoError(t, r.disk.LosePower(r.dir))
	}
	r.open(t)
	r.requireAcked(t)
}

// Guards against a record that is acknowledged though it is not on disk, and against a
// store that accepts no records after a failure.
func TestNothingAcknowledgedIsLostByFailingDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "payload")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		r := &failingRun{disk: durabletest.NewDisk(), dir: filepath.Join(dir, "data")}
		r.open(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			r.disk.SetRoom(rapid.SampledFrom([]int{-1, -1, 0, 1, 100, 700}).Draw(t, "room"))
			r.disk.SetFailSyncs(rapid.IntRange(0, 3).Draw(t, "syncs") == 0)
			r.put(t)
			if rapid.IntRange(0, 5).Draw(t, "reclaim") == 0 {
				r.reclaim()
			}
			r.requireAcked(t)
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				r.restart(t)
			}
		}
		r.work()
		_, err = r.store.Put(recordData(r.next))
		require.NoError(t, err)
		r.acked = append(r.acked, r.next)
		r.restart(t)
		require.NoError(t, r.store.Close())
	})
}

// Where the sync of a segment behind the active one failed, and so did the cut, the record
// stayed in the file. The next process took it for stored and acknowledged it without
// writing it, and a power loss removed it.
func TestFullSegmentIsCutOnceTruncationWorksAgain(t *testing.T) {
	disk := durabletest.NewDisk()
	dir := filepath.Join(t.TempDir(), "payload")
	s, err := Open(dir, 1, testOpenTime, disk)
	require.NoError(t, err)
	mustPut(t, s, 1)
	l, err := s.append(RefOf(recordData(2)), recordData(2))
	require.NoError(t, err)
	_, err = s.append(RefOf(recordData(3)), recordData(3))
	require.NoError(t, err)
	disk.SetFailSyncs(true)
	disk.SetFailTruncates(true)
	require.Error(t, s.sync(l))
	disk.SetFailSyncs(false)
	disk.SetFailTruncates(false)
	mustPut(t, s, 4)
	mustPut(t, s, 5)
	require.NoError(t, s.Close())
	s, err = Open(dir, 1, testOpenTime, disk)
	require.NoError(t, err)
	_, err = s.Put(recordData(2))
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.NoError(t, disk.LosePower(dir))
	s = openStore(t, dir)
	require.True(t, s.Has(RefOf(recordData(2))))
}
