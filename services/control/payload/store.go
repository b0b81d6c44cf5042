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

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes = 64 << 20

// ErrMissing is returned for a record that this host does not hold.
var ErrMissing = errors.New("payload record is not on this host")

// location is the position of a record's data on disk.
type location struct {
	segment *segment
	offset  int64
	length  uint32
	lastPut time.Time // time of the last put, or of Open for records that it found
}

// Store holds the records of one host in segment files, with an index in memory.
// It is safe for concurrent use.
type Store struct {
	dir          string
	segmentBytes int64

	mu             sync.RWMutex
	index          map[batch.Digest]*location
	segments       map[uint64]*segment
	active         *segment
	writtenRecords uint64 // records appended so far
	writeErr       error  // first write or sync error, or set by Close; blocks all later writes

	syncMu        sync.Mutex
	syncedRecords uint64 // records known to be on disk
}

// Open opens the store in the directory dir, which it creates if needed. A torn
// write at the end of the newest segment is truncated. In older segments a corrupt
// record and all records after it count as missing. now is taken as the time of
// the last put of all records found. Zero segmentBytes means DefaultSegmentBytes.
func Open(dir string, segmentBytes int64, now time.Time) (*Store, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create payload folder")
	}
	s := &Store{dir: dir, segmentBytes: segmentBytes, index: make(map[batch.Digest]*location), segments: make(map[uint64]*segment)}
	ids, err := s.listSegments()
	if err != nil {
		return nil, err
	}
	for i, id := range ids {
		if err := s.loadSegment(id, i == len(ids)-1, now); err != nil {
			return nil, errors.CombineErrors(err, s.Close())
		}
	}
	if s.active == nil {
		if err := s.startSegment(1); err != nil {
			return nil, errors.CombineErrors(err, s.Close())
		}
	}
	return s, nil
}

// listSegments returns the ids of the segment files in ascending order.
func (s *Store) listSegments() ([]uint64, error) {
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

// loadSegment indexes the records of a segment. The newest segment becomes the
// active one, truncated to its valid records.
func (s *Store) loadSegment(id uint64, newest bool, now time.Time) error {
	f, err := os.OpenFile(segmentPath(s.dir, id), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	seg := &segment{id: id, file: f}
	s.segments[id] = seg
	validBytes, err := scan(f, func(ref batch.Ref, offset int64) {
		s.indexRecord(ref, &location{segment: seg, offset: offset, length: ref.Length, lastPut: now})
	})
	if err != nil {
		return err
	}
	seg.size = validBytes
	if !newest {
		return nil
	}
	if err := f.Truncate(validBytes); err != nil {
		return errors.Wrap(err, "cut torn tail")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	s.active = seg
	return nil
}

// indexRecord adds a record to the index. A later copy replaces an earlier one.
func (s *Store) indexRecord(ref batch.Ref, l *location) {
	s.unindex(ref.Digest)
	s.index[ref.Digest] = l
	l.segment.liveBytes += int64(l.length) + headerBytes
}

// unindex removes a record from the index; its data stays in the segment. The
// caller holds mu.
func (s *Store) unindex(d batch.Digest) {
	if l, ok := s.index[d]; ok {
		l.segment.liveBytes -= int64(l.length) + headerBytes
		delete(s.index, d)
	}
}

// startSegment creates a segment and makes it the active one. The caller holds mu.
func (s *Store) startSegment(id uint64) error {
	f, err := os.OpenFile(segmentPath(s.dir, id), os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	s.active = &segment{id: id, file: f}
	s.segments[id] = s.active
	return durable.SyncDir(s.dir)
}

// RefOf returns the reference of a record: its digest and length.
func RefOf(data []byte) batch.Ref {
	return batch.Ref{Digest: sha256.Sum256(data), Length: uint32(len(data))}
}

// Put stores a record and returns once it is synced to disk. Concurrent puts share
// one sync. A record that the store already holds is not written again, only
// synced if that is still pending.
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

// append writes a record unless the store already holds it. It returns the number
// of records written so far, for syncTo.
func (s *Store) append(ref batch.Ref, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return 0, s.writeErr
	}
	if l, ok := s.index[ref.Digest]; ok {
		l.lastPut = time.Now()
		return s.writtenRecords, nil
	}
	if err := s.write(ref, data); err != nil {
		s.writeErr = err
		return 0, err
	}
	return s.writtenRecords, nil
}

// write appends a record to the active segment, or to a new one when that is
// full. The caller holds mu.
func (s *Store) write(ref batch.Ref, data []byte) error {
	if s.active.size >= s.segmentBytes {
		if err := s.active.file.Sync(); err != nil {
			return errors.Wrap(err, "sync segment")
		}
		if err := s.startSegment(s.active.id + 1); err != nil {
			return err
		}
	}
	seg := s.active
	record := append(encodeHeader(ref, data), data...)
	if _, err := seg.file.WriteAt(record, seg.size); err != nil {
		return errors.Wrap(err, "write record")
	}
	s.indexRecord(ref, &location{segment: seg, offset: seg.size + headerBytes, length: ref.Length, lastPut: time.Now()})
	seg.size += int64(len(record))
	s.writtenRecords++
	return nil
}

// syncTo returns once the first upTo records are synced. It is a group commit: one
// sync covers all records written so far, so that callers that waited for syncMu
// usually need no sync of their own.
func (s *Store) syncTo(upTo uint64) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	if s.syncedRecords >= upTo {
		return nil
	}
	s.mu.RLock()
	file, written, writeErr := s.active.file, s.writtenRecords, s.writeErr
	s.mu.RUnlock()
	if writeErr != nil {
		return writeErr
	}
	if err := file.Sync(); err != nil {
		err = errors.Wrap(err, "sync segment")
		s.mu.Lock()
		s.writeErr = err
		s.mu.Unlock()
		return err
	}
	s.syncedRecords = written
	return nil
}

// Has reports whether the record is on this host.
func (s *Store) Has(ref batch.Ref) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.index[ref.Digest]
	return ok
}

// Read returns a record, or ErrMissing. A record whose contents do not match its
// digest is removed from the index and counts as missing.
func (s *Store) Read(ref batch.Ref) ([]byte, error) {
	data, err := s.ReadSlice(batch.Slice{Record: ref, Length: ref.Length})
	if err != nil {
		return nil, err
	}
	if RefOf(data) != ref {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unindex(ref.Digest)
		return nil, ErrMissing
	}
	return data, nil
}

// ReadSlice returns a slice of a record, or ErrMissing. The digest of the record
// is not checked.
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

// Close closes the segment files. Later puts fail.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = errors.New("payload store is closed")
	var err error
	for _, seg := range s.segments {
		err = errors.CombineErrors(err, seg.file.Close())
	}
	return errors.Wrap(err, "close segments")
}
