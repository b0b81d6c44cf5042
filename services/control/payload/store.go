package payload

import (
	"crypto/sha256"
	"os"
	"path/filepath"
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

// ErrClosed is returned by puts after Close. It is the only final error of a write:
// after any other one the store is as before the write, which may be repeated.
var ErrClosed = errors.New("payload store is closed")

// location is the position of a record's data on disk.
type location struct {
	segment *segment
	offset  int64
	length  uint32
	state   recordState
	lastPut time.Time // time of the last put, or of Open for records that it found
}

// recordState tells whether a record survives a power loss.
type recordState uint8

const (
	recordSynced recordState = iota
	recordPending
	recordLost // its sync failed
)

// pendingRecord is a record that is written but not synced.
type pendingRecord struct {
	digest   batch.Digest
	location *location
}

// Store holds the records of one host in segment files, with an index in memory.
// It is safe for concurrent use.
type Store struct {
	dir          string
	segmentBytes int64
	fs           durable.FS

	mu       sync.RWMutex
	index    map[batch.Digest]*location
	segments map[uint64]*segment
	active   *segment // nil before the first segment
	lastID   uint64   // highest id of a segment that was created or found
	pending  []pendingRecord
	fullTorn bool // a segment before the active one may be torn
	closed   bool

	// syncMu is held during syncs and until their outcome is settled: the operating
	// system reports a failure to only one of two syncs of a file.
	syncMu  sync.Mutex
	syncErr error // of the last failed sync; guarded by syncMu
}

// Open opens the store in the directory dir, which it creates if needed. A torn
// write at the end of the newest segment is truncated. In older segments a corrupt
// record and all records after it count as missing. What it finds is synced, because
// a process that was killed may have left it unsynced. now is taken as the time of
// the last put of all records found. Zero segmentBytes means DefaultSegmentBytes; nil
// fs means the operating system. Open needs no room on disk, unless dir is missing.
func Open(dir string, segmentBytes int64, now time.Time, fs durable.FS) (*Store, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	if fs == nil {
		fs = durable.OS{}
	}
	if err := durable.MkdirAll(fs, dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create payload folder")
	}
	s := &Store{dir: dir, segmentBytes: segmentBytes, fs: fs, index: make(map[batch.Digest]*location), segments: make(map[uint64]*segment)}
	if err := s.load(now); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	return s, nil
}

// load indexes the records of all segments and syncs the directory.
func (s *Store) load(now time.Time) error {
	ids, err := s.listSegments()
	if err != nil {
		return err
	}
	for i, id := range ids {
		if err := s.loadSegment(id, i == len(ids)-1, now); err != nil {
			return err
		}
	}
	if err := s.fs.SyncDir(filepath.Dir(s.dir)); err != nil {
		return err
	}
	return s.fs.SyncDir(s.dir)
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

// loadSegment indexes the records of a segment and syncs it. The newest segment is
// truncated to its valid records. Nothing is appended to it, because the process that
// wrote it may have seen a sync of it fail.
func (s *Store) loadSegment(id uint64, newest bool, now time.Time) error {
	f, err := s.fs.OpenFile(segmentPath(s.dir, id), os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	seg := &segment{id: id, file: f, ended: true}
	s.segments[id], s.lastID = seg, id
	validBytes, err := scan(f, func(ref batch.Ref, offset int64) {
		s.indexRecord(ref.Digest, &location{segment: seg, offset: offset, length: ref.Length, lastPut: now})
	})
	if err != nil {
		return err
	}
	seg.size = validBytes
	if newest {
		seg.torn = true
		if err := seg.cut(); err != nil {
			return err
		}
		s.active = seg
	}
	return errors.Wrap(f.Sync(), "sync segment")
}

// indexRecord adds a record to the index. A later copy replaces an earlier one.
func (s *Store) indexRecord(d batch.Digest, l *location) {
	s.unindex(d)
	s.index[d] = l
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

// startSegment creates a segment and makes it the active one. After an error the
// active segment is unchanged. The caller holds mu.
func (s *Store) startSegment() error {
	s.lastID++ // also after an error, which may leave the file behind
	path := segmentPath(s.dir, s.lastID)
	f, err := s.fs.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(f.Close(), s.fs.Remove(path)))
	}
	s.active = &segment{id: s.lastID, file: f}
	s.segments[s.lastID] = s.active
	return nil
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
	l, err := s.append(ref, data)
	if err != nil {
		return batch.Ref{}, err
	}
	if err := s.sync(l); err != nil {
		return batch.Ref{}, err
	}
	return ref, nil
}

// append writes a record unless the store already holds it, and returns its location.
func (s *Store) append(ref batch.Ref, data []byte) (*location, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	if l, ok := s.index[ref.Digest]; ok {
		l.lastPut = time.Now()
		return l, nil
	}
	l, err := s.write(ref, data, time.Now())
	if err != nil {
		return nil, err
	}
	s.indexRecord(ref.Digest, l)
	return l, nil
}

// prepareActive makes the active segment ready for the next record, or starts a new
// one. The caller holds mu.
func (s *Store) prepareActive() error {
	if s.active == nil {
		return s.startSegment()
	}
	if err := s.cutTorn(); err != nil {
		return err
	}
	if s.active.ended || s.active.size >= s.segmentBytes {
		return s.startSegment()
	}
	return nil
}

// cutTorn repeats the cuts that have failed. Otherwise a process that opens the store
// later takes what a failed sync has lost for stored. The caller holds mu.
func (s *Store) cutTorn() error {
	if s.fullTorn {
		for _, seg := range s.segments {
			if err := seg.cut(); err != nil {
				return err
			}
		}
		s.fullTorn = false
	}
	return s.active.cut()
}

// write appends a record to the active segment, or to a new one when that is full or
// ended. The caller holds mu.
func (s *Store) write(ref batch.Ref, data []byte, lastPut time.Time) (*location, error) {
	if err := s.prepareActive(); err != nil {
		return nil, err
	}
	seg := s.active
	record := append(encodeHeader(ref, data), data...)
	if _, err := seg.file.WriteAt(record, seg.size); err != nil {
		seg.torn = true
		return nil, errors.CombineErrors(errors.Wrap(err, "write record"), seg.cut())
	}
	l := &location{segment: seg, offset: seg.size + headerBytes, length: ref.Length, state: recordPending, lastPut: lastPut}
	seg.size += int64(len(record))
	seg.pending++
	s.pending = append(s.pending, pendingRecord{digest: ref.Digest, location: l})
	return l, nil
}

// sync returns once the record at l is synced, or its sync has failed. It is a group
// commit: one sync covers all records written so far, so that callers that waited for
// syncMu usually need no sync of their own.
func (s *Store) sync(l *location) error {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.mu.RLock()
	state, written, closed := l.state, s.pending, s.closed
	s.mu.RUnlock()
	if state == recordPending {
		if closed {
			return ErrClosed
		}
		state = s.syncPending(written, l)
	}
	if state == recordLost {
		return s.syncErr
	}
	return nil
}

// syncPending syncs the segments of the pending records, which are in the order of
// their segments, and returns the state of the record at l. The caller holds syncMu.
func (s *Store) syncPending(records []pendingRecord, l *location) recordState {
	for len(records) > 0 {
		seg, count := records[0].location.segment, 0
		for count < len(records) && records[count].location.segment == seg {
			count++
		}
		records = records[count:]
		s.settle(seg, count, errors.Wrap(seg.file.Sync(), "sync segment"))
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return l.state
}

// settle ends the wait of the oldest pending records, which are in seg, after a sync of
// it. If that has failed, all unsynced records of the segment are lost, also those
// written during the sync. The caller holds syncMu.
func (s *Store) settle(seg *segment, count int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		count = seg.pending
	}
	records := s.pending[:count]
	s.pending = s.pending[count:]
	seg.pending -= count
	if err != nil {
		s.lose(seg, records, err)
		return
	}
	for _, r := range records {
		r.location.state = recordSynced
	}
}

// lose removes the unsynced records of a segment from the index and ends the segment.
// The caller holds syncMu and mu.
func (s *Store) lose(seg *segment, records []pendingRecord, err error) {
	for _, r := range records {
		r.location.state = recordLost
		if s.index[r.digest] == r.location {
			s.unindex(r.digest)
		}
	}
	seg.size = records[0].location.offset - headerBytes
	seg.ended, seg.torn = true, true
	s.syncErr = errors.CombineErrors(err, seg.cut())
	s.fullTorn = s.fullTorn || seg.torn && seg != s.active
}

// Has reports whether the record is on this host and synced.
func (s *Store) Has(ref batch.Ref) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.index[ref.Digest]
	return ok && l.state == recordSynced
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
	s.closed = true
	var err error
	for _, seg := range s.segments {
		err = errors.CombineErrors(err, seg.file.Close())
	}
	return errors.Wrap(err, "close segments")
}
