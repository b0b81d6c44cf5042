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
	// sparseDivisor: a segment is rewritten when less than 1/sparseDivisor of it
	// is in use.
	sparseDivisor = 4
	// maxMoved bounds the segments that one Reclaim rewrites, since puts wait for
	// it.
	maxMoved = 2
)

// Reclaim forgets records that are not in use and were last put before the
// given time, and removes the segments that they leave empty. Sparse segments
// are emptied by moving their records. It returns the bytes freed on disk.
func (s *Store) Reclaim(inUse map[batch.Digest]struct{}, before time.Time) (int64, error) {
	s.mu.Lock()
	s.dropUnused(inUse, before)
	err := s.moveSparse()
	upTo := s.written
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if err := s.syncTo(upTo); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removeEmpty()
}

func (s *Store) dropUnused(inUse map[batch.Digest]struct{}, before time.Time) {
	for d, l := range s.index {
		if _, used := inUse[d]; !used && l.writtenAt.Before(before) {
			s.drop(d)
		}
	}
}

// moveSparse copies the records of sparse segments to the active one.
func (s *Store) moveSparse() error {
	if s.failed != nil {
		return s.failed
	}
	sparse := s.sparsest()
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
			s.drop(d)
			continue
		}
		writtenAt := l.writtenAt
		if err := s.write(ref, data); err != nil {
			s.failed = err
			return err
		}
		s.index[d].writtenAt = writtenAt
	}
	return nil
}

// sparsest returns the segments to rewrite, those with the fewest records in
// use first.
func (s *Store) sparsest() []*segment {
	var sparse []*segment
	for _, seg := range s.segments {
		if seg != s.active && seg.liveBytes > 0 && seg.liveBytes < seg.size/sparseDivisor {
			sparse = append(sparse, seg)
		}
	}
	slices.SortFunc(sparse, func(a, b *segment) int { return cmp.Compare(a.liveBytes, b.liveBytes) })
	return sparse[:min(len(sparse), maxMoved)]
}

// removeEmpty deletes the segments without records, but for the active one.
func (s *Store) removeEmpty() (int64, error) {
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
