package payload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
)

const (
	// A segment is compacted when less than 1/sparseDivisor of it is in use.
	sparseDivisor = 4
	// maxCompactedSegments bounds the segments that one Reclaim compacts, because
	// puts are blocked meanwhile.
	maxCompactedSegments = 2
)

// Reclaim garbage-collects records that are not in use and were last put before
// the given time. It copies the remaining records of sparse segments to the
// active segment and deletes empty segments, at first those that need no copies, which
// a full disk has no room for. It returns the bytes freed on disk.
func (s *Store) Reclaim(inUse map[batch.Digest]struct{}, before time.Time) (int64, error) {
	s.mu.Lock()
	s.dropUnused(inUse, before)
	freed, err := s.removeEmptySegments()
	var copies []recordCopy
	if err == nil {
		copies, err = s.copySparse()
	}
	s.mu.Unlock()
	if len(copies) > 0 {
		err = errors.CombineErrors(err, s.sync(copies[len(copies)-1].to))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceCopied(copies)
	freedByCopies, removeErr := s.removeEmptySegments()
	return freed + freedByCopies, errors.CombineErrors(err, removeErr)
}

// recordCopy is a record that was copied to the active segment.
type recordCopy struct {
	digest   batch.Digest
	from, to *location
}

// replaceCopied makes the index refer to the copies that are synced. The caller holds
// mu.
func (s *Store) replaceCopied(copies []recordCopy) {
	for _, c := range copies {
		if c.to.state == recordSynced && s.index[c.digest] == c.from {
			c.to.lastPut = c.from.lastPut
			s.indexRecord(c.digest, c.to)
		}
	}
}

// dropUnused removes unused records from the index. The caller holds mu.
func (s *Store) dropUnused(inUse map[batch.Digest]struct{}, before time.Time) {
	for d, l := range s.index {
		if _, used := inUse[d]; !used && l.lastPut.Before(before) {
			s.unindex(d)
		}
	}
}

// copySparse copies the records of sparse segments to the active segment. The index
// refers to the originals until the copies are synced. After an error it returns the
// copies made so far. The caller holds mu.
func (s *Store) copySparse() ([]recordCopy, error) {
	if s.closed {
		return nil, ErrClosed
	}
	var copies []recordCopy
	sparse := s.sparseSegments()
	for d, l := range s.index {
		if !slices.Contains(sparse, l.segment) {
			continue
		}
		data := make([]byte, l.length)
		if _, err := l.segment.file.ReadAt(data, l.offset); err != nil {
			return copies, errors.Wrap(err, "read record")
		}
		ref := batch.Ref{Digest: d, Length: l.length}
		if RefOf(data) != ref {
			s.unindex(d)
			continue
		}
		to, err := s.write(ref, data, l.lastPut)
		if err != nil {
			return copies, err
		}
		copies = append(copies, recordCopy{digest: d, from: l, to: to})
	}
	return copies, nil
}

// sparseSegments returns the segments to compact, those with the fewest bytes in
// use first.
func (s *Store) sparseSegments() []*segment {
	var sparse []*segment
	for _, seg := range s.segments {
		if seg != s.active && seg.pending == 0 && seg.liveBytes > 0 && seg.liveBytes < seg.size/sparseDivisor {
			sparse = append(sparse, seg)
		}
	}
	slices.SortFunc(sparse, func(a, b *segment) int { return cmp.Compare(a.liveBytes, b.liveBytes) })
	return sparse[:min(len(sparse), maxCompactedSegments)]
}

// removeEmptySegments deletes the segments without indexed or unsynced records, except
// the active one. It returns the bytes freed. The caller holds mu.
func (s *Store) removeEmptySegments() (int64, error) {
	freed := int64(0)
	for id, seg := range s.segments {
		if seg == s.active || seg.liveBytes > 0 || seg.pending > 0 {
			continue
		}
		if err := s.fs.Remove(segmentPath(s.dir, id)); err != nil {
			return freed, errors.Wrap(err, "remove segment")
		}
		seg.file.Close() // its records are no longer needed
		delete(s.segments, id)
		freed += seg.size
	}
	if freed == 0 {
		return 0, nil
	}
	return freed, s.fs.SyncDir(s.dir)
}
