package wal

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable"
)

// ErrDamaged means that synced data can no longer be read, so the contents of the
// disk must be treated as lost. The directory must be emptied before the replica
// may start again.
var ErrDamaged = errors.New("wal: log is damaged, synced data is lost")

// DefaultSegmentBytes is the size at which a segment is closed and the next one is
// started.
const DefaultSegmentBytes = 16 << 20

// Options configures a log. Zero values select the defaults.
type Options struct {
	SegmentBytes int
}

// Recovered is the state that Open read from the directory.
type Recovered struct {
	Incarnation uint64
	HardState   raft.HardState
	Snapshot    raft.Snapshot
	Entries     []raft.Entry // after Snapshot
	TornBytes   int          // truncated from the end of the last segment
}

// Batch is the data that one Save makes durable.
type Batch struct {
	HardState *raft.HardState
	Snapshot  *raft.Snapshot // received from the leader; replaces all entries
	Entries   []raft.Entry   // replace the saved entries from Entries[0].Index on
}

// Stats counts the writes since Open.
type Stats struct {
	Syncs int64 // fsyncs of the log
	Bytes int64 // bytes written to the log
}

// Log is the open log of one replica. Its methods must not be called concurrently,
// except for WriteSnapshot, which may run beside another method.
type Log struct {
	dir          string
	options      Options
	incarnation  uint64
	lockFile     *os.File
	tailFile     *os.File
	tailSize     int
	nextSequence uint64 // sequence of the next frame
	segments     []segment
	hardState    raft.HardState
	snapshotRef  snapshotRef
	previousRef  snapshotRef // current before snapshotRef
	buffer       []byte
	writeErr     error
	stats        Stats
}

// Open opens the log in dir. If dir holds none, it creates one with a new
// incarnation. It truncates a torn tail and returns ErrDamaged if other data is
// missing or corrupt.
func Open(dir string, options Options) (*Log, Recovered, error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "create data directory")
	}
	logDir := filepath.Join(dir, logDirName)
	if _, err := os.Stat(logDir); errors.Is(err, os.ErrNotExist) {
		if err := createLogDir(dir); err != nil {
			return nil, Recovered{}, err
		}
	}
	lock, err := lockDir(logDir)
	if err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{dir: logDir, options: options, lockFile: lock}
	recovered, err := l.recover()
	if err != nil {
		return nil, Recovered{}, errors.CombineErrors(err, l.Close())
	}
	return l, recovered, nil
}

func (l *Log) recover() (Recovered, error) {
	var err error
	if l.incarnation, err = readIncarnation(l.dir); err != nil {
		return Recovered{}, err
	}
	state := &replayState{}
	tornBytes, err := l.replaySegments(state)
	if err != nil {
		return Recovered{}, err
	}
	if err := state.validate(); err != nil {
		return Recovered{}, err
	}
	snapshot, err := readSnapshot(l.dir, l.incarnation, state.snapshotRef)
	if err != nil {
		return Recovered{}, err
	}
	if err := removeSnapshots(l.dir, state.previousRef, state.snapshotRef, true); err != nil {
		return Recovered{}, err
	}
	return Recovered{
		Incarnation: l.incarnation,
		HardState:   state.hardState,
		Snapshot:    snapshot,
		Entries:     state.entries,
		TornBytes:   tornBytes,
	}, nil
}

// replaySegments applies the records of all segments to state, truncates a torn tail
// and opens the last segment for writing. It returns the number of bytes truncated.
func (l *Log) replaySegments(state *replayState) (int, error) {
	segments, err := listSegments(l.dir)
	if err != nil {
		return 0, err
	}
	if len(segments) == 0 {
		return 0, errors.Wrap(ErrDamaged, "no segment files")
	}
	tornBytes := 0
	l.nextSequence = segments[0].firstSequence
	for i := range segments {
		if segments[i].firstSequence != l.nextSequence {
			return 0, errors.Wrapf(ErrDamaged, "found segment %d, expected %d", segments[i].firstSequence, l.nextSequence)
		}
		data, err := os.ReadFile(segments[i].path)
		if err != nil {
			return 0, errors.Wrapf(ErrDamaged, "read segment: %v", err)
		}
		last := i == len(segments)-1
		s, err := scanSegment(data, l.incarnation, segments[i].firstSequence, last, state.apply)
		if err != nil {
			return 0, err
		}
		segments[i].maxIndex = s.maxIndex
		l.nextSequence = s.nextSequence
		l.tailSize = s.size
		tornBytes = len(data) - s.size
	}
	l.segments = segments
	l.hardState = state.hardState
	l.snapshotRef = state.snapshotRef
	l.previousRef = state.previousRef
	return tornBytes, l.openTail(tornBytes)
}

// openTail truncates a torn tail and opens the last segment for appending. If the
// last segment has no valid frame, nothing in it was acknowledged: it is removed and
// a new segment is started.
func (l *Log) openTail(tornBytes int) error {
	last := l.segments[len(l.segments)-1]
	if l.tailSize == 0 {
		if len(l.segments) == 1 {
			return errors.Wrap(ErrDamaged, "the only segment is torn at its start")
		}
		if err := os.Remove(last.path); err != nil {
			return errors.Wrap(err, "remove unfinished segment")
		}
		l.segments = l.segments[:len(l.segments)-1]
		if err := durable.SyncDir(l.dir); err != nil {
			return err
		}
		return l.startSegment()
	}
	tail, err := os.OpenFile(last.path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "open last segment")
	}
	l.tailFile = tail
	if tornBytes == 0 {
		return nil
	}
	if err := tail.Truncate(int64(l.tailSize)); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	return errors.Wrap(tail.Sync(), "sync truncated segment")
}

// Save makes a batch durable with one frame and one fsync. After an error the log
// accepts no more writes, because the state on disk after a failed fsync is unknown.
func (l *Log) Save(b Batch) error {
	r := &record{HardState: b.HardState, Entries: b.Entries}
	if b.Snapshot != nil {
		if err := l.WriteSnapshot(*b.Snapshot); err != nil {
			l.writeErr = err
			return err
		}
		r.SnapshotRef = &snapshotRef{Index: b.Snapshot.Index, Term: b.Snapshot.Term, Installed: true}
	}
	if err := l.write(r); err != nil {
		return err
	}
	if b.Snapshot != nil {
		return l.removeObsolete()
	}
	return nil
}

// Compact makes a snapshot that WriteSnapshot has written the current one and
// removes segments and snapshots that are no longer needed. It does nothing if a
// snapshot with this or a higher index is current.
func (l *Log) Compact(index, term uint64) error {
	if index <= l.snapshotRef.Index {
		return nil
	}
	if err := l.write(&record{SnapshotRef: &snapshotRef{Index: index, Term: term}}); err != nil {
		return err
	}
	return l.removeObsolete()
}

// write appends a record and starts a new segment first if the last one is full.
func (l *Log) write(r *record) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	if l.tailSize >= l.options.SegmentBytes {
		if err := l.startSegment(); err != nil {
			l.writeErr = err
			return err
		}
	}
	if err := l.writeFrame(r); err != nil {
		l.writeErr = err
		return err
	}
	if r.HardState != nil {
		l.hardState = *r.HardState
	}
	if r.SnapshotRef != nil {
		l.previousRef, l.snapshotRef = l.snapshotRef, *r.SnapshotRef
	}
	tail := &l.segments[len(l.segments)-1]
	for i := range r.Entries {
		tail.maxIndex = max(tail.maxIndex, r.Entries[i].Index)
	}
	return nil
}

// writeFrame appends a record to the last segment as one frame and syncs it.
func (l *Log) writeFrame(r *record) error {
	payload, err := encodeRecord(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if len(payload) > maxPayload {
		return errors.Newf("wal: record of %d bytes is too large", len(payload))
	}
	l.buffer = appendFrame(l.buffer[:0], l.incarnation, l.nextSequence, payload)
	if _, err := l.tailFile.Write(l.buffer); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.tailFile.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.nextSequence++
	l.tailSize += len(l.buffer)
	l.stats.Syncs++
	l.stats.Bytes += int64(len(l.buffer))
	return nil
}

// startSegment starts a new segment. Its first frame repeats the hard state and the
// reference to the current snapshot, so that older segments can be removed.
func (l *Log) startSegment() error {
	path := segmentPath(l.dir, l.nextSequence)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if l.tailFile != nil {
		l.tailFile.Close()
	}
	l.tailFile = f
	l.tailSize = 0
	l.segments = append(l.segments, segment{firstSequence: l.nextSequence, path: path})
	hs := l.hardState
	ref := l.snapshotRef
	ref.Installed = false
	if err := l.writeFrame(&record{HardState: &hs, SnapshotRef: &ref}); err != nil {
		return err
	}
	return durable.SyncDir(l.dir)
}

// removeObsolete removes the oldest segments whose entries are all covered by the
// previous snapshot. Data that only the current snapshot supersedes is kept: if the
// frame that refers to it is truncated as torn, the state before that frame is still
// complete.
func (l *Log) removeObsolete() error {
	for len(l.segments) > 1 && l.segments[0].maxIndex <= l.previousRef.Index {
		if err := os.Remove(l.segments[0].path); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		l.segments = l.segments[1:]
	}
	return removeSnapshots(l.dir, l.previousRef, l.snapshotRef, false)
}

// Stats returns the counters.
func (l *Log) Stats() Stats { return l.stats }

// Close closes the last segment and releases the lock file.
func (l *Log) Close() error {
	var err error
	if l.tailFile != nil {
		err = l.tailFile.Close()
	}
	return errors.CombineErrors(err, l.lockFile.Close())
}
