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

// Hosts are lost for good and replaced by empty ones at other addresses, lose
// their disks, come and go and are retired, while commands are acknowledged.
// Nothing acknowledged is ever missing at a later leader, the voters never
// exceed the wanted number by more than a change in progress, and the group
// always recovers. At most one voter is harmed at a time, as three bear.
func TestOpenHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newOpenGroup(t, 1, 2, 3)
		next := uint64(4)
		acked := []uint64{}
		number := uint64(0)
		for range rapid.IntRange(3, 10).Draw(rt, "steps") {
			number = propose(g, number, &acked)
			voters := g.voters()
			victim := rapid.SampledFrom(voters).Draw(rt, "victim")
			switch rapid.IntRange(0, 4).Draw(rt, "move") {
			case 0: // replaced by an empty host at another address
				g.down[victim] = true
				g.add(next, true, voters...)
				next++
				g.run(replaceLate + 3*time.Second)
				delete(g.hosts, victim)
			case 1: // its disk is lost
				g.add(victim, true, voters...)
				g.run(3 * time.Second)
			case 2: // down for a while
				g.down[victim] = true
				g.run(time.Duration(rapid.IntRange(100, 6000).Draw(rt, "ms")) * time.Millisecond)
				g.down[victim] = false
				g.run(3 * time.Second)
			case 3: // a further host comes
				g.add(next, true, voters...)
				next++
				g.run(2 * time.Second)
			case 4: // all at once
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
			for waited := time.Duration(0); !complete(g) && waited < recoverWithin; waited += time.Second {
				g.run(time.Second)
			}
			leader := g.leader()
			require.NotNil(rt, leader, "a leader is elected")
			require.Len(rt, leader.Status().Committed.Voters, 3)
			require.True(rt, complete(g), "all three voters are there")
			for _, n := range acked {
				require.True(rt, holds(leader, n), "command %d", n)
			}
		}
	})
}

// recoverWithin is how long a group may take to have three voters that are
// there: a silent one yields after replaceLate, and elections come in between.
const recoverWithin = 4 * replaceLate

// complete reports whether all voters are known to a leader and are there.
func complete(g *openGroup) bool {
	leader := g.leader()
	if leader == nil || leader.Status().Committed.IsJoint() {
		return false
	}
	for _, v := range leader.Status().Committed.Voters {
		host := g.hosts[v.ID]
		if host == nil || g.down[v.ID] || host.id != v {
			return false
		}
	}
	return true
}

// propose lets the leader take a command and notes it once it is committed.
func propose(g *openGroup, number uint64, acked *[]uint64) uint64 {
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

// holds reports whether a replica's log has a command.
func holds(r *Raft, number uint64) bool {
	want := binary.BigEndian.AppendUint64(nil, number)
	return slices.ContainsFunc(r.log.entries, func(e Entry) bool { return bytes.Equal(e.Data, want) })
}
