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
	folderMode     = 0o700
)

// segment is one file of frames.
type segment struct {
	first    uint64 // sequence of its first frame
	path     string
	maxIndex uint64 // highest entry index in it
}

func segmentPath(dir string, first uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", first, segmentSuffix))
}

// listSegments returns the segments of dir in order.
func listSegments(dir string) ([]segment, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var found []segment
	for _, name := range names {
		stem, ok := strings.CutSuffix(name.Name(), segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrDamaged, "segment name %q", name.Name())
		}
		found = append(found, segment{first: first, path: filepath.Join(dir, name.Name())})
	}
	slices.SortFunc(found, func(a, b segment) int { return cmp.Compare(a.first, b.first) })
	return found, nil
}

// scan is what was read from one segment.
type scan struct {
	next     uint64 // sequence after its last whole frame
	size     int    // bytes up to the end of its last whole frame
	maxIndex uint64
}

// scanSegment feeds the records of one segment to visit. Only the last segment
// may end in a torn frame.
func scanSegment(data []byte, incarnation, first uint64, last bool, visit func(*record)) (scan, error) {
	s := scan{next: first}
	for s.size < len(data) {
		payload, size, ok := readFrame(data[s.size:], incarnation, s.next)
		if !ok {
			if !last || hasFrameAfter(data[s.size:], incarnation, s.next) {
				return s, errors.Wrapf(ErrDamaged, "frame %d at byte %d of segment %d", s.next, s.size, first)
			}
			return s, nil
		}
		r, err := decodeRecord(payload)
		if err != nil {
			return s, errors.Wrapf(ErrDamaged, "frame %d: %v", s.next, err)
		}
		visit(r)
		for i := range r.Entries {
			s.maxIndex = max(s.maxIndex, r.Entries[i].Index)
		}
		s.next++
		s.size += size
	}
	return s, nil
}
