package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/raft"
	"banyanwalk/infra/durable/durabletest"
)

// newClusterOnDisks returns a cluster whose replicas' disks can be made to fail.
func newClusterOnDisks(t *testing.T, cfg Config) *cluster {
	c := makeCluster(t, cfg, func() StateMachine { return &recordingStateMachine{} })
	c.disks = map[uint64]*durabletest.Disk{1: durabletest.NewDisk(), 2: durabletest.NewDisk(), 3: durabletest.NewDisk()}
	c.startAll()
	return c
}

// failure is a way in which a disk fails.
type failure struct {
	name  string
	begin func(*durabletest.Disk)
	end   func(*durabletest.Disk)
}

func failures() []failure {
	return []failure{
		{"full", func(d *durabletest.Disk) { d.SetRoom(0) }, func(d *durabletest.Disk) { d.SetRoom(-1) }},
		{"fullWithinFrame", func(d *durabletest.Disk) { d.SetRoom(25) }, func(d *durabletest.Disk) { d.SetRoom(-1) }},
		{"syncFails", func(d *durabletest.Disk) { d.SetFailSyncs(true) }, func(d *durabletest.Disk) { d.SetFailSyncs(false) }},
	}
}

// waitForRefusal waits until the disk of a replica has refused a write again.
func (c *cluster) waitForRefusal(id uint64) {
	n := c.node(id)
	before := n.replica.SaveFailures()
	c.waitFor("a write that the disk refuses", func() bool { return n.replica.SaveFailures() > before })
}

// waitForDisk waits until the replica has saved what its disk had refused.
func (c *cluster) waitForDisk(id uint64) {
	c.waitFor("a disk that accepts writes", func() bool { return !c.node(id).replica.Status().DiskFailing })
}

// A disk that failed for a moment ended its replica for good, so that the group had
// no leader any more once this had happened to a majority, one after another.
func TestGroupServesAfterDisksFailInTurn(t *testing.T) {
	for _, f := range failures() {
		t.Run(f.name, func(t *testing.T) {
			c := newClusterOnDisks(t, Config{SnapshotEvery: 20})
			want := c.proposeMany(0, 10)
			for round, id := range []uint64{1, 2, 3, 1, 2, 3} {
				f.begin(c.disks[id])
				first := 10 + 15*round
				want = append(want, c.proposeMany(first, first+15)...)
				c.waitForRefusal(id)
				require.NotEqual(t, id, c.leader().replica.Status().ID)
				f.end(c.disks[id])
				c.waitForDisk(id)
				c.requireOnAllReplicas(want)
			}
		})
	}
}

// Guards against a group that stays without a leader once all disks have room again.
func TestGroupServesAfterAllDisksFailAtOnce(t *testing.T) {
	for _, f := range failures() {
		t.Run(f.name, func(t *testing.T) {
			c := newClusterOnDisks(t, Config{})
			want := c.proposeMany(0, 10)
			for _, disk := range c.disks {
				f.begin(disk)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*DefaultElectionTimeout)
			defer cancel()
			_, err := c.leader().replica.Propose(ctx, []byte("while all disks fail"))
			require.Error(t, err)
			for id, disk := range c.disks {
				f.end(disk)
				c.waitForDisk(id)
			}
			c.propose("after")
			got := c.read(c.leader())
			require.Equal(t, want, got[:len(want)])
			require.Equal(t, "after", got[len(got)-1])
		})
	}
}

// Guards against a commit that counts a copy which a failed write has left on no disk:
// after each failure all replicas lose power at once.
func TestNothingCommittedIsLostByFailingDisksAndPower(t *testing.T) {
	for _, f := range failures() {
		t.Run(f.name, func(t *testing.T) {
			c := newClusterOnDisks(t, Config{SnapshotEvery: 20})
			want := c.proposeMany(0, 5)
			for round, id := range []uint64{1, 2, 3} {
				f.begin(c.disks[id])
				first := 5 + 10*round
				want = append(want, c.proposeMany(first, first+10)...)
				c.waitForRefusal(id)
				if round%2 == 1 {
					f.end(c.disks[id])
					c.waitForDisk(id)
					c.requireOnAllReplicas(want)
				}
				c.losePower()
				c.requireOnAllReplicas(want)
			}
		})
	}
}

// losePower ends all replicas, brings their disks to the state that survives, and
// starts them again on disks that work.
func (c *cluster) losePower() {
	for _, id := range c.peers {
		c.crash(id)
	}
	for _, id := range c.peers {
		c.disks[id].SetRoom(-1)
		c.disks[id].SetFailSyncs(false)
		require.NoError(c.t, c.disks[id].LosePower(c.dataDir(id)))
		c.start(id)
	}
}

// A snapshot that did not fit on the disk ended the replica.
func TestReplicaSurvivesSnapshotThatDoesNotFit(t *testing.T) {
	c := newClusterOnDisks(t, Config{SnapshotEvery: 1000})
	c.proposeMany(0, 5)
	for _, id := range c.peers {
		n := c.node(id)
		c.disks[id].SetRoom(0)
		n.replica.Read(func() { n.replica.applier.snapshotEvery = 1 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), DefaultElectionTimeout)
	defer cancel()
	for i := range 3 {
		_, _ = c.leader().replica.Propose(ctx, []byte(fmt.Sprint("during ", i))) // fails; its outcome does not matter
	}
	for id, disk := range c.disks {
		disk.SetRoom(-1)
		c.waitForDisk(id)
	}
	want := c.proposeMany(5, 20)
	got := c.read(c.leader())
	require.Equal(t, want, got[len(got)-len(want):])
	for _, id := range c.peers {
		c.waitFor("a snapshot", func() bool {
			files, err := filepath.Glob(filepath.Join(c.dataDir(id), "log", "*.snap"))
			return err == nil && len(files) > 0
		})
	}
}

// The leader repeats its entries or its snapshot several times a second, so a replica
// that kept them while its disk refused writes ran out of memory.
func TestReplicaKeepsNoMessagesWhileDiskRefusesWrites(t *testing.T) {
	c := newClusterOnDisks(t, Config{})
	c.proposeMany(0, 5)
	id := c.leader().replica.Status().ID%3 + 1
	c.disks[id].SetRoom(0)
	c.proposeMany(5, 10)
	c.waitForRefusal(id)
	n := c.node(id)
	const count = 1000
	for range count {
		n.replica.Step(raft.Message{Type: raft.MsgAppend})
	}
	c.waitForRefusal(id)
	c.stop(id)
	require.Less(t, len(n.replica.deferred), count)
}

// A refusal that the loop had not read yet when its batch was saved was counted for the
// next batch, so that a leader whose disk works might hand over.
func TestRefusalIsCountedForItsOwnBatch(t *testing.T) {
	r, err := Open(Config{ID: 1, Peers: []uint64{1}, Dir: t.TempDir()}, &recordingStateMachine{}, memoryTransport{})
	require.NoError(t, err)
	r.saver.failures <- syscall.ENOSPC
	var w diskWait
	r.endDiskWait(&w, nil, 1)
	require.Empty(t, r.saver.failures)
	require.Equal(t, 1, w.refusals)
	require.False(t, r.Status().DiskFailing)
	require.NoError(t, r.wal.Close())
}

// A voter whose disk refuses every write answers heartbeats, so it is never replaced by
// a spare host, and the next failure leaves the group without a quorum.
func TestVoterWithFailedDiskIsReplaced(t *testing.T) {
	c := newClusterOnDisks(t, Config{VoterCount: 3, ReplaceAfter: 2 * DefaultElectionTimeout})
	c.proposeMany(0, 5)
	c.cfg.Joining = true
	c.disks[4] = durabletest.NewDisk()
	c.peers = append(c.peers, 4)
	c.start(4)
	hasLearner := func() bool { return len(c.leader().replica.Status().Learners) > 0 }
	c.waitFor("a spare host", hasLearner)
	var failed uint64
	for _, id := range []uint64{1, 2, 3} {
		if id != c.leader().replica.Status().ID {
			failed = id
		}
	}
	c.disks[failed].SetRoom(0)
	defer c.disks[failed].SetRoom(-1)
	c.proposeMany(5, 10)
	c.waitForRefusal(failed)
	isVoter := func() bool {
		return slices.ContainsFunc(c.leader().replica.Status().Voters, func(r raft.ReplicaID) bool { return r.ID == failed })
	}
	require.Eventually(t, func() bool { return !isVoter() }, 20*DefaultElectionTimeout, 20*time.Millisecond)
}
