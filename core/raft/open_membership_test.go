package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	openTick     = 50 * time.Millisecond
	replaceAfter = 3 * time.Second
)

// openGroup is a group with open membership on a network without faults or delay.
type openGroup struct {
	t     *testing.T
	now   time.Time
	hosts map[uint64]*Raft
	down  map[uint64]bool
}

// Timeouts of an openGroup.
const (
	openElection  = 500 * time.Millisecond
	openHeartbeat = 100 * time.Millisecond
)

// When all hosts of a group without leader leases restart together, they needn't
// wait for the lease of a former leader. They used to: urbpadoms scale-1 had no
// leader for 0.8 s after all processes were killed.
func TestGroupRestartedTogetherElectsQuickly(t *testing.T) {
	electedInTime := 0
	for seed := range uint64(50) {
		g := newOpenGroup(t, 1+3*seed, 2+3*seed, 3+3*seed)
		_, _, err := g.leader().Propose([]byte("command"))
		require.NoError(t, err)
		g.run(openElection)
		for id := range g.hosts {
			g.restart(id)
		}
		require.Nil(t, g.leader())
		g.run(openElection)
		if g.leader() != nil {
			electedInTime++
		}
		g.run(2 * openElection)
		require.NotNil(t, g.leader(), "seed %d", seed)
	}
	require.Greater(t, electedInTime, 45, "of 50; if two replicas campaign at the same time, the vote is split and they retry later")
}

// When two of three hosts restart, one later than the other, both are needed for an
// election. A first campaign that nobody hears, and a split vote, are repeated soon.
func TestTwoOfThreeRestartedHostsElectQuickly(t *testing.T) {
	const histories = 100
	for _, later := range []time.Duration{0, openHeartbeat, 3 * openHeartbeat} {
		electedInTime := 0
		for seed := range uint64(histories) {
			g := newOpenGroup(t, 1+3*seed, 2+3*seed, 3+3*seed)
			_, _, err := g.leader().Propose([]byte("command"))
			require.NoError(t, err)
			g.run(openElection)
			for id := range g.hosts {
				g.down[id] = true
			}
			g.restart(1 + 3*seed)
			g.down[1+3*seed] = false
			g.run(later)
			g.restart(2 + 3*seed)
			g.down[2+3*seed] = false
			g.run(openElection)
			if g.leader() != nil {
				electedInTime++
			}
			g.run(2 * openElection)
			require.NotNil(t, g.leader(), "seed %d", seed)
		}
		require.GreaterOrEqual(t, electedInTime, histories*9/10, "the second host started %v later", later)
	}
}

// A single restarted host must not disrupt the leader.
func TestRestartedHostFollowsExistingLeader(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	leader := g.leader()
	term := leader.Status().Term
	for id := range g.hosts {
		if id != leader.id.ID {
			g.restart(id)
			g.run(openElection)
		}
	}
	require.Equal(t, leader, g.leader())
	require.Equal(t, term, leader.Status().Term)
	require.True(t, leader.LeaseUntil().IsZero(), "there is no lease with NoLease")
}

func newOpenGroup(t *testing.T, initialHosts ...uint64) *openGroup {
	g := &openGroup{t: t, now: time.Unix(1000, 0), hosts: map[uint64]*Raft{}, down: map[uint64]bool{}}
	for _, id := range initialHosts {
		g.add(id, false, initialHosts...)
	}
	g.run(3 * time.Second)
	require.NotNil(t, g.leader())
	return g
}

func (g *openGroup) add(id uint64, joining bool, peers ...uint64) *Raft {
	if !slices.Contains(peers, id) {
		peers = append(peers, id)
	}
	return g.open(Config{ID: ReplicaID{ID: id, Incarnation: uint64(g.now.UnixNano()) + id}, Peers: peers, Joining: joining})
}

// open starts a host with the given config, completed by the group's settings.
func (g *openGroup) open(cfg Config) *Raft {
	cfg.ElectionTimeout, cfg.HeartbeatInterval = openElection, openHeartbeat
	cfg.Rand, cfg.Now = rand.New(rand.NewPCG(cfg.ID.ID, 1)), g.now
	cfg.VoterCount, cfg.ReplaceAfter, cfg.NoLease = 3, replaceAfter, true
	r, err := New(cfg)
	require.NoError(g.t, err)
	g.hosts[cfg.ID.ID] = r
	return r
}

// restart recreates a host from its saved state; everything else is lost.
func (g *openGroup) restart(id uint64) {
	old := g.hosts[id]
	g.open(Config{ID: old.id, Peers: old.cfg.Peers, Joining: old.cfg.Joining, HardState: old.savedHardState,
		Snapshot: old.log.snapshot, Entries: slices.Clone(old.log.entries)})
}

func (g *openGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(openTick) {
		for id, r := range g.hosts {
			if !g.down[id] {
				r.Tick(g.now)
			}
		}
		for g.deliver() {
		}
	}
}

func (g *openGroup) deliver() bool {
	var sent []Message
	for id, r := range g.hosts {
		for !g.down[id] && r.HasReady() {
			ready := r.Ready()
			r.Advance(ready)
			sent = append(append(sent, ready.MessagesBeforeSync...), ready.Messages...)
		}
	}
	for _, m := range sent {
		if to := g.hosts[m.To.ID]; to != nil && !g.down[m.To.ID] {
			to.Step(g.now, m)
		}
	}
	return len(sent) > 0
}

func (g *openGroup) leader() *Raft {
	for id, r := range g.hosts {
		if !g.down[id] && r.Status().Role == Leader {
			return r
		}
	}
	return nil
}

func (g *openGroup) voters() []uint64 {
	leader := g.leader()
	require.NotNil(g.t, leader)
	var ids []uint64
	for _, v := range leader.Status().CommittedMembership.Voters {
		ids = append(ids, v.ID)
	}
	return ids
}

func TestUnconfiguredHostReplacesLostVoter(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	g.add(4, true, 2)
	g.run(2 * time.Second)
	assert.Equal(t, []uint64{1, 2, 3}, g.voters(), "three voters are enough: the fourth host stays a learner")
	lost := g.voters()[0]
	g.down[lost] = true
	g.run(replaceAfter + 3*time.Second)
	assert.NotContains(t, g.voters(), lost)
	assert.Contains(t, g.voters(), uint64(4))
	g.down[lost] = false
	g.run(3 * time.Second)
	assert.Len(t, g.voters(), 3)
	assert.True(t, slices.ContainsFunc(g.leader().Status().CommittedMembership.Learners, func(id ReplicaID) bool { return id.ID == lost }),
		"the replaced host rejoins as a learner")
}

func TestUnresponsiveVoterIsNotReplacedEarly(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	g.add(4, true, 1, 2, 3)
	g.run(time.Second)
	follower := g.voters()[0]
	if g.leader().Status().ID.ID == follower {
		follower = g.voters()[1]
	}
	g.down[follower] = true
	g.run(replaceAfter - time.Second)
	assert.Contains(t, g.voters(), follower)
}

func TestJoiningHostsNeverBootstrap(t *testing.T) {
	g := &openGroup{t: t, now: time.Unix(1000, 0), hosts: map[uint64]*Raft{}, down: map[uint64]bool{}}
	for id := range uint64(3) {
		g.add(id+1, true, 1, 2, 3)
	}
	g.run(10 * time.Second)
	assert.Nil(t, g.leader())
}

func TestRetiredVoterIsReplaced(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	retired := g.leader().Status().ID.ID
	for _, r := range g.hosts {
		r.SetRetiredHosts([]uint64{retired})
	}
	g.run(2 * time.Second)
	assert.Contains(t, g.voters(), retired, "no other host can replace it yet")
	g.add(4, true, 1, 2, 3).SetRetiredHosts([]uint64{retired})
	g.run(4 * time.Second)
	assert.NotContains(t, g.voters(), retired)
	assert.Len(t, g.voters(), 3)
}

func TestWipedHostRejoinsUnderNewIncarnation(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	wiped := g.voters()[0]
	former := g.hosts[wiped].Status().ID
	g.add(wiped, true, 1, 2, 3)
	g.run(4 * time.Second)
	members := g.leader().Status().CommittedMembership
	assert.NotContains(t, members.Voters, former)
	assert.Contains(t, members.Voters, g.hosts[wiped].Status().ID)
}
