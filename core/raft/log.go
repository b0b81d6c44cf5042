package raft

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// indexedMembership is a membership with the index of its log entry, or of the
// snapshot that contained it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// raftLog is the in-memory log of one replica: the latest snapshot and the
// entries after offset. The entries may start before the snapshot index, so that
// slow members can catch up without a snapshot.
type raftLog struct {
	snapshot    Snapshot
	offset      uint64 // index of the entry before entries[0]
	offsetTerm  uint64
	entries     []Entry
	memberships []indexedMembership // by ascending index; never empty once the log is not blank
	stable      uint64              // last index known to be synced
	committed   uint64
	returned    uint64 // last committed index returned by Ready
}

func newLog(hs HardState, snapshot Snapshot, entries []Entry) (*raftLog, error) {
	l := &raftLog{}
	l.restore(snapshot)
	if err := l.checkEntries(entries); err != nil {
		return nil, err
	}
	l.appendEntries(entries)
	l.stable = l.lastIndex()
	l.committed = max(l.committed, min(hs.Commit, l.lastIndex()))
	return l, nil
}

// checkEntries returns an error if the indexes do not continue the log or a
// membership can't be decoded.
func (l *raftLog) checkEntries(entries []Entry) error {
	next := l.lastIndex() + 1
	for i := range entries {
		if entries[i].Index != next {
			return errors.Newf("raft: found entry %d where entry %d was expected", entries[i].Index, next)
		}
		next++
		if entries[i].Type != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(entries[i].Data); err != nil {
			return err
		}
	}
	return nil
}

// restore replaces the whole log with a snapshot.
func (l *raftLog) restore(s Snapshot) {
	*l = raftLog{
		snapshot:   s,
		offset:     s.Index,
		offsetTerm: s.Term,
		stable:     s.Index,
		committed:  s.Index,
		returned:   s.Index,
	}
	if !s.IsEmpty() {
		l.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
	}
}

func (l *raftLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// isBlank reports whether the log has never held an entry or snapshot.
func (l *raftLog) isBlank() bool { return l.lastIndex() == 0 }

// term returns the term of the entry at index; false if the log doesn't hold it
// or has compacted it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.offset-1].Term, true
	}
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from..to inclusive, cut off at maxBytes of data. It
// returns at least one entry unless the range is empty.
func (l *raftLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	out := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i := range out {
		size += len(out[i].Data)
		if size > maxBytes && i > 0 {
			return out[:i:i]
		}
	}
	return out[:len(out):len(out)]
}

// appendEntries appends entries that continue the log.
func (l *raftLog) appendEntries(entries []Entry) {
	for i := range entries {
		e := entries[i]
		l.entries = append(l.entries, e)
		if e.Type != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			panic(fmt.Sprintf("raft: appended membership entry %d cannot be decoded: %v", e.Index, err))
		}
		l.memberships = append(l.memberships, indexedMembership{index: e.Index, membership: m})
	}
}

// truncateFrom drops the entries from index on. The remaining slice has no spare
// capacity, so later appends don't overwrite entries that queued messages share.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("raft: cannot truncate the log from entry %d: committed up to entry %d", index, l.committed))
	}
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge appends entries whose predecessor matches the log. Entries that are
// already there are kept; from the first conflict on the log is replaced.
func (l *raftLog) merge(entries []Entry) {
	for i := range entries {
		if l.matches(entries[i].Index, entries[i].Term) {
			continue
		}
		if entries[i].Index <= l.lastIndex() {
			l.truncateFrom(entries[i].Index)
		}
		l.appendEntries(entries[i:])
		return
	}
}

// membership returns the latest membership, committed or not.
func (l *raftLog) membership() Membership {
	if len(l.memberships) == 0 {
		return Membership{}
	}
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the latest membership.
func (l *raftLog) membershipIndex() uint64 {
	if len(l.memberships) == 0 {
		return 0
	}
	return l.memberships[len(l.memberships)-1].index
}

// membershipUpTo returns the membership in effect at index.
func (l *raftLog) membershipUpTo(index uint64) Membership {
	var m Membership
	for _, at := range l.memberships {
		if at.index > index {
			break
		}
		m = at.membership
	}
	return m
}

// compact keeps s as the latest snapshot and drops entries up to keepAfter.
func (l *raftLog) compact(s Snapshot, keepAfter uint64) {
	if s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	keepAfter = min(keepAfter, s.Index)
	if keepAfter <= l.offset {
		return
	}
	l.offsetTerm, _ = l.term(keepAfter)
	l.entries = append([]Entry(nil), l.entries[keepAfter-l.offset:]...)
	l.offset = keepAfter
	for len(l.memberships) > 1 && l.memberships[1].index <= l.offset {
		l.memberships = l.memberships[1:]
	}
}
