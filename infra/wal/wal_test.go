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

func reopen(t require.TestingT, dir string) (*Log, Recovered) {
	l, r, err := Open(dir, Options{SegmentBytes: 600})
	require.NoError(t, err)
	return l, r
}

// model is what a log must recover.
type model struct {
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

func (m *model) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m *model) clone() model {
	return model{m.hardState, m.snapshot, append([]raft.Entry(nil), m.entries...)}
}

func (m *model) require(t require.TestingT, r Recovered) {
	require.Equal(t, m.hardState, r.HardState)
	require.Equal(t, m.snapshot, r.Snapshot)
	require.Len(t, r.Entries, len(m.entries))
	for i := range m.entries {
		require.Equal(t, m.entries[i], r.Entries[i])
	}
}

// step makes one random write to the log and to the model.
func (m *model) step(t *rapid.T, l *Log) {
	switch rapid.IntRange(0, 9).Draw(t, "write") {
	case 0: // own snapshot
		if len(m.entries) == 0 {
			return
		}
		at := rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")
		e := m.entries[at]
		m.snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}
		m.entries = m.entries[at+1:]
		require.NoError(t, l.WriteSnapshot(m.snapshot))
		require.NoError(t, l.Compact(e.Index, e.Term))
	case 1: // snapshot of the leader
		m.hardState.Term++
		m.snapshot = raft.Snapshot{Index: m.lastIndex() + 5, Term: m.hardState.Term, Data: []byte("installed")}
		m.entries = []raft.Entry{entry(m.snapshot.Index+1, m.hardState.Term)}
		hs := m.hardState
		require.NoError(t, l.Save(Batch{HardState: &hs, Snapshot: &m.snapshot, Entries: m.entries}))
	default: // entries, which may replace some
		m.hardState.Term++
		keep := rapid.IntRange(max(0, len(m.entries)-3), len(m.entries)).Draw(t, "keep")
		m.entries = append([]raft.Entry(nil), m.entries[:keep]...)
		var added []raft.Entry
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			added = append(added, entry(m.lastIndex()+1+uint64(len(added)), m.hardState.Term))
		}
		m.entries = append(m.entries, added...)
		hs := m.hardState
		require.NoError(t, l.Save(Batch{HardState: &hs, Entries: added}))
	}
}

// tailPath returns the last segment.
func tailPath(t require.TestingT, dir string) string {
	segments, err := listSegments(filepath.Join(dir, folderName))
	require.NoError(t, err)
	return segments[len(segments)-1].path
}

func TestRecoversWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		l, first := reopen(t, dir)
		m := &model{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			m.step(t, l)
			if rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
				continue
			}
			require.NoError(t, l.Close())
			if rapid.Bool().Draw(t, "torn") {
				tear(t, tailPath(t, dir), l.next, first.Incarnation)
			}
			var r Recovered
			l, r = reopen(t, dir)
			require.Equal(t, first.Incarnation, r.Incarnation)
			m.require(t, r)
		}
		require.NoError(t, l.Close())
	})
}

// tear adds a part of the next frame, as a crash in the middle of a write does.
func tear(t *rapid.T, path string, sequence, incarnation uint64) {
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

// A damaged byte is either in the last frame, which then counts as torn, or the
// folder is refused; nothing else is ever lost in silence.
func TestDamageBeforeTheTailIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		l, _ := reopen(t, dir)
		m := &model{}
		before := m.clone()
		for range rapid.IntRange(2, 12).Draw(t, "steps") {
			was, frames := m.clone(), l.next
			m.step(t, l)
			if l.next > frames {
				before = was
			}
		}
		lastFrame := l.tailBytes - len(l.buffer)
		require.NoError(t, l.Close())
		segments, err := listSegments(filepath.Join(dir, folderName))
		require.NoError(t, err)
		hit := rapid.IntRange(0, len(segments)-1).Draw(t, "segment")
		data, err := os.ReadFile(segments[hit].path)
		require.NoError(t, err)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		require.NoError(t, os.WriteFile(segments[hit].path, data, fileMode))

		l, r, err := Open(dir, Options{})
		if hit == len(segments)-1 && at >= lastFrame {
			if err == nil {
				before.require(t, r)
				require.NoError(t, l.Close())
				return
			}
		}
		require.ErrorIs(t, err, ErrDamaged)
	})
}

func TestLostFilesAreRefused(t *testing.T) {
	for _, lost := range []string{"*" + segmentSuffix, "*" + snapshotSuffix, incarnationName} {
		t.Run(lost, func(t *testing.T) {
			dir := t.TempDir()
			l, _ := reopen(t, dir)
			require.NoError(t, l.Save(Batch{Entries: []raft.Entry{entry(1, 1), entry(2, 1)}}))
			require.NoError(t, l.WriteSnapshot(raft.Snapshot{Index: 1, Term: 1}))
			require.NoError(t, l.Compact(1, 1))
			require.NoError(t, l.Close())
			paths, err := filepath.Glob(filepath.Join(dir, folderName, lost))
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

func TestFolderIsHeldByOneProcess(t *testing.T) {
	dir := t.TempDir()
	l, _ := reopen(t, dir)
	_, _, err := Open(dir, Options{})
	require.ErrorContains(t, err, "in use")
	require.NoError(t, l.Close())
}

func TestSegmentsBehindASnapshotGo(t *testing.T) {
	dir := t.TempDir()
	l, _ := reopen(t, dir)
	for i := uint64(1); i <= 200; i++ {
		require.NoError(t, l.Save(Batch{Entries: []raft.Entry{entry(i, 1)}}))
	}
	many := len(l.segments)
	for _, index := range []uint64{150, 199} {
		require.NoError(t, l.WriteSnapshot(raft.Snapshot{Index: index, Term: 1}))
		require.NoError(t, l.Compact(index, 1))
	}
	require.Less(t, len(l.segments), many/2)
	require.NoError(t, l.Close())
	l, r := reopen(t, dir)
	require.Equal(t, []raft.Entry{entry(200, 1)}, r.Entries)
	require.NoError(t, l.Close())
}

func FuzzReader(f *testing.F) {
	const incarnation = 7
	payload, err := encodeRecord(&record{
		HardState: &raft.HardState{Term: 3},
		Mark:      &snapshotMark{Index: 2, Term: 1},
		Entries:   []raft.Entry{entry(3, 1), entry(4, 3)},
	})
	require.NoError(f, err)
	whole := appendFrame(appendFrame(nil, incarnation, 1, payload), incarnation, 2, payload)
	f.Add(whole, false)
	f.Add(whole[:len(whole)-3], true)
	f.Add(append([]byte{0}, whole...), true)
	f.Add(payload, false)
	f.Add([]byte{}, true)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		state := &replay{}
		s, err := scanSegment(data, incarnation, 1, last, state.apply)
		require.LessOrEqual(t, s.size, len(data))
		if err == nil && !last {
			require.Equal(t, len(data), s.size)
		}
		if r, err := decodeRecord(data); err == nil {
			state.apply(r)
		}
		_ = state.check()
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
