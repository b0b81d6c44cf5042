package payload

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
)

const testSegmentBytes = 1_000

var testOpenTime = time.Unix(1_700_000_000, 0)

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, testSegmentBytes, testOpenTime, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func recordData(i int) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%04d", i), 50)
}

func mustPut(t *testing.T, s *Store, i int) batch.Ref {
	t.Helper()
	ref, err := s.Put(recordData(i))
	require.NoError(t, err)
	return ref
}

func TestRecordsSurviveReopening(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	var wg conc.WaitGroup
	for i := range 40 {
		wg.Go(func() { mustPut(t, s, i) })
	}
	wg.Wait()
	require.NoError(t, s.Close())
	s = openStore(t, dir)
	for i := range 40 {
		data, err := s.Read(RefOf(recordData(i)))
		require.NoError(t, err)
		require.Equal(t, recordData(i), data)
	}
	require.Greater(t, len(s.segments), 5)
	part, err := s.ReadSlice(batch.Slice{Record: RefOf(recordData(7)), Offset: 2, Length: 4})
	require.NoError(t, err)
	require.Equal(t, "0700", string(part))
	_, err = s.Read(RefOf([]byte("other")))
	require.ErrorIs(t, err, ErrMissing)
}

func TestDuplicatePutStoresOneCopy(t *testing.T) {
	s := openStore(t, t.TempDir())
	mustPut(t, s, 1)
	size := s.active.size
	mustPut(t, s, 1)
	require.Equal(t, size, s.active.size)
}

// A crash may leave the last record of the newest segment incomplete. The test
// truncates the segment at every length within that record.
func TestOpenTruncatesTornTail(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	first, second := mustPut(t, s, 1), mustPut(t, s, 2)
	segmentData, err := os.ReadFile(segmentPath(dir, 1))
	require.NoError(t, err)
	firstEnd := headerBytes + int(first.Length)
	for cut := firstEnd; cut < len(segmentData); cut++ {
		tornDir := t.TempDir()
		require.NoError(t, os.WriteFile(segmentPath(tornDir, 1), segmentData[:cut], fileMode))
		s := openStore(t, tornDir)
		require.True(t, s.Has(first))
		require.False(t, s.Has(second), "cut at %d", cut)
		require.Equal(t, second, mustPut(t, s, 2))
		require.NoError(t, s.Close())
		require.True(t, openStore(t, tornDir).Has(second))
	}
}

func TestDamagedRecordCountsAsMissing(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	var refs []batch.Ref
	for i := range 12 {
		refs = append(refs, mustPut(t, s, i))
	}
	require.NoError(t, s.Close())
	corrupt(t, segmentPath(dir, 1), headerBytes+5)
	s = openStore(t, dir)
	require.False(t, s.Has(refs[0]))
	require.True(t, s.Has(refs[11]))

	corrupt(t, segmentPath(dir, s.active.id), headerBytes+5)
	for _, ref := range refs {
		if s.Has(ref) && s.index[ref.Digest].segment == s.active {
			_, err := s.Read(ref)
			require.ErrorIs(t, err, ErrMissing)
			require.False(t, s.Has(ref))
			break
		}
	}
}

func corrupt(t *testing.T, path string, offset int64) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	require.NoError(t, err)
	defer f.Close()
	_, err = f.WriteAt([]byte{0xff}, offset)
	require.NoError(t, err)
}

func TestReclaimFreesUnusedRecords(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	inUse := map[batch.Digest]struct{}{}
	for i := range 100 {
		ref := mustPut(t, s, i)
		if i%17 == 0 {
			inUse[ref.Digest] = struct{}{}
		}
	}
	freed, err := s.Reclaim(inUse, testOpenTime)
	require.NoError(t, err)
	require.Zero(t, freed, "recently put records stay: a command that references them may be in flight")

	freed, err = s.Reclaim(inUse, time.Now().Add(time.Hour))
	require.NoError(t, err)
	require.Positive(t, freed)
	requireUsedReadable := func(s *Store) {
		for i := range 100 {
			_, used := inUse[RefOf(recordData(i)).Digest]
			data, err := s.Read(RefOf(recordData(i)))
			if used {
				require.NoError(t, err)
				require.Equal(t, recordData(i), data)
			}
		}
	}
	requireUsedReadable(s)
	sizeLeft := bytesOnDisk(t, dir)
	require.Less(t, sizeLeft, int64(6_000))
	require.NoError(t, s.Close())
	requireUsedReadable(openStore(t, dir))
}

func bytesOnDisk(t *testing.T, dir string) (size int64) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	require.NoError(t, err)
	for _, f := range files {
		info, err := os.Stat(f)
		require.NoError(t, err)
		size += info.Size()
	}
	return size
}

func FuzzScan(f *testing.F) {
	record := append(encodeHeader(RefOf(recordData(1)), recordData(1)), recordData(1)...)
	f.Add(record)
	f.Add(append(record, record[:50]...))
	f.Add([]byte("bpy1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(segmentPath(dir, 1), raw, fileMode))
		s, err := Open(dir, testSegmentBytes, testOpenTime, nil)
		require.NoError(t, err)
		defer s.Close() //nolint:errcheck // read only
		require.LessOrEqual(t, s.active.size, int64(len(raw)))
		mustPut(t, s, 3)
	})
}

var recordSeq atomic.Int64

// uniqueRecordData returns different record data on each call.
func uniqueRecordData() []byte { return fmt.Appendf(nil, "%0200d", recordSeq.Add(1)) }
