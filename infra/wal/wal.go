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

// ErrPermanent means that a write can never succeed, because its data cannot be
// encoded or is too large, or because the log is closed.
var ErrPermanent = errors.New("wal: write cannot succeed")

// DefaultSegmentBytes is the size at which a segment is closed and the next one is
// started.
const DefaultSegmentBytes = 16 << 20

// Options configures a log. Zero values select the defaults.
type Options struct {
	SegmentBytes int
	FS           durable.FS
	// CleanupFailed is called when files that are no longer needed cannot be removed.
	// The next compaction tries again.
	CleanupFailed func(error)
}

// Recovered is the state that Open read from the directory.
type Recovered struct {
	Incarnation uint64
	HardState   raft.HardState
	Snapshot    raft.Snapshot
	Entries     []raft.Entry // after Snapshot
	TornBytes   int          // truncated from the end of the last segment
	// IgnoredSegments counts the segments below a gap that later ones supersede. The next
	// compaction removes them.
	IgnoredSegments int
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
//
// An error of Save, Compact or WriteSnapshot means that nothing of the call may be
// relied on. Unless it is ErrPermanent or ErrDamaged, the call may be repeated: the
// log first makes its last segment fit for the next frame (see prepareTail).
type Log struct {
	dir          string
	options      Options
	incarnation  uint64
	lockFile     *os.File
	tailFile     durable.File
	tailState    tailState
	tailSize     int
	nextSequence uint64 // sequence of the next frame
	segments     []segment
	hardState    raft.HardState
	snapshotRef  snapshotRef
	previousRef  snapshotRef // current before snapshotRef
	// removalUnsynced: the directory was not synced since the last removal of a segment.
	removalUnsynced bool
	buffer          []byte
	closed          bool
	stats           Stats
}

func (o *Options) setDefaults() {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.FS == nil {
		o.FS = durable.OS{}
	}
	if o.CleanupFailed == nil {
		o.CleanupFailed = func(error) {}
	}
}

// Open opens the log in dir. If dir holds none, it creates one with a new
// incarnation. It truncates a torn tail and returns ErrDamaged if other data is
// missing or corrupt.
func Open(dir string, options Options) (*Log, Recovered, error) {
	options.setDefaults()
	if err := durable.MkdirAll(options.FS, dir, dirMode); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "create data directory")
	}
	logDir := filepath.Join(dir, logDirName)
	if _, err := os.Stat(logDir); errors.Is(err, os.ErrNotExist) {
		if err := createLogDir(options.FS, dir); err != nil {
			return nil, Recovered{}, err
		}
	}
	// A process that was killed may have left the directory unsynced.
	if err := options.FS.SyncDir(dir); err != nil {
		return nil, Recovered{}, err
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
	segments, err := listSegments(l.dir)
	if err != nil {
		return Recovered{}, err
	}
	state := &replayState{}
	replayed, err := l.replaySegments(segments, state)
	if err != nil {
		return Recovered{}, err
	}
	if err := state.validate(); err != nil {
		return Recovered{}, err
	}
	if err := l.openTail(replayed.tornBytes); err != nil {
		return Recovered{}, err
	}
	snapshot, err := readSnapshot(l.dir, l.incarnation, state.snapshotRef)
	if err != nil {
		return Recovered{}, err
	}
	if err := removeSnapshots(l.options.FS, l.dir, state.previousRef, state.snapshotRef, true); err != nil {
		return Recovered{}, err
	}
	return Recovered{
		Incarnation:     l.incarnation,
		HardState:       state.hardState,
		Snapshot:        snapshot,
		Entries:         state.entries,
		TornBytes:       replayed.tornBytes,
		IgnoredSegments: replayed.ignored,
	}, nil
}

// replayResult describes the segments that replaySegments has read.
type replayResult struct {
	tornBytes int // after the last valid frame
	ignored   int // segments below a gap
}

// replaySegments applies the records of the segments after the last gap to state. A gap
// is no damage by itself: a power loss may have kept a removed segment and not a
// younger one that was removed after it. validate tells whether the rest is complete.
func (l *Log) replaySegments(segments []segment, state *replayState) (replayResult, error) {
	if len(segments) == 0 {
		return replayResult{}, errors.Wrap(ErrDamaged, "no segment files")
	}
	result := replayResult{}
	for i := range segments {
		first := segments[i].firstSequence
		if i == 0 || first != l.nextSequence {
			*state = replayState{wholeHistory: first == firstSequence}
			result.ignored = i
		}
		data, err := os.ReadFile(segments[i].path)
		if err != nil {
			return result, errors.Wrapf(ErrDamaged, "read segment: %v", err)
		}
		end := uint64(0)
		if i+1 < len(segments) {
			end = segments[i+1].firstSequence
		}
		s, err := scanSegment(data, l.incarnation, first, end, state.apply)
		if err != nil {
			return result, err
		}
		segments[i].maxIndex = s.maxIndex
		l.nextSequence = s.nextSequence
		l.tailSize = s.size
		result.tornBytes = len(data) - s.size
	}
	l.segments = segments
	l.hardState = state.hardState
	l.snapshotRef = state.snapshotRef
	l.previousRef = state.previousRef
	return result, nil
}

// openTail truncates a torn tail and opens the last segment. If the last segment has
// no valid frame, nothing in it was acknowledged, and it is removed. What was read may
// not be on disk yet if the process that wrote it was killed, so the segment and the
// directory are synced.
func (l *Log) openTail(tornBytes int) error {
	l.tailState = tailEnded
	last := l.segments[len(l.segments)-1]
	if l.tailSize == 0 {
		return l.removeEmptyTail(last)
	}
	tail, err := l.options.FS.OpenFile(last.path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "open last segment")
	}
	l.tailFile = tail
	if tornBytes > 0 {
		if err := l.cutTail(); err != nil {
			return err
		}
	}
	if err := l.syncOpenedTail(last); err != nil {
		return err
	}
	return l.options.FS.SyncDir(l.dir)
}

func (l *Log) removeEmptyTail(last segment) error {
	if len(l.segments) == 1 {
		return errors.Wrap(ErrDamaged, "the only segment is torn at its start")
	}
	if err := l.options.FS.Remove(last.path); err != nil {
		return errors.Wrap(err, "remove unfinished segment")
	}
	l.segments = l.segments[:len(l.segments)-1]
	return l.options.FS.SyncDir(l.dir)
}

// Save makes a batch durable with one frame and one fsync.
func (l *Log) Save(b Batch) error {
	r := &record{HardState: b.HardState, Entries: b.Entries}
	if b.Snapshot != nil {
		if err := l.WriteSnapshot(*b.Snapshot); err != nil {
			return err
		}
		r.SnapshotRef = &snapshotRef{Index: b.Snapshot.Index, Term: b.Snapshot.Term, Installed: true}
	}
	if err := l.write(r); err != nil {
		return err
	}
	if b.Snapshot != nil {
		l.removeObsolete()
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
	l.removeObsolete()
	return nil
}

// write appends a record and starts a new segment first if the last one is full.
func (l *Log) write(r *record) error {
	if l.closed {
		return errors.Wrap(ErrPermanent, "the log is closed")
	}
	if err := l.prepareTail(); err != nil {
		return err
	}
	if err := l.appendFrame(r); err != nil {
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

// appendFrame appends a record to the last segment as one frame and syncs it.
func (l *Log) appendFrame(r *record) error {
	if err := l.encodeFrame(r); err != nil {
		return err
	}
	if _, err := l.tailFile.Write(l.buffer); err != nil {
		l.tailState = tailTorn
		return errors.Wrap(err, "write log")
	}
	if err := l.tailFile.Sync(); err != nil {
		l.tailState = tailEnded
		return errors.CombineErrors(errors.Wrap(err, "sync log"), l.cutTail())
	}
	l.countFrame()
	l.tailSize += len(l.buffer)
	return nil
}

// encodeFrame encodes a record as the next frame into the buffer.
func (l *Log) encodeFrame(r *record) error {
	payload, err := encodeRecord(r)
	if err != nil {
		return errors.Wrapf(ErrPermanent, "encode record: %v", err)
	}
	if len(payload) > maxPayload {
		return errors.Wrapf(ErrPermanent, "record of %d bytes is too large", len(payload))
	}
	l.buffer = appendFrame(l.buffer[:0], l.incarnation, l.nextSequence, payload)
	return nil
}

// countFrame counts the frame in the buffer, which is synced.
func (l *Log) countFrame() {
	l.nextSequence++
	l.stats.Syncs++
	l.stats.Bytes += int64(len(l.buffer))
}

// startSegment starts a new segment. Its first frame repeats the hard state and the
// reference to the current snapshot, so that older segments can be removed. After an
// error the previous segment is still the last one.
func (l *Log) startSegment() error {
	hs := l.hardState
	ref := l.snapshotRef
	ref.Installed = false
	if err := l.encodeFrame(&record{HardState: &hs, SnapshotRef: &ref}); err != nil {
		return err
	}
	path := segmentPath(l.dir, l.nextSequence)
	f, err := l.createSegment(path)
	if err != nil {
		return err
	}
	if l.tailFile != nil {
		l.tailFile.Close() // its frames are synced
	}
	l.tailFile = f
	l.tailState = tailAppendable
	l.tailSize = len(l.buffer)
	l.segments = append(l.segments, segment{firstSequence: l.nextSequence, path: path})
	l.countFrame()
	return nil
}

// createSegment creates a segment that holds the frame in the buffer and syncs it
// together with its directory. It replaces the file of a failed attempt.
func (l *Log) createSegment(path string) (durable.File, error) {
	if err := l.options.FS.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrap(err, "remove unfinished segment")
	}
	f, err := l.options.FS.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "create segment")
	}
	if _, err = f.Write(l.buffer); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.options.FS.SyncDir(l.dir)
	}
	if err != nil {
		// Empty, it is not taken for a synced segment by a process that opens the log.
		err = errors.CombineErrors(errors.Wrap(err, "write first frame of segment"), f.Truncate(0))
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

// removeObsolete removes the oldest segments whose entries are all covered by the
// previous snapshot. Data that only the current snapshot supersedes is kept: if the
// frame that refers to it is truncated as torn, the state before that frame is still
// complete. The frame that made them obsolete is synced, so an error fails no write.
func (l *Log) removeObsolete() {
	for len(l.segments) > 1 && l.segments[0].maxIndex <= l.previousRef.Index {
		if err := l.removeOldest(); err != nil {
			l.options.CleanupFailed(errors.Wrap(err, "remove segment"))
			return
		}
	}
	if err := removeSnapshots(l.options.FS, l.dir, l.previousRef, l.snapshotRef, false); err != nil {
		l.options.CleanupFailed(err)
	}
}

// removeOldest removes the oldest segment once the removal before it is durable, so that
// no power loss keeps an older segment than one that it loses.
func (l *Log) removeOldest() error {
	if l.removalUnsynced {
		if err := l.options.FS.SyncDir(l.dir); err != nil {
			return err
		}
		l.removalUnsynced = false
	}
	if err := l.options.FS.Remove(l.segments[0].path); err != nil {
		return err
	}
	l.removalUnsynced = true
	l.segments = l.segments[1:]
	return nil
}

// Stats returns the counters.
func (l *Log) Stats() Stats { return l.stats }

// Close closes the last segment and releases the lock file.
func (l *Log) Close() error {
	l.closed = true
	var err error
	if l.tailFile != nil {
		err = l.tailFile.Close()
	}
	return errors.CombineErrors(err, l.lockFile.Close())
}
