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
	openTick    = 50 * time.Millisecond
	replaceLate = 3 * time.Second
)

// openGroup is a group with open membership on a network that delivers at once.
type openGroup struct {
	t     *testing.T
	now   time.Time
	hosts map[uint64]*Raft
	down  map[uint64]bool
}

// Times of the group.
const (
	openElection  = 500 * time.Millisecond
	openHeartbeat = 100 * time.Millisecond
)

// When all hosts of a group that relies on no lease start again together, they
// need not wait for a leader that may still be there (urbpadoms scale-1: 0.8 s
// without a leader after all processes were killed).
func TestAGroupThatStartsAgainTogetherElectsAtOnce(t *testing.T) {
	soon := 0
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
			soon++
		}
		g.run(2 * openElection)
		require.NotNil(t, g.leader(), "seed %d", seed)
	}
	require.Greater(t, soon, 45, "of 50; two that campaign at the same moment try again later")
}

// A host that starts again alone does not disturb the leader.
func TestAHostThatStartsAgainAloneFollows(t *testing.T) {
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
	require.True(t, leader.LeaseUntil().IsZero(), "nobody may rely on a lease")
}

func newOpenGroup(t *testing.T, founders ...uint64) *openGroup {
	g := &openGroup{t: t, now: time.Unix(1000, 0), hosts: map[uint64]*Raft{}, down: map[uint64]bool{}}
	for _, id := range founders {
		g.add(id, false, founders...)
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

// open starts a host with what is given beside the times of the group.
func (g *openGroup) open(cfg Config) *Raft {
	cfg.ElectionTimeout, cfg.HeartbeatInterval = openElection, openHeartbeat
	cfg.Rand, cfg.Now = rand.New(rand.NewPCG(cfg.ID.ID, 1)), g.now
	cfg.Voters, cfg.ReplaceAfter, cfg.NoLease = 3, replaceLate, true
	r, err := New(cfg)
	require.NoError(g.t, err)
	g.hosts[cfg.ID.ID] = r
	return r
}

// restart lets a host lose what is not on its disk.
func (g *openGroup) restart(id uint64) {
	old := g.hosts[id]
	g.open(Config{ID: old.id, Peers: old.cfg.Peers, Joining: old.cfg.Joining, HardState: old.saved,
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
			sent = append(append(sent, ready.Early...), ready.Messages...)
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
	for _, v := range leader.Status().Committed.Voters {
		ids = append(ids, v.ID)
	}
	return ids
}

func TestStrangersJoinAndReplaceTheLost(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	g.add(4, true, 2)
	g.run(2 * time.Second)
	assert.Equal(t, []uint64{1, 2, 3}, g.voters(), "enough voters: the fourth stays a learner")
	lost := g.voters()[0]
	g.down[lost] = true
	g.run(replaceLate + 3*time.Second)
	assert.NotContains(t, g.voters(), lost)
	assert.Contains(t, g.voters(), uint64(4))
	g.down[lost] = false
	g.run(3 * time.Second)
	assert.Len(t, g.voters(), 3)
	assert.True(t, slices.ContainsFunc(g.leader().Status().Committed.Learners, func(id ReplicaID) bool { return id.ID == lost }),
		"the one that was replaced follows again")
}

func TestALostHostIsNotReplacedAtOnce(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	g.add(4, true, 1, 2, 3)
	g.run(time.Second)
	follower := g.voters()[0]
	if g.leader().Status().ID.ID == follower {
		follower = g.voters()[1]
	}
	g.down[follower] = true
	g.run(replaceLate - time.Second)
	assert.Contains(t, g.voters(), follower)
}

func TestJoiningHostsNeverForm(t *testing.T) {
	g := &openGroup{t: t, now: time.Unix(1000, 0), hosts: map[uint64]*Raft{}, down: map[uint64]bool{}}
	for id := range uint64(3) {
		g.add(id+1, true, 1, 2, 3)
	}
	g.run(10 * time.Second)
	assert.Nil(t, g.leader())
}

func TestRetiredHostsYield(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	retired := g.leader().Status().ID.ID
	for _, r := range g.hosts {
		r.SetRetired([]uint64{retired})
	}
	g.run(2 * time.Second)
	assert.Contains(t, g.voters(), retired, "nobody can take its vote")
	g.add(4, true, 1, 2, 3).SetRetired([]uint64{retired})
	g.run(4 * time.Second)
	assert.NotContains(t, g.voters(), retired)
	assert.Len(t, g.voters(), 3)
}

func TestAWipedHostReturnsUnderItsNewIncarnation(t *testing.T) {
	g := newOpenGroup(t, 1, 2, 3)
	wiped := g.voters()[0]
	former := g.hosts[wiped].Status().ID
	g.add(wiped, true, 1, 2, 3)
	g.run(4 * time.Second)
	members := g.leader().Status().Committed
	assert.NotContains(t, members.Voters, former)
	assert.Contains(t, members.Voters, g.hosts[wiped].Status().ID)
}
