package wal

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable"
)

// ErrDamaged means that synced bytes cannot be read any more: the disk counts
// as lost. The folder must be emptied before the replica may start again.
var ErrDamaged = errors.New("wal: damaged, the disk counts as lost")

// DefaultSegmentBytes is the size from which on a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Options tunes a log. Zero values mean the defaults.
type Options struct {
	SegmentBytes int
}

// Recovered is what Open found in the folder.
type Recovered struct {
	Incarnation uint64
	HardState   raft.HardState
	Snapshot    raft.Snapshot
	Entries     []raft.Entry // after Snapshot
	TornBytes   int          // cut from the tail
}

// Batch is what one Save makes durable.
type Batch struct {
	HardState *raft.HardState
	Snapshot  *raft.Snapshot // from the leader; replaces all entries
	Entries   []raft.Entry   // replace saved entries from Entries[0].Index on
}

// Stats counts what was written since Open.
type Stats struct {
	Syncs int64 // fsyncs of the log
	Bytes int64 // bytes of the log
}

// Log is the open log of one replica. Only WriteSnapshot may run beside another
// method.
type Log struct {
	dir         string
	options     Options
	incarnation uint64
	lock        *os.File
	tail        *os.File
	tailBytes   int
	next        uint64 // sequence of the next frame
	segments    []segment
	hardState   raft.HardState
	mark        snapshotMark
	former      snapshotMark // in force before mark
	buffer      []byte
	failed      error
	stats       Stats
}

// Open opens the log in dir and creates it, with a new incarnation, when dir
// holds none. It cuts a torn tail and returns ErrDamaged for any other fault.
func Open(dir string, options Options) (*Log, Recovered, error) {
	if options.SegmentBytes <= 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "create data folder")
	}
	folder := filepath.Join(dir, folderName)
	if _, err := os.Stat(folder); errors.Is(err, os.ErrNotExist) {
		if err := createFolder(dir); err != nil {
			return nil, Recovered{}, err
		}
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{dir: folder, options: options, lock: lock}
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
	state := &replay{}
	torn, err := l.replaySegments(state)
	if err != nil {
		return Recovered{}, err
	}
	if err := state.check(); err != nil {
		return Recovered{}, err
	}
	snapshot, err := readSnapshot(l.dir, l.incarnation, state.mark)
	if err != nil {
		return Recovered{}, err
	}
	if err := removeSnapshots(l.dir, state.former, state.mark, true); err != nil {
		return Recovered{}, err
	}
	return Recovered{
		Incarnation: l.incarnation,
		HardState:   state.hardState,
		Snapshot:    snapshot,
		Entries:     state.entries,
		TornBytes:   torn,
	}, nil
}

// replaySegments reads all segments, cuts a torn tail and opens the last
// segment for writing. It returns the number of bytes cut.
func (l *Log) replaySegments(state *replay) (int, error) {
	segments, err := listSegments(l.dir)
	if err != nil {
		return 0, err
	}
	if len(segments) == 0 {
		return 0, errors.Wrap(ErrDamaged, "no segment")
	}
	torn := 0
	l.next = segments[0].first
	for i := range segments {
		if segments[i].first != l.next {
			return 0, errors.Wrapf(ErrDamaged, "segment %d where %d is due", segments[i].first, l.next)
		}
		data, err := os.ReadFile(segments[i].path)
		if err != nil {
			return 0, errors.Wrapf(ErrDamaged, "read segment: %v", err)
		}
		last := i == len(segments)-1
		s, err := scanSegment(data, l.incarnation, segments[i].first, last, state.apply)
		if err != nil {
			return 0, err
		}
		segments[i].maxIndex = s.maxIndex
		l.next = s.next
		l.tailBytes = s.size
		torn = len(data) - s.size
	}
	l.segments = segments
	l.hardState = state.hardState
	l.mark = state.mark
	l.former = state.former
	return torn, l.openTail(torn)
}

// openTail cuts a torn tail and opens the last segment for appending. A last
// segment of which nothing is whole was never used and goes.
func (l *Log) openTail(torn int) error {
	last := l.segments[len(l.segments)-1]
	if l.tailBytes == 0 {
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
		return errors.Wrap(err, "open tail")
	}
	l.tail = tail
	if torn == 0 {
		return nil
	}
	if err := tail.Truncate(int64(l.tailBytes)); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	return errors.Wrap(tail.Sync(), "sync cut tail")
}

// Save makes a batch durable with one frame and one fsync. After an error the
// log takes no more writes: what a failed fsync left on disk is unknown.
func (l *Log) Save(b Batch) error {
	r := &record{HardState: b.HardState, Entries: b.Entries}
	if b.Snapshot != nil {
		if err := l.WriteSnapshot(*b.Snapshot); err != nil {
			l.failed = err
			return err
		}
		r.Mark = &snapshotMark{Index: b.Snapshot.Index, Term: b.Snapshot.Term, Installed: true}
	}
	if err := l.write(r); err != nil {
		return err
	}
	if b.Snapshot != nil {
		return l.prune()
	}
	return nil
}

// Compact puts a snapshot that WriteSnapshot has made durable in force and
// removes segments and snapshots that it makes superfluous.
func (l *Log) Compact(index, term uint64) error {
	if index <= l.mark.Index {
		return nil
	}
	if err := l.write(&record{Mark: &snapshotMark{Index: index, Term: term}}); err != nil {
		return err
	}
	return l.prune()
}

func (l *Log) write(r *record) error {
	if l.failed != nil {
		return l.failed
	}
	if l.tailBytes >= l.options.SegmentBytes {
		if err := l.startSegment(); err != nil {
			l.failed = err
			return err
		}
	}
	if err := l.writeFrame(r); err != nil {
		l.failed = err
		return err
	}
	if r.HardState != nil {
		l.hardState = *r.HardState
	}
	if r.Mark != nil {
		l.former, l.mark = l.mark, *r.Mark
	}
	tail := &l.segments[len(l.segments)-1]
	for i := range r.Entries {
		tail.maxIndex = max(tail.maxIndex, r.Entries[i].Index)
	}
	return nil
}

func (l *Log) writeFrame(r *record) error {
	payload, err := encodeRecord(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if len(payload) > maxPayload {
		return errors.Newf("wal: record of %d bytes", len(payload))
	}
	l.buffer = appendFrame(l.buffer[:0], l.incarnation, l.next, payload)
	if _, err := l.tail.Write(l.buffer); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.tail.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	l.next++
	l.tailBytes += len(l.buffer)
	l.stats.Syncs++
	l.stats.Bytes += int64(len(l.buffer))
	return nil
}

// startSegment begins a new segment. Its first frame repeats the hard state and
// the snapshot in force, so that older segments can go.
func (l *Log) startSegment() error {
	path := segmentPath(l.dir, l.next)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if l.tail != nil {
		l.tail.Close()
	}
	l.tail = f
	l.tailBytes = 0
	l.segments = append(l.segments, segment{first: l.next, path: path})
	hs := l.hardState
	mark := l.mark
	mark.Installed = false
	if err := l.writeFrame(&record{HardState: &hs, Mark: &mark}); err != nil {
		return err
	}
	return durable.SyncDir(l.dir)
}

// prune removes the oldest segments that hold only entries of the snapshot that
// was in force before the last one. What the last frame superseded stays: if
// that frame is cut, the state before it is whole.
func (l *Log) prune() error {
	for len(l.segments) > 1 && l.segments[0].maxIndex <= l.former.Index {
		if err := os.Remove(l.segments[0].path); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		l.segments = l.segments[1:]
	}
	return removeSnapshots(l.dir, l.former, l.mark, false)
}

// Stats returns the counts since Open.
func (l *Log) Stats() Stats { return l.stats }

// Close releases the folder.
func (l *Log) Close() error {
	var err error
	if l.tail != nil {
		err = l.tail.Close()
	}
	return errors.CombineErrors(err, l.lock.Close())
}
