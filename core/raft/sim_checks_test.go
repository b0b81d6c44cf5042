package raft

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// checks holds what no history may contradict.
type checks struct {
	sim         *sim
	err         error
	chosen      []Entry // committed entries, index 1 first
	state       []byte  // commands of chosen
	upTo        []int   // bytes of state after each chosen entry
	config      Membership
	configIndex uint64
	leaderOf    map[uint64]ReplicaID
	mustSee     uint64 // highest index acknowledged or read
}

func newChecks(s *sim) *checks { return &checks{sim: s, leaderOf: map[uint64]ReplicaID{}} }

func (c *checks) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Newf(format, args...)
	}
}

// committed holds that no index is committed with two contents.
func (c *checks) committed(h *simHost, e Entry) {
	next := uint64(len(c.chosen) + 1)
	switch {
	case e.Index > next:
		c.fail("host %d committed %d before anyone committed %d", h.id, e.Index, next)
	case e.Index < next:
		was := c.chosen[e.Index-1]
		if was.Term != e.Term || was.Type != e.Type || !bytes.Equal(was.Data, e.Data) {
			c.fail("entry %d: host %d committed term %d, before it was term %d", e.Index, h.id, e.Term, was.Term)
		}
	default:
		c.chosen = append(c.chosen, e)
		if e.Type == EntryCommand {
			c.state = append(c.state, e.Data...)
		}
		c.upTo = append(c.upTo, len(c.state))
		if e.Type == EntryMembership {
			c.membership(e)
		}
	}
	if e.Index != h.applied+1 {
		c.fail("host %d applied %d after %d", h.id, e.Index, h.applied)
	}
}

// membership holds that a replica which gets the vote has synced at least the
// entry that made it a learner.
func (c *checks) membership(e Entry) {
	was := c.configIndex
	c.config, _ = DecodeMembership(e.Data)
	c.configIndex = e.Index
	for _, id := range c.config.Voters {
		d := &c.sim.hosts[id.ID-1].disk
		isNew := c.config.IsJoint() && !slices.Contains(c.config.Outgoing, id)
		if isNew && d.incarnation == id.Incarnation && d.lastIndex() < was {
			c.fail("%v got the vote at entry %d with a log up to %d", id, e.Index, d.lastIndex())
		}
	}
	c.sim.repaired()
}

// snapshot holds that a snapshot is the state after its entry.
func (c *checks) snapshot(h *simHost, s Snapshot) {
	if s.Index > uint64(len(c.chosen)) || c.chosen[s.Index-1].Term != s.Term {
		c.fail("host %d installed snapshot %d of term %d, not chosen", h.id, s.Index, s.Term)
		return
	}
	if !bytes.Equal(s.Data, c.state[:c.upTo[s.Index-1]]) {
		c.fail("host %d installed snapshot %d with another state", h.id, s.Index)
	}
}

func (c *checks) acknowledge(index uint64) {
	c.mustSee = max(c.mustSee, index)
	c.sim.stats.acked++
}

// read holds that a read sees all that was acknowledged or read before it.
func (c *checks) read(h *simHost, r *simRead) {
	if r.index < r.mustSee {
		c.fail("host %d read at %d what must see %d", h.id, r.index, r.mustSee)
	}
	c.mustSee = max(c.mustSee, h.applied)
	c.sim.stats.reads++
}

// leaders holds that a term has one leader and that a lease excludes others.
func (c *checks) leaders() {
	var leased *simHost
	for _, h := range c.sim.hosts {
		if h.raft == nil || h.raft.role != Leader {
			continue
		}
		was, known := c.leaderOf[h.raft.term]
		if !known {
			c.leaderOf[h.raft.term] = h.raft.id
			c.sim.stats.elections++
		} else if was != h.raft.id {
			c.fail("term %d has leaders %v and %v", h.raft.term, was, h.raft.id)
		}
		if !c.sim.now.Before(h.raft.LeaseUntil()) {
			continue
		}
		if leased != nil {
			c.fail("hosts %d and %d hold a lease", leased.id, h.id)
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

// mayLose reports whether the loss of host id's disk is one that the group
// must bear: all other hosts are voters under their current incarnation.
func (c *checks) mayLose(id uint64) bool {
	if len(c.config.Voters) == 0 || c.config.IsJoint() {
		return false
	}
	for _, h := range c.sim.hosts {
		current := ReplicaID{ID: h.id, Incarnation: h.disk.incarnation}
		if h.id != id && !slices.Contains(c.config.Voters, current) {
			return false
		}
	}
	return true
}

// settled reports whether all hosts hold the whole log and all repairs are done.
func (c *checks) settled() bool {
	if !c.mayLose(0) {
		return false
	}
	for _, h := range c.sim.hosts {
		if h.raft == nil || h.applied != uint64(len(c.chosen)) || !bytes.Equal(h.state, c.state) {
			return false
		}
	}
	return true
}

// holds reports whether a command is among the chosen ones.
func (c *checks) holds(id uint64) bool {
	for at := 0; at+8 <= len(c.state); at += 8 {
		if binary.LittleEndian.Uint64(c.state[at:]) == id {
			return true
		}
	}
	return false
}
