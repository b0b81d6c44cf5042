package raft

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// checks verifies the safety properties during a simulated history. It records
// the first violation in err.
type checks struct {
	sim                   *sim
	err                   error
	committedEntries      []Entry // committed by any host, from index 1
	state                 []byte  // concatenated commands of committedEntries
	stateLengths          []int   // length of state after each committed entry
	latestMembership      Membership
	latestMembershipIndex uint64
	leaderOf              map[uint64]ReplicaID
	minReadIndex          uint64 // highest index acknowledged or read; later reads must cover it
}

func newChecks(s *sim) *checks { return &checks{sim: s, leaderOf: map[uint64]ReplicaID{}} }

func (c *checks) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Newf(format, args...)
	}
}

// checkCommitted requires that all hosts commit the same entry at an index, and
// that each host applies entries in order without gaps.
func (c *checks) checkCommitted(h *simHost, e Entry) {
	next := uint64(len(c.committedEntries) + 1)
	switch {
	case e.Index > next:
		c.fail("host %d committed %d before anyone committed %d", h.id, e.Index, next)
	case e.Index < next:
		earlier := c.committedEntries[e.Index-1]
		if earlier.Term != e.Term || earlier.Type != e.Type || !bytes.Equal(earlier.Data, e.Data) {
			c.fail("entry %d: host %d committed term %d, another host term %d", e.Index, h.id, e.Term, earlier.Term)
		}
	default:
		c.committedEntries = append(c.committedEntries, e)
		if e.Type == EntryCommand {
			c.state = append(c.state, e.Data...)
		}
		c.stateLengths = append(c.stateLengths, len(c.state))
		if e.Type == EntryMembership {
			c.checkMembership(e)
		}
	}
	if e.Index != h.applied+1 {
		c.fail("host %d applied %d after %d", h.id, e.Index, h.applied)
	}
}

// checkMembership requires that a newly promoted voter has synced at least the
// entry that made it a learner.
func (c *checks) checkMembership(e Entry) {
	previousIndex := c.latestMembershipIndex
	c.latestMembership, _ = DecodeMembership(e.Data)
	c.latestMembershipIndex = e.Index
	for _, id := range c.latestMembership.Voters {
		d := &c.sim.hosts[id.ID-1].disk
		isNew := c.latestMembership.IsJoint() && !slices.Contains(c.latestMembership.Outgoing, id)
		if isNew && d.incarnation == id.Incarnation && d.lastIndex() < previousIndex {
			c.fail("%v was promoted to voter at entry %d with a log up to %d", id, e.Index, d.lastIndex())
		}
	}
	c.sim.onMembershipCommitted()
}

// checkSnapshot requires that a snapshot equals the state after its entry.
func (c *checks) checkSnapshot(h *simHost, s Snapshot) {
	if s.Index > uint64(len(c.committedEntries)) || c.committedEntries[s.Index-1].Term != s.Term {
		c.fail("host %d installed snapshot %d of term %d, which is not committed", h.id, s.Index, s.Term)
		return
	}
	if !bytes.Equal(s.Data, c.state[:c.stateLengths[s.Index-1]]) {
		c.fail("host %d installed snapshot %d with a different state", h.id, s.Index)
	}
}

func (c *checks) recordAcknowledged(index uint64) {
	c.minReadIndex = max(c.minReadIndex, index)
	c.sim.stats.acknowledged++
}

// checkRead requires that a read covers everything that was acknowledged or read
// before it was requested.
func (c *checks) checkRead(h *simHost, r *simRead) {
	if r.index < r.minIndex {
		c.fail("host %d read at index %d, which must be at least %d", h.id, r.index, r.minIndex)
	}
	c.minReadIndex = max(c.minReadIndex, h.applied)
	c.sim.stats.reads++
}

// checkLeaders requires one leader per term, and that during a leader's lease no
// other replica holds a lease or leads a later term.
func (c *checks) checkLeaders() {
	var leased *simHost
	for _, h := range c.sim.hosts {
		if h.raft == nil || h.raft.role != Leader {
			continue
		}
		earlier, known := c.leaderOf[h.raft.term]
		if !known {
			c.leaderOf[h.raft.term] = h.raft.id
			c.sim.stats.elections++
		} else if earlier != h.raft.id {
			c.fail("term %d has leaders %v and %v", h.raft.term, earlier, h.raft.id)
		}
		if !c.sim.now.Before(h.raft.LeaseUntil()) {
			continue
		}
		if leased != nil {
			c.fail("hosts %d and %d hold a lease at the same time", leased.id, h.id)
		}
		leased = h
	}
	if leased == nil {
		return
	}
	for _, h := range c.sim.hosts {
		if h.raft != nil && h.raft.role == Leader && h.raft.term > leased.raft.term {
			c.fail("host %d was elected during the lease of %d", h.id, leased.id)
		}
	}
}

// canLoseDisk reports whether the group must tolerate the loss of host id's disk:
// no change is in progress and all other hosts are voters under their current
// incarnation. With id 0, which no host has, all hosts must be voters.
func (c *checks) canLoseDisk(id uint64) bool {
	if len(c.latestMembership.Voters) == 0 || c.latestMembership.IsJoint() {
		return false
	}
	for _, h := range c.sim.hosts {
		current := ReplicaID{ID: h.id, Incarnation: h.disk.incarnation}
		if h.id != id && !slices.Contains(c.latestMembership.Voters, current) {
			return false
		}
	}
	return true
}

// hasConverged reports whether all hosts are voters and have applied the whole
// log.
func (c *checks) hasConverged() bool {
	if !c.canLoseDisk(0) {
		return false
	}
	for _, h := range c.sim.hosts {
		if h.raft == nil || h.applied != uint64(len(c.committedEntries)) || !bytes.Equal(h.state, c.state) {
			return false
		}
	}
	return true
}

// containsCommand reports whether a command is committed.
func (c *checks) containsCommand(id uint64) bool {
	for at := 0; at+8 <= len(c.state); at += 8 {
		if binary.LittleEndian.Uint64(c.state[at:]) == id {
			return true
		}
	}
	return false
}
