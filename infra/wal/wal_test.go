package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/raft"
)

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("%d of term %d", index, term))}
}

func openLog(t require.TestingT, dir string) (*Log, Recovered) {
	l, r, err := Open(dir, Options{SegmentBytes: 600})
	require.NoError(t, err)
	return l, r
}

// expectedState is the state that Open must recover.
type expectedState struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (s *expectedState) lastIndex() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s *expectedState) clone() expectedState {
	return expectedState{s.hardState, s.snapshot, append([]raft.Entry(nil), s.entries...)}
}

func (s *expectedState) require(t require.TestingT, r Recovered) {
	require.Equal(t, s.hardState, r.HardState)
	require.Equal(t, s.snapshot, r.Snapshot)
	require.Len(t, r.Entries, len(s.entries))
	for i := range s.entries {
		require.Equal(t, s.entries[i], r.Entries[i])
	}
}

// step applies one random write to the log and to the expected state.
func (s *expectedState) step(t *rapid.T, l *Log) {
	switch rapid.IntRange(0, 9).Draw(t, "write") {
	case 0: // the replica's own snapshot
		if len(s.entries) == 0 {
			return
		}
		at := rapid.IntRange(0, len(s.entries)-1).Draw(t, "at")
		e := s.entries[at]
		s.snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}
		s.entries = s.entries[at+1:]
		require.NoError(t, l.WriteSnapshot(s.snapshot))
		require.NoError(t, l.Compact(e.Index, e.Term))
	case 1: // snapshot received from the leader
		s.hardState.Term++
		s.snapshot = raft.Snapshot{Index: s.lastIndex() + 5, Term: s.hardState.Term, Data: []byte("installed")}
		s.entries = []raft.Entry{entry(s.snapshot.Index+1, s.hardState.Term)}
		hs := s.hardState
		require.NoError(t, l.Save(Batch{HardState: &hs, Snapshot: &s.snapshot, Entries: s.entries}))
	default: // entries, which may replace existing ones
		s.hardState.Term++
		keep := rapid.IntRange(max(0, len(s.entries)-3), len(s.entries)).Draw(t, "keep")
		s.entries = append([]raft.Entry(nil), s.entries[:keep]...)
		var added []raft.Entry
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			added = append(added, entry(s.lastIndex()+1+uint64(len(added)), s.hardState.Term))
		}
		s.entries = append(s.entries, added...)
		hs := s.hardState
		require.NoError(t, l.Save(Batch{HardState: &hs, Entries: added}))
	}
}

// tailPath returns the path of the last segment.
func tailPath(t require.TestingT, dir string) string {
	segments, err := listSegments(filepath.Join(dir, logDirName))
	require.NoError(t, err)
	return segments[len(segments)-1].path
}

func TestOpenRecoversSavedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		l, first := openLog(t, dir)
		expected := &expectedState{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			expected.step(t, l)
			if rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
				continue
			}
			require.NoError(t, l.Close())
			if rapid.Bool().Draw(t, "torn") {
				appendTornFrame(t, tailPath(t, dir), l.nextSequence, first.Incarnation)
			}
			var r Recovered
			l, r = openLog(t, dir)
			require.Equal(t, first.Incarnation, r.Incarnation)
			expected.require(t, r)
		}
		require.NoError(t, l.Close())
	})
}

// appendTornFrame appends a part of the next frame, as a crash during a write
// leaves it.
func appendTornFrame(t *rapid.T, path string, sequence, incarnation uint64) {
	payload, err := encodeRecord(&record{Entries: []raft.Entry{entry(1, 1), entry(2, 1)}})
	require.NoError(t, err)
	frame := appendFrame(nil, incarnation, sequence, payload)
	frame = frame[:rapid.IntRange(1, len(frame)-1).Draw(t, "part")]
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	require.NoError(t, err)
	_, err = f.Write(frame)
	require.NoError(t, err)
	require.NoError(t, f.Close())
}

// Flips bits of one byte in a random segment. If the byte is in the last frame, Open
// may truncate that frame as torn; in every other case it must return ErrDamaged, so
// that acknowledged data is never lost silently.
func TestCorruptionBeforeLastFrameIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		l, _ := openLog(t, dir)
		expected := &expectedState{}
		withoutLastFrame := expected.clone()
		for range rapid.IntRange(2, 12).Draw(t, "steps") {
			beforeStep, sequenceBefore := expected.clone(), l.nextSequence
			expected.step(t, l)
			if l.nextSequence > sequenceBefore {
				withoutLastFrame = beforeStep
			}
		}
		lastFrameOffset := l.tailSize - len(l.buffer)
		require.NoError(t, l.Close())
		segments, err := listSegments(filepath.Join(dir, logDirName))
		require.NoError(t, err)
		segmentIndex := rapid.IntRange(0, len(segments)-1).Draw(t, "segment")
		data, err := os.ReadFile(segments[segmentIndex].path)
		require.NoError(t, err)
		offset := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[offset] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		require.NoError(t, os.WriteFile(segments[segmentIndex].path, data, fileMode))

		l, r, err := Open(dir, Options{})
		if segmentIndex == len(segments)-1 && offset >= lastFrameOffset {
			if err == nil {
				withoutLastFrame.require(t, r)
				require.NoError(t, l.Close())
				return
			}
		}
		require.ErrorIs(t, err, ErrDamaged)
	})
}

func TestMissingFilesAreReportedAsDamage(t *testing.T) {
	for _, pattern := range []string{"*" + segmentSuffix, "*" + snapshotSuffix, incarnationName} {
		t.Run(pattern, func(t *testing.T) {
			dir := t.TempDir()
			l, _ := openLog(t, dir)
			require.NoError(t, l.Save(Batch{Entries: []raft.Entry{entry(1, 1), entry(2, 1)}}))
			require.NoError(t, l.WriteSnapshot(raft.Snapshot{Index: 1, Term: 1}))
			require.NoError(t, l.Compact(1, 1))
			require.NoError(t, l.Close())
			paths, err := filepath.Glob(filepath.Join(dir, logDirName, pattern))
			require.NoError(t, err)
			require.NotEmpty(t, paths)
			for _, path := range paths {
				require.NoError(t, os.Remove(path))
			}
			_, _, err = Open(dir, Options{})
			require.ErrorIs(t, err, ErrDamaged)
		})
	}
}

func TestSecondProcessCannotOpenDirectory(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	_, _, err := Open(dir, Options{})
	require.ErrorContains(t, err, "in use")
	require.NoError(t, l.Close())
}

func TestCompactRemovesOldSegments(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	for i := uint64(1); i <= 200; i++ {
		require.NoError(t, l.Save(Batch{Entries: []raft.Entry{entry(i, 1)}}))
	}
	segmentsBefore := len(l.segments)
	for _, index := range []uint64{150, 199} {
		require.NoError(t, l.WriteSnapshot(raft.Snapshot{Index: index, Term: 1}))
		require.NoError(t, l.Compact(index, 1))
	}
	require.Less(t, len(l.segments), segmentsBefore/2)
	require.NoError(t, l.Close())
	l, r := openLog(t, dir)
	require.Equal(t, []raft.Entry{entry(200, 1)}, r.Entries)
	require.NoError(t, l.Close())
}

func FuzzScanSegment(f *testing.F) {
	const incarnation = 7
	payload, err := encodeRecord(&record{
		HardState:   &raft.HardState{Term: 3},
		SnapshotRef: &snapshotRef{Index: 2, Term: 1},
		Entries:     []raft.Entry{entry(3, 1), entry(4, 3)},
	})
	require.NoError(f, err)
	twoFrames := appendFrame(appendFrame(nil, incarnation, 1, payload), incarnation, 2, payload)
	f.Add(twoFrames, false)
	f.Add(twoFrames[:len(twoFrames)-3], true)
	f.Add(append([]byte{0}, twoFrames...), true)
	f.Add(payload, false)
	f.Add([]byte{}, true)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		end := uint64(3)
		if last {
			end = 0
		}
		state := &replayState{}
		s, err := scanSegment(data, incarnation, 1, end, state.apply)
		require.LessOrEqual(t, s.size, len(data))
		if err == nil && !last && s.nextSequence < end {
			require.Equal(t, len(data), s.size)
		}
		if r, err := decodeRecord(data); err == nil {
			state.apply(r)
		}
		_ = state.validate()
	})
}

func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), Options{})
			require.NoError(b, err)
			data := make([]byte, 128)
			next := uint64(1)
			b.ResetTimer()
			for b.Loop() {
				entries := make([]raft.Entry, batch)
				for i := range entries {
					entries[i] = raft.Entry{Index: next, Term: 1, Data: data}
					next++
				}
				require.NoError(b, l.Save(Batch{Entries: entries}))
			}
			stats := l.Stats()
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "appends/s")
			b.ReportMetric(float64(stats.Bytes)/float64(stats.Syncs), "bytes/fsync")
			require.NoError(b, l.Close())
		})
	}
}
