package wal

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/raft"
	"banyanwalk/infra/codec"
)

// snapshotRef identifies the snapshot file that is current from this frame on.
type snapshotRef struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	// Installed is set if the snapshot came from the leader. It then replaces all
	// entries, including those after Index.
	Installed bool `msgpack:"n,omitempty"`
}

// record is the payload of one frame. Its fields are applied in the order of
// declaration.
type record struct {
	HardState   *raft.HardState `msgpack:"h,omitempty"`
	SnapshotRef *snapshotRef    `msgpack:"s,omitempty"`
	Entries     []raft.Entry    `msgpack:"e,omitempty"`
}

func encodeRecord(r *record) ([]byte, error) { return msgpack.Marshal(r) }

func decodeRecord(payload []byte) (*record, error) {
	r := &record{}
	if err := codec.Unmarshal(payload, r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return r, nil
}

// replayState accumulates the state that results from applying records in order.
type replayState struct {
	hardState   raft.HardState
	snapshotRef snapshotRef
	previousRef snapshotRef // current before snapshotRef
	entries     []raft.Entry
	// wholeHistory: the first record is the first that was ever written to the log.
	wholeHistory bool
	// opened: the first record repeats the hard state and the snapshot reference.
	opened bool
	// installed: a snapshot that replaces all entries before it is among the records.
	installed   bool
	lowestIndex uint64 // of the entries applied, also of those dropped since; 0: none
	records     int
}

func (s *replayState) apply(r *record) {
	if s.records == 0 {
		s.opened = r.HardState != nil && r.SnapshotRef != nil
	}
	s.records++
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.SnapshotRef != nil {
		s.applySnapshotRef(*r.SnapshotRef)
	}
	for _, e := range r.Entries {
		s.applyEntry(e)
	}
}

func (s *replayState) applySnapshotRef(ref snapshotRef) {
	if ref.Index != s.snapshotRef.Index {
		s.previousRef = s.snapshotRef
	}
	s.snapshotRef = ref
	if ref.Installed {
		s.installed = true
		s.entries = nil
		return
	}
	s.dropThrough(ref.Index)
}

// applyEntry appends e and removes the entry with the same index and all later
// ones. If e does not follow the entries without a gap, it replaces them all;
// validate then checks that the snapshot covers the gap.
func (s *replayState) applyEntry(e raft.Entry) {
	if s.lowestIndex == 0 || e.Index < s.lowestIndex {
		s.lowestIndex = e.Index
	}
	if len(s.entries) > 0 {
		first := s.entries[0].Index
		switch {
		case e.Index < first || e.Index > first+uint64(len(s.entries)):
			s.entries = nil
		default:
			s.entries = s.entries[:e.Index-first]
		}
	}
	s.entries = append(s.entries, e)
}

// dropThrough drops the entries up to and including index.
func (s *replayState) dropThrough(index uint64) {
	firstKept := slices.IndexFunc(s.entries, func(e raft.Entry) bool { return e.Index > index })
	if firstKept < 0 {
		s.entries = nil
		return
	}
	s.entries = s.entries[firstKept:]
}

// validate drops the entries that the snapshot covers and returns ErrDamaged if
// entries between the snapshot and the log are missing, or may be.
func (s *replayState) validate() error {
	if !s.isComplete() {
		return errors.Wrapf(ErrDamaged, "older segments are missing: the snapshot ends at index %d, the oldest entry found is %d",
			s.snapshotRef.Index, s.lowestIndex)
	}
	s.dropThrough(s.snapshotRef.Index)
	if len(s.entries) > 0 && s.entries[0].Index != s.snapshotRef.Index+1 {
		return errors.Wrapf(ErrDamaged, "entries start at index %d, but the snapshot ends at index %d",
			s.entries[0].Index, s.snapshotRef.Index)
	}
	return nil
}

// isComplete reports whether the records supersede all older ones. An entry replaces all
// older entries from its index on, so one that the snapshot covers or that follows it
// directly leaves none of the older entries in force after the snapshot.
func (s *replayState) isComplete() bool {
	if s.wholeHistory {
		return true
	}
	replacesEntries := s.lowestIndex != 0 && s.lowestIndex <= s.snapshotRef.Index+1
	return s.opened && (s.installed || replacesEntries)
}
