package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/infra/wal"
)

// gatedDisk holds up the saves of a replica while it is closed.
type gatedDisk struct {
	gate    atomic.Pointer[chan struct{}] // nil: open
	waiting atomic.Int64                  // saves held up
}

func (d *gatedDisk) close() {
	gate := make(chan struct{})
	d.gate.Store(&gate)
}

func (d *gatedDisk) open() {
	if gate := d.gate.Swap(nil); gate != nil {
		close(*gate)
	}
}

// attach makes the saves of a replica that doesn't run yet pass the gate.
func (d *gatedDisk) attach(r *Replica) {
	save := r.saver.save
	r.saver.save = func(b wal.Batch) error {
		if gate := d.gate.Load(); gate != nil {
			d.waiting.Add(1)
			<-*gate
		}
		return save(b)
	}
}

// newGatedCluster returns a cluster whose replicas' disks are gated.
func newGatedCluster(t *testing.T, cfg Config) (*cluster, map[uint64]*gatedDisk) {
	disks := map[uint64]*gatedDisk{1: {}, 2: {}, 3: {}}
	c := newClusterOpened(t, cfg, func(id uint64, r *Replica) { disks[id].attach(r) })
	t.Cleanup(func() {
		for _, disk := range disks {
			disk.open()
		}
	})
	return c, disks
}

// With both followers in a sync, their answers to heartbeats still confirm reads and
// keep the leader, whose command waits.
func TestFollowersAnswerHeartbeatsWhileTheirDisksAreBusy(t *testing.T) {
	c, disks := newGatedCluster(t, Config{})
	c.propose("before")
	leader := c.leader()
	term := leader.replica.Status().Term
	for _, id := range c.peers {
		if id != leader.replica.Status().ID {
			disks[id].close()
		}
	}
	result := make(chan error, 1)
	c.wg.Go(func() {
		_, err := leader.replica.Propose(context.Background(), []byte("during"))
		result <- err
	})
	for id, disk := range disks {
		if id != leader.replica.Status().ID {
			c.waitFor("a save in progress", func() bool { return disk.waiting.Load() > 0 })
		}
	}
	started := time.Now()
	for time.Since(started) < 3*DefaultElectionTimeout {
		require.Equal(t, []string{"before"}, c.read(leader))
	}
	for _, disk := range disks {
		disk.open()
	}
	require.NoError(t, <-result)
	require.Equal(t, term, leader.replica.Status().Term)
}

// A leader whose disk hangs hands over to a follower that has what it could not save.
func TestLeaderWithHangingDiskHandsOver(t *testing.T) {
	c, disks := newGatedCluster(t, Config{})
	c.propose("before")
	former := c.leader()
	id := former.replica.Status().ID
	disks[id].close()
	result := make(chan error, 1)
	c.wg.Go(func() {
		_, err := former.replica.Propose(context.Background(), []byte("during"))
		result <- err
	})
	c.waitFor("another leader", func() bool { return !former.replica.LeaseValid(time.Now()) && c.leader() != former })
	c.propose("after")
	require.Equal(t, []string{"before", "during", "after"}, c.read(c.leader()))
	disks[id].open()
	if err := <-result; err != nil {
		t.Logf("the proposer of the former leader: %v", err) // it may not have learned the outcome
	}
	c.requireOnAllReplicas([]string{"before", "during", "after"})
}
