package payload

import (
	"cmp"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/infra/durable"
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
// active segment and deletes empty segments. It returns the bytes freed on disk.
func (s *Store) Reclaim(inUse map[batch.Digest]struct{}, before time.Time) (int64, error) {
	s.mu.Lock()
	s.dropUnused(inUse, before)
	err := s.compactSparse()
	upTo := s.writtenRecords
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if err := s.syncTo(upTo); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeEmptySegments()
}

// dropUnused removes unused records from the index. The caller holds mu.
func (s *Store) dropUnused(inUse map[batch.Digest]struct{}, before time.Time) {
	for d, l := range s.index {
		if _, used := inUse[d]; !used && l.lastPut.Before(before) {
			s.unindex(d)
		}
	}
}

// compactSparse copies the records of sparse segments to the active segment. The
// caller holds mu.
func (s *Store) compactSparse() error {
	if s.writeErr != nil {
		return s.writeErr
	}
	sparse := s.sparseSegments()
	for d, l := range s.index {
		if !slices.Contains(sparse, l.segment) {
			continue
		}
		data := make([]byte, l.length)
		if _, err := l.segment.file.ReadAt(data, l.offset); err != nil {
			return errors.Wrap(err, "read record")
		}
		ref := batch.Ref{Digest: d, Length: l.length}
		if RefOf(data) != ref {
			s.unindex(d)
			continue
		}
		lastPut := l.lastPut
		if err := s.write(ref, data); err != nil {
			s.writeErr = err
			return err
		}
		s.index[d].lastPut = lastPut
	}
	return nil
}

// sparseSegments returns the segments to compact, those with the fewest bytes in
// use first.
func (s *Store) sparseSegments() []*segment {
	var sparse []*segment
	for _, seg := range s.segments {
		if seg != s.active && seg.liveBytes > 0 && seg.liveBytes < seg.size/sparseDivisor {
			sparse = append(sparse, seg)
		}
	}
	slices.SortFunc(sparse, func(a, b *segment) int { return cmp.Compare(a.liveBytes, b.liveBytes) })
	return sparse[:min(len(sparse), maxCompactedSegments)]
}

// removeEmptySegments deletes the segments without indexed records, except the
// active one. It returns the bytes freed. The caller holds mu.
func (s *Store) removeEmptySegments() (int64, error) {
	freed := int64(0)
	for id, seg := range s.segments {
		if seg == s.active || seg.liveBytes > 0 {
			continue
		}
		seg.file.Close()
		if err := os.Remove(segmentPath(s.dir, id)); err != nil {
			return freed, errors.Wrap(err, "remove segment")
		}
		delete(s.segments, id)
		freed += seg.size
	}
	if freed == 0 {
		return 0, nil
	}
	return freed, durable.SyncDir(s.dir)
}
