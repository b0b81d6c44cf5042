package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/durable/durabletest"
)

// recordingStateMachine is a state machine that records the applied commands.
type recordingStateMachine struct {
	commands []string
}

func (s *recordingStateMachine) Apply(_ uint64, command []byte) any {
	s.commands = append(s.commands, string(command))
	return len(s.commands)
}

func (s *recordingStateMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(s.commands, "\n")), nil
}

func (s *recordingStateMachine) Restore(snapshot []byte) error {
	s.commands = nil
	if len(snapshot) > 0 {
		s.commands = strings.Split(string(snapshot), "\n")
	}
	return nil
}

// network delivers messages between the replicas of one process.
type network struct {
	mu    sync.Mutex
	nodes map[uint64]*node
}

// memoryTransport is the Transport of one replica on the network.
type memoryTransport struct {
	net  *network
	from uint64
}

func (t memoryTransport) Send(_ uint32, to uint64, messages []raft.Message) {
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	target, sender := t.net.nodes[to], t.net.nodes[t.from]
	if target == nil || sender == nil || target.isPartitioned || sender.isPartitioned {
		return
	}
	for _, m := range messages {
		target.replica.Step(m)
	}
}

// node is a running replica.
type node struct {
	replica       *Replica
	sm            StateMachine
	cancel        context.CancelFunc
	runResult     chan error
	isPartitioned bool
}

// cluster runs the replicas of one group on files.
type cluster struct {
	t     testing.TB
	make  func() StateMachine
	net   *network
	dir   string
	peers []uint64
	cfg   Config
	wg    conc.WaitGroup
	// opened is called with each replica before it runs.
	opened func(id uint64, r *Replica)
	disks  map[uint64]*durabletest.Disk // the file systems of replicas; nil: the real one
}

const waitTimeout = time.Minute // bounds every wait; only a test that hangs reaches it

func newCluster(t testing.TB, cfg Config) *cluster {
	return newClusterWith(t, cfg, func() StateMachine { return &recordingStateMachine{} })
}

// newClusterOpened is newCluster with a function that is called with each replica
// before it runs.
func newClusterOpened(t testing.TB, cfg Config, opened func(uint64, *Replica)) *cluster {
	c := makeCluster(t, cfg, func() StateMachine { return &recordingStateMachine{} })
	c.opened = opened
	c.startAll()
	return c
}

func newClusterWith(t testing.TB, cfg Config, machine func() StateMachine) *cluster {
	c := makeCluster(t, cfg, machine)
	c.startAll()
	return c
}

func makeCluster(t testing.TB, cfg Config, machine func() StateMachine) *cluster {
	return &cluster{
		t: t, make: machine, net: &network{nodes: map[uint64]*node{}}, dir: t.TempDir(), peers: []uint64{1, 2, 3}, cfg: cfg,
		opened: func(uint64, *Replica) {},
	}
}

// startAll starts the replicas, which run until the end of the test.
func (c *cluster) startAll() {
	for _, id := range c.peers {
		c.start(id)
	}
	c.t.Cleanup(func() {
		for _, id := range c.peers {
			c.stop(id)
		}
		c.wg.Wait()
	})
}

func (c *cluster) dataDir(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

func (c *cluster) start(id uint64) {
	cfg := c.cfg
	cfg.ID, cfg.Peers, cfg.Dir = id, c.peers, c.dataDir(id)
	if c.disks != nil {
		cfg.FS = c.disks[id]
	}
	n := &node{sm: c.make(), runResult: make(chan error, 1)}
	var err error
	n.replica, err = Open(cfg, n.sm, memoryTransport{net: c.net, from: id})
	require.NoError(c.t, err)
	c.opened(id, n.replica)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.net.mu.Lock()
	c.net.nodes[id] = n
	c.net.mu.Unlock()
	c.wg.Go(func() { n.runResult <- n.replica.Run(ctx) })
}

func (c *cluster) node(id uint64) *node {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.nodes[id]
}

func (c *cluster) stop(id uint64) {
	n := c.node(id)
	if n == nil {
		return
	}
	n.cancel()
	require.NoError(c.t, <-n.runResult)
	c.net.mu.Lock()
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
}

// crash stops a replica that is partitioned first, so that it can't transfer
// leadership.
func (c *cluster) crash(id uint64) {
	c.setPartitioned(c.node(id), true)
	c.stop(id)
}

func (c *cluster) setPartitioned(n *node, isPartitioned bool) {
	c.net.mu.Lock()
	n.isPartitioned = isPartitioned
	c.net.mu.Unlock()
}

func (c *cluster) wipeAndRestart(id uint64) {
	c.crash(id)
	require.NoError(c.t, os.RemoveAll(c.dataDir(id)))
	c.start(id)
}

// waitFor polls until ok returns true.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, waitTimeout, 5*time.Millisecond, what)
}

// leader waits for a leader with a valid lease.
func (c *cluster) leader() *node {
	var found *node
	c.waitFor("a leader", func() bool {
		for _, id := range c.peers {
			if n := c.node(id); n != nil && n.replica.LeaseValid(time.Now()) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// propose retries until a command is applied. The leader may change at any time,
// so if the outcome of an attempt is unknown, it checks whether the command was
// applied before it retries.
func (c *cluster) propose(command string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		_, err := c.leader().replica.Propose(ctx, []byte(command))
		if err == nil {
			return
		}
		require.NoError(c.t, ctx.Err())
		var proposeErr *outcome.Error
		require.True(c.t, errors.As(err, &proposeErr))
		if proposeErr.Outcome != outcome.NotRun && c.hasApplied(ctx, command) {
			return
		}
	}
}

// hasApplied reports whether the leader has applied a command, once all committed
// commands are applied.
func (c *cluster) hasApplied(ctx context.Context, command string) (found bool) {
	for {
		n := c.leader()
		if _, err := n.replica.ReadIndex(ctx); err != nil {
			require.NoError(c.t, ctx.Err())
			continue
		}
		n.replica.Read(func() {
			if sm, ok := n.sm.(*recordingStateMachine); ok {
				found = slices.Contains(sm.commands, command)
			}
		})
		return found
	}
}

// read returns the commands that a replica has applied, including all that were
// acknowledged before the call.
func (c *cluster) read(n *node) []string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := n.replica.ReadIndex(ctx)
	require.NoError(c.t, err)
	var commands []string
	n.replica.Read(func() { commands = append(commands, n.sm.(*recordingStateMachine).commands...) })
	return commands
}

func (c *cluster) requireOnAllReplicas(want []string) {
	c.t.Helper()
	for _, id := range c.peers {
		require.Equal(c.t, want, c.read(c.node(id)), "replica %d", id)
	}
}

func (c *cluster) proposeMany(from, to int) (all []string) {
	for i := from; i < to; i++ {
		command := fmt.Sprintf("command-%04d", i)
		c.propose(command)
		all = append(all, command)
	}
	return all
}

func TestRestartAfterFiveHundredCommands(t *testing.T) {
	c := newCluster(t, Config{SnapshotEvery: 120})
	want := c.proposeMany(0, 500)
	for _, id := range c.peers {
		c.stop(id)
	}
	for _, id := range c.peers {
		c.start(id)
	}
	c.requireOnAllReplicas(want)
	want = append(want, c.proposeMany(500, 510)...)
	c.requireOnAllReplicas(want)
}

func TestReplicasRejoinAfterDataLoss(t *testing.T) {
	c := newCluster(t, Config{SnapshotEvery: 50})
	want := c.proposeMany(0, 150)
	for _, id := range []uint64{2, 3} {
		before := c.node(id).replica.Status().Incarnation
		c.wipeAndRestart(id)
		after := c.node(id).replica.Status().Incarnation
		require.NotEqual(t, before, after)
		c.waitFor("the new incarnation to become a voter", func() bool {
			s := c.leader().replica.Status()
			return len(s.Outgoing) == 0 && len(s.Learners) == 0 && len(s.Voters) == 3 &&
				s.Voters[id-1] == raft.ReplicaID{ID: id, Incarnation: after}
		})
	}
	c.requireOnAllReplicas(want)
}

// With SnapshotBytes set, snapshots are taken by size, and a replica that has
// lost its data catches up from one.
func TestSnapshotsByBytes(t *testing.T) {
	c := newCluster(t, Config{SnapshotBytes: 500})
	want := c.proposeMany(0, 300)
	for _, id := range c.peers {
		c.waitFor("a snapshot", func() bool {
			files, err := filepath.Glob(filepath.Join(c.dataDir(id), "log", "*.snap"))
			return err == nil && len(files) > 0
		})
	}
	c.wipeAndRestart(2)
	c.requireOnAllReplicas(want)
	for _, id := range c.peers {
		c.stop(id)
		c.start(id)
	}
	want = append(want, c.proposeMany(300, 310)...)
	c.requireOnAllReplicas(want)
}

func TestLeaderCrash(t *testing.T) {
	c := newCluster(t, Config{})
	want := c.proposeMany(0, 20)
	old := c.leader()
	c.crash(old.replica.Status().ID)
	want = append(want, c.proposeMany(20, 40)...)
	next := c.leader()
	require.NotEqual(t, old.replica.id, next.replica.id)
	require.Equal(t, want, c.read(next))
	c.start(old.replica.id.ID)
	c.requireOnAllReplicas(want)
}

func TestAddedPeerBecomesVoter(t *testing.T) {
	c := newCluster(t, Config{SnapshotEvery: 20})
	want := c.proposeMany(0, 50)
	c.peers = append(c.peers, 4)
	for _, id := range c.peers {
		c.stop(id)
		c.start(id)
	}
	c.waitFor("the new voter", func() bool {
		s := c.leader().replica.Status()
		return len(s.Voters) == 4 && len(s.Outgoing) == 0 && len(s.Learners) == 0
	})
	c.requireOnAllReplicas(want)
}

// A leader that is stopped gracefully transfers leadership: another replica leads
// the next term, without an election timeout or a failed election in between.
func TestStoppedLeaderTransfersLeadership(t *testing.T) {
	c := newCluster(t, Config{ElectionTimeout: waitTimeout, HeartbeatInterval: 20 * time.Millisecond})
	c.propose("first")
	old := c.leader().replica.Status()
	c.stop(old.ID)
	require.Equal(t, old.Term+1, c.leader().replica.Status().Term)
	c.propose("second")
	require.Equal(t, []string{"first", "second"}, c.read(c.leader()))
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, Config{})
	c.propose("first")
	old := c.leader()
	c.setPartitioned(old, true)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := old.replica.Propose(ctx, []byte("lost"))
	require.True(t, outcome.IsCode(err, outcome.NoQuorum))
	require.Equal(t, outcome.MayHaveRun, outcome.From(err).Outcome)
	require.False(t, old.replica.LeaseValid(time.Now()))
	_, err = old.replica.Propose(ctx, []byte("refused"))
	require.True(t, outcome.IsCode(err, outcome.NotLeader))
	require.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
	c.propose("second")
	c.setPartitioned(old, false)
	c.requireOnAllReplicas([]string{"first", "second"})
}
