package wal

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/raft"
)

// snapshotMark names the snapshot file in force from this frame on.
type snapshotMark struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	// Installed tells that the snapshot came from the leader and replaces all
	// entries, those after Index too.
	Installed bool `msgpack:"n,omitempty"`
}

// record is the payload of one frame. Its parts take effect in the order of
// the fields.
type record struct {
	HardState *raft.HardState `msgpack:"h,omitempty"`
	Mark      *snapshotMark   `msgpack:"s,omitempty"`
	Entries   []raft.Entry    `msgpack:"e,omitempty"`
}

func encodeRecord(r *record) ([]byte, error) { return msgpack.Marshal(r) }

func decodeRecord(payload []byte) (*record, error) {
	r := &record{}
	if err := msgpack.Unmarshal(payload, r); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return r, nil
}

// replay accumulates the state that a sequence of records describes.
type replay struct {
	hardState raft.HardState
	mark      snapshotMark
	former    snapshotMark // in force before mark
	entries   []raft.Entry
}

func (s *replay) apply(r *record) {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.Mark != nil {
		s.applyMark(*r.Mark)
	}
	for _, e := range r.Entries {
		s.applyEntry(e)
	}
}

func (s *replay) applyMark(m snapshotMark) {
	if m.Index != s.mark.Index {
		s.former = s.mark
	}
	s.mark = m
	if m.Installed {
		s.entries = nil
		return
	}
	s.dropUpTo(m.Index)
}

// applyEntry appends e, in place of the entry of the same index and all later
// ones. After a gap only the entries behind it count; check finds out whether
// the snapshot covers the gap.
func (s *replay) applyEntry(e raft.Entry) {
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

func (s *replay) dropUpTo(index uint64) {
	keep := slices.IndexFunc(s.entries, func(e raft.Entry) bool { return e.Index > index })
	if keep < 0 {
		s.entries = nil
		return
	}
	s.entries = s.entries[keep:]
}

// check reports entries that are missing between the snapshot and the log.
func (s *replay) check() error {
	s.dropUpTo(s.mark.Index)
	if len(s.entries) > 0 && s.entries[0].Index != s.mark.Index+1 {
		return errors.Wrapf(ErrDamaged, "entries start at %d after snapshot %d",
			s.entries[0].Index, s.mark.Index)
	}
	return nil
}
