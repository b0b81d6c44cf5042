package wal

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	fileMode       = 0o600
	dirMode        = 0o700

	firstSequence uint64 = 1 // of the first frame of a log
)

// segment is one file of consecutive frames.
type segment struct {
	firstSequence uint64 // sequence of its first frame
	path          string
	maxIndex      uint64 // highest index of an entry in the segment
}

func segmentPath(dir string, first uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", first, segmentSuffix))
}

// listSegments returns the segments of dir in the order of their sequence numbers.
func listSegments(dir string) ([]segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var segments []segment
	for _, entry := range entries {
		hexSequence, ok := strings.CutSuffix(entry.Name(), segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(hexSequence, 16, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrDamaged, "invalid segment name %q", entry.Name())
		}
		segments = append(segments, segment{firstSequence: first, path: filepath.Join(dir, entry.Name())})
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.firstSequence, b.firstSequence) })
	return segments, nil
}

// scanResult describes the valid frames of one segment.
type scanResult struct {
	nextSequence uint64 // sequence that follows the last valid frame
	size         int    // offset of the end of the last valid frame
	maxIndex     uint64
}

// scanSegment calls visit with each record of a segment up to sequence number end,
// with which the next segment starts; whatever follows was not synced when that
// segment was started. end is zero for the last segment, which may end in a torn frame.
func scanSegment(data []byte, incarnation, first, end uint64, visit func(*record)) (scanResult, error) {
	s := scanResult{nextSequence: first}
	for s.size < len(data) && (end == 0 || s.nextSequence < end) {
		payload, size, ok := readFrame(data[s.size:], incarnation, s.nextSequence)
		if !ok {
			if end != 0 || hasFrameAfter(data[s.size:], incarnation, s.nextSequence) {
				return s, errors.Wrapf(ErrDamaged, "invalid frame %d at byte %d of segment %d", s.nextSequence, s.size, first)
			}
			return s, nil
		}
		r, err := decodeRecord(payload)
		if err != nil {
			return s, errors.Wrapf(ErrDamaged, "frame %d: %v", s.nextSequence, err)
		}
		visit(r)
		for i := range r.Entries {
			s.maxIndex = max(s.maxIndex, r.Entries[i].Index)
		}
		s.nextSequence++
		s.size += size
	}
	return s, nil
}
