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
)

// journal is a state machine that keeps its commands.
type journal struct {
	commands []string
}

func (j *journal) Apply(_ uint64, command []byte) any {
	j.commands = append(j.commands, string(command))
	return len(j.commands)
}

func (j *journal) Snapshot() ([]byte, error) { return []byte(strings.Join(j.commands, "\n")), nil }

func (j *journal) Restore(snapshot []byte) error {
	j.commands = nil
	if len(snapshot) > 0 {
		j.commands = strings.Split(string(snapshot), "\n")
	}
	return nil
}

// network passes messages between the replicas of one process.
type network struct {
	mu    sync.Mutex
	nodes map[uint64]*node
}

type linkTo struct {
	net  *network
	from uint64
}

func (l linkTo) Send(_ uint32, to uint64, messages []raft.Message) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	target, sender := l.net.nodes[to], l.net.nodes[l.from]
	if target == nil || sender == nil || target.isCut || sender.isCut {
		return
	}
	for _, m := range messages {
		target.replica.Step(m)
	}
}

// node is one running replica.
type node struct {
	replica *Replica
	sm      StateMachine
	cancel  context.CancelFunc
	ended   chan error
	isCut   bool
}

// cluster is three replicas on real files.
type cluster struct {
	t     testing.TB
	make  func() StateMachine
	net   *network
	dir   string
	peers []uint64
	cfg   Config
	wg    conc.WaitGroup
}

const patience = time.Minute // liveness only

func newCluster(t testing.TB, cfg Config) *cluster {
	return newClusterOf(t, cfg, func() StateMachine { return &journal{} })
}

func newClusterOf(t testing.TB, cfg Config, machine func() StateMachine) *cluster {
	c := &cluster{t: t, make: machine, net: &network{nodes: map[uint64]*node{}}, dir: t.TempDir(), peers: []uint64{1, 2, 3}, cfg: cfg}
	for _, id := range c.peers {
		c.start(id)
	}
	t.Cleanup(func() {
		for _, id := range c.peers {
			c.stop(id)
		}
		c.wg.Wait()
	})
	return c
}

func (c *cluster) folder(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

func (c *cluster) start(id uint64) {
	cfg := c.cfg
	cfg.ID, cfg.Peers, cfg.Dir = id, c.peers, c.folder(id)
	n := &node{sm: c.make(), ended: make(chan error, 1)}
	var err error
	n.replica, err = Open(cfg, n.sm, linkTo{net: c.net, from: id})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.net.mu.Lock()
	c.net.nodes[id] = n
	c.net.mu.Unlock()
	c.wg.Go(func() { n.ended <- n.replica.Run(ctx) })
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
	require.NoError(c.t, <-n.ended)
	c.net.mu.Lock()
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
}

// crash stops a replica that can tell nobody.
func (c *cluster) crash(id uint64) {
	c.cut(c.node(id), true)
	c.stop(id)
}

func (c *cluster) cut(n *node, isCut bool) {
	c.net.mu.Lock()
	n.isCut = isCut
	c.net.mu.Unlock()
}

func (c *cluster) blank(id uint64) {
	c.crash(id)
	require.NoError(c.t, os.RemoveAll(c.folder(id)))
	c.start(id)
}

// waitFor polls until ok; only liveness depends on the time.
func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, patience, 5*time.Millisecond, what)
}

// leader waits for a leader whose lease holds.
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

// propose retries until a command is applied. A command whose outcome is unknown
// is looked for before it is repeated: the leadership may change at any time.
func (c *cluster) propose(command string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		_, err := c.leader().replica.Propose(ctx, []byte(command))
		if err == nil {
			return
		}
		require.NoError(c.t, ctx.Err())
		var refused *outcome.Error
		require.True(c.t, errors.As(err, &refused))
		if refused.Outcome != outcome.NotRun && c.holds(ctx, command) {
			return
		}
	}
}

// holds reports whether a leader holds a command at a confirmed index.
func (c *cluster) holds(ctx context.Context, command string) (held bool) {
	for {
		n := c.leader()
		if _, err := n.replica.ReadIndex(ctx); err != nil {
			require.NoError(c.t, ctx.Err())
			continue
		}
		n.replica.Read(func() {
			if j, ok := n.sm.(*journal); ok {
				held = slices.Contains(j.commands, command)
			}
		})
		return held
	}
}

// read returns the commands that a replica holds at a confirmed index.
func (c *cluster) read(n *node) []string {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := n.replica.ReadIndex(ctx)
	require.NoError(c.t, err)
	var commands []string
	n.replica.Read(func() { commands = append(commands, n.sm.(*journal).commands...) })
	return commands
}

func (c *cluster) requireEverywhere(want []string) {
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
	c.requireEverywhere(want)
	want = append(want, c.proposeMany(500, 510)...)
	c.requireEverywhere(want)
}

func TestBlankedFolderThenSecondHostLost(t *testing.T) {
	c := newCluster(t, Config{SnapshotEvery: 50})
	want := c.proposeMany(0, 150)
	for _, id := range []uint64{2, 3} {
		before := c.node(id).replica.Status().Incarnation
		c.blank(id)
		after := c.node(id).replica.Status().Incarnation
		require.NotEqual(t, before, after)
		c.waitFor("the repair", func() bool {
			s := c.leader().replica.Status()
			return len(s.Outgoing) == 0 && len(s.Learners) == 0 && len(s.Voters) == 3 &&
				s.Voters[id-1] == raft.ReplicaID{ID: id, Incarnation: after}
		})
	}
	c.requireEverywhere(want)
}

// Where the size of the log is bounded, snapshots come by bytes, and a host with
// a blank folder gets one.
func TestSnapshotsByBytes(t *testing.T) {
	c := newCluster(t, Config{SnapshotBytes: 500})
	want := c.proposeMany(0, 300)
	for _, id := range c.peers {
		c.waitFor("a snapshot", func() bool {
			files, err := filepath.Glob(filepath.Join(c.folder(id), "log", "*.snap"))
			return err == nil && len(files) > 0
		})
	}
	c.blank(2)
	c.requireEverywhere(want)
	for _, id := range c.peers {
		c.stop(id)
		c.start(id)
	}
	want = append(want, c.proposeMany(300, 310)...)
	c.requireEverywhere(want)
}

func TestLostLeader(t *testing.T) {
	c := newCluster(t, Config{})
	want := c.proposeMany(0, 20)
	old := c.leader()
	c.crash(old.replica.Status().ID)
	want = append(want, c.proposeMany(20, 40)...)
	next := c.leader()
	require.NotEqual(t, old.replica.id, next.replica.id)
	require.Equal(t, want, c.read(next))
	c.start(old.replica.id.ID)
	c.requireEverywhere(want)
}

func TestGroupGrowsByAConfiguredHost(t *testing.T) {
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
	c.requireEverywhere(want)
}

// A leader that is stopped gracefully names its heir: the next term is led at
// once, without a lost campaign in between.
func TestStoppedLeaderHandsOver(t *testing.T) {
	c := newCluster(t, Config{ElectionTimeout: patience, HeartbeatInterval: 20 * time.Millisecond})
	c.propose("first")
	old := c.leader().replica.Status()
	c.stop(old.ID)
	require.Equal(t, old.Term+1, c.leader().replica.Status().Term)
	c.propose("second")
	require.Equal(t, []string{"first", "second"}, c.read(c.leader()))
}

func TestCutLeaderGivesUp(t *testing.T) {
	c := newCluster(t, Config{})
	c.propose("first")
	old := c.leader()
	c.cut(old, true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := old.replica.Propose(ctx, []byte("lost"))
	require.True(t, outcome.IsCode(err, outcome.NoQuorum))
	require.Equal(t, outcome.MayHaveRun, outcome.From(err).Outcome)
	require.False(t, old.replica.LeaseValid(time.Now()))
	_, err = old.replica.Propose(ctx, []byte("refused"))
	require.True(t, outcome.IsCode(err, outcome.NotLeader))
	require.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
	c.propose("second")
	c.cut(old, false)
	c.requireEverywhere([]string{"first", "second"})
}
