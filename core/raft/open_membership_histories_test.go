package raft

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Random histories of a group with open membership, with commands in between: a
// voter is replaced by an empty host, loses its disk or is down for a while, a
// host joins, or all hosts restart. After each step the group must recover with a
// leader and three running voters, and no acknowledged command may be missing at
// the leader. Only one voter fails at a time, unless all restart, since three
// voters tolerate one failure.
func TestOpenMembershipHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newOpenGroup(t, 1, 2, 3)
		next := uint64(4)
		acked := []uint64{}
		number := uint64(0)
		for range rapid.IntRange(3, 10).Draw(rt, "steps") {
			number = proposeNext(g, number, &acked)
			voters := g.voters()
			victim := rapid.SampledFrom(voters).Draw(rt, "victim")
			switch rapid.IntRange(0, 4).Draw(rt, "move") {
			case 0: // lost for good, replaced by an empty host with another ID
				g.down[victim] = true
				g.add(next, true, voters...)
				next++
				g.run(replaceAfter + 3*time.Second)
				delete(g.hosts, victim)
			case 1: // its disk is lost
				g.add(victim, true, voters...)
				g.run(3 * time.Second)
			case 2: // down for a while
				g.down[victim] = true
				g.run(time.Duration(rapid.IntRange(100, 6000).Draw(rt, "ms")) * time.Millisecond)
				g.down[victim] = false
				g.run(3 * time.Second)
			case 3: // another host joins
				g.add(next, true, voters...)
				next++
				g.run(2 * time.Second)
			case 4: // all hosts restart at once
				for id := range g.hosts {
					g.down[id] = true
				}
				g.run(time.Second)
				g.down = map[uint64]bool{}
				for id := range g.hosts {
					g.restart(id)
				}
				g.run(3 * time.Second)
			}
			for waited := time.Duration(0); !allVotersRunning(g) && waited < recoveryTimeout; waited += time.Second {
				g.run(time.Second)
			}
			leader := g.leader()
			require.NotNil(rt, leader, "a leader is elected")
			require.Len(rt, leader.Status().CommittedMembership.Voters, 3)
			require.True(rt, allVotersRunning(g), "all three voters are running")
			for _, n := range acked {
				require.True(rt, logContains(leader, n), "command %d", n)
			}
		}
	})
}

// recoveryTimeout limits the time until a group has three running voters. An
// unresponsive voter is replaced after replaceAfter, and elections add to that.
const recoveryTimeout = 4 * replaceAfter

// allVotersRunning reports whether there is a leader and all its committed voters
// are running under their current incarnation.
func allVotersRunning(g *openGroup) bool {
	leader := g.leader()
	if leader == nil || leader.Status().CommittedMembership.IsJoint() {
		return false
	}
	for _, v := range leader.Status().CommittedMembership.Voters {
		host := g.hosts[v.ID]
		if host == nil || g.down[v.ID] || host.id != v {
			return false
		}
	}
	return true
}

// proposeNext proposes the next numbered command to the leader and appends its
// number to acked if it is committed.
func proposeNext(g *openGroup, number uint64, acked *[]uint64) uint64 {
	number++
	leader := g.leader()
	if leader == nil {
		return number
	}
	index, _, err := leader.Propose(binary.BigEndian.AppendUint64(nil, number))
	if err != nil {
		return number
	}
	g.run(500 * time.Millisecond)
	if leader.Status().Commit >= index {
		*acked = append(*acked, number)
	}
	return number
}

// logContains reports whether a replica's log contains a command.
func logContains(r *Raft, number uint64) bool {
	want := binary.BigEndian.AppendUint64(nil, number)
	return slices.ContainsFunc(r.log.entries, func(e Entry) bool { return bytes.Equal(e.Data, want) })
}
