package payload

import (
	"crypto/sha256"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/durable"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 64 << 20

// ErrMissing is returned for a record that this host does not hold.
var ErrMissing = errors.New("payload record is not on this host")

// location is where the data of a record lies.
type location struct {
	segment   *segment
	offset    int64
	length    uint32
	writtenAt time.Time // put last, or found when the store was opened
}

// Store holds the records of one host. It is safe for concurrent use.
type Store struct {
	dir          string
	segmentBytes int64

	mu       sync.RWMutex
	index    map[batch.Digest]*location
	segments map[uint64]*segment
	active   *segment
	written  uint64 // records appended so far
	failed   error  // of the disk; nothing is written after it

	syncMu sync.Mutex
	synced uint64 // records known to be on disk
}

// Open reads the folder dir and creates it if needed. A torn tail is cut. A
// record that is damaged elsewhere counts as missing, with all that follow it
// in its segment. Zero segmentBytes means DefaultSegmentBytes.
func Open(dir string, segmentBytes int64, now time.Time) (*Store, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, errors.Wrap(err, "create payload folder")
	}
	s := &Store{dir: dir, segmentBytes: segmentBytes, index: make(map[batch.Digest]*location), segments: make(map[uint64]*segment)}
	ids, err := s.list()
	if err != nil {
		return nil, err
	}
	for i, id := range ids {
		if err := s.load(id, i == len(ids)-1, now); err != nil {
			return nil, errors.CombineErrors(err, s.Close())
		}
	}
	if s.active == nil {
		if err := s.begin(1); err != nil {
			return nil, errors.CombineErrors(err, s.Close())
		}
	}
	return s, nil
}

func (s *Store) list() ([]uint64, error) {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, errors.Wrap(err, "list payload folder")
	}
	var ids []uint64
	for _, e := range entries {
		if id, ok := segmentID(e.Name()); ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, nil
}

func (s *Store) load(id uint64, newest bool, now time.Time) error {
	f, err := os.OpenFile(segmentPath(s.dir, id), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	seg := &segment{id: id, file: f}
	s.segments[id] = seg
	sound, err := scan(f, func(ref batch.Ref, offset int64) {
		s.place(ref, &location{segment: seg, offset: offset, length: ref.Length, writtenAt: now})
	})
	if err != nil {
		return err
	}
	seg.size = sound
	if !newest {
		return nil
	}
	if err := f.Truncate(sound); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	s.active = seg
	return nil
}

// place indexes a record. A second copy of a record takes over from the first.
func (s *Store) place(ref batch.Ref, l *location) {
	s.drop(ref.Digest)
	s.index[ref.Digest] = l
	l.segment.liveBytes += int64(l.length) + headerBytes
}

// drop forgets a record. The caller holds mu.
func (s *Store) drop(d batch.Digest) {
	if l, ok := s.index[d]; ok {
		l.segment.liveBytes -= int64(l.length) + headerBytes
		delete(s.index, d)
	}
}

// begin starts a segment. The caller holds mu.
func (s *Store) begin(id uint64) error {
	f, err := os.OpenFile(segmentPath(s.dir, id), os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	s.active = &segment{id: id, file: f}
	s.segments[id] = s.active
	return durable.SyncDir(s.dir)
}

// RefOf returns the name of a record.
func RefOf(data []byte) batch.Ref {
	return batch.Ref{Digest: sha256.Sum256(data), Length: uint32(len(data))}
}

// Put stores a record and returns when it is synced. Records put at the same
// time share one sync. A record that is held already is synced again at most.
func (s *Store) Put(data []byte) (batch.Ref, error) {
	if len(data) > maxRecordBytes {
		return batch.Ref{}, outcome.New(outcome.BodyTooLarge, outcome.NotRun, "record of %d bytes exceeds %d", len(data), maxRecordBytes)
	}
	ref := RefOf(data)
	upTo, err := s.append(ref, data)
	if err != nil {
		return batch.Ref{}, err
	}
	return ref, s.syncTo(upTo)
}

// append writes a record and returns the number of records written so far.
func (s *Store) append(ref batch.Ref, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failed
	}
	if l, ok := s.index[ref.Digest]; ok {
		l.writtenAt = time.Now()
		return s.written, nil
	}
	if err := s.write(ref, data); err != nil {
		s.failed = err
		return 0, err
	}
	return s.written, nil
}

// write appends to the active segment, or to a new one when that is full. The
// caller holds mu.
func (s *Store) write(ref batch.Ref, data []byte) error {
	if s.active.size >= s.segmentBytes {
		if err := s.active.file.Sync(); err != nil {
			return errors.Wrap(err, "sync segment")
		}
		if err := s.begin(s.active.id + 1); err != nil {
			return err
		}
	}
	seg := s.active
	record := append(encodeHeader(ref, data), data...)
	if _, err := seg.file.WriteAt(record, seg.size); err != nil {
		return errors.Wrap(err, "write record")
	}
	s.place(ref, &location{segment: seg, offset: seg.size + headerBytes, length: ref.Length, writtenAt: time.Now()})
	seg.size += int64(len(record))
	s.written++
	return nil
}

// syncTo returns when the first upTo records are on disk. One caller syncs for
// all that wait.
func (s *Store) syncTo(upTo uint64) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	if s.synced >= upTo {
		return nil
	}
	s.mu.RLock()
	file, covered, failed := s.active.file, s.written, s.failed
	s.mu.RUnlock()
	if failed != nil {
		return failed
	}
	if err := file.Sync(); err != nil {
		err = errors.Wrap(err, "sync segment")
		s.mu.Lock()
		s.failed = err
		s.mu.Unlock()
		return err
	}
	s.synced = covered
	return nil
}

// Has reports whether the record is on this host.
func (s *Store) Has(ref batch.Ref) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.index[ref.Digest]
	return ok
}

// Read returns a record, or ErrMissing. A record whose contents do not match
// its digest is forgotten and counts as missing.
func (s *Store) Read(ref batch.Ref) ([]byte, error) {
	data, err := s.ReadSlice(batch.Slice{Record: ref, Length: ref.Length})
	if err != nil {
		return nil, err
	}
	if RefOf(data) != ref {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(ref.Digest)
		return nil, ErrMissing
	}
	return data, nil
}

// ReadSlice returns a part of a record without checking its digest, or
// ErrMissing.
func (s *Store) ReadSlice(part batch.Slice) ([]byte, error) {
	if int64(part.Offset)+int64(part.Length) > int64(part.Record.Length) {
		return nil, errors.Newf("part %d+%d exceeds a record of %d bytes", part.Offset, part.Length, part.Record.Length)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.index[part.Record.Digest]
	if !ok {
		return nil, ErrMissing
	}
	data := make([]byte, part.Length)
	if _, err := l.segment.file.ReadAt(data, l.offset+int64(part.Offset)); err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	return data, nil
}

// Close closes the files.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = errors.New("payload store is closed")
	var err error
	for _, seg := range s.segments {
		err = errors.CombineErrors(err, seg.file.Close())
	}
	return errors.Wrap(err, "close segments")
}
