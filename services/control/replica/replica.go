package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/wal"
)

// Replica is one replica of one group. Its methods are safe for concurrent use.
type Replica struct {
	cfg                   Config
	id                    raft.ReplicaID
	transport             Transport
	wal                   *wal.Log
	saver                 *saver
	core                  *raft.Raft     // owned by the loop
	deferred              []raft.Message // received while the disk was busy; owned by the loop
	ticker                *time.Ticker   // drives the consensus; owned by the loop
	applier               *applier
	pending               *pendingProposals
	readCalls             *queue[*readCall]
	readRounds            []*readRound // owned by the loop
	lastReadToken         uint64       // owned by the loop
	previousSnapshotIndex uint64       // owned by the loop

	inbox             *queue[raft.Message]
	proposals         *queue[*proposal]
	snapshotsToWrite  chan raft.Snapshot
	snapshotsWritten  chan raft.Snapshot
	leadershipChanged chan struct{}
	stopped           chan struct{}
	status            atomic.Pointer[Status]
	applied           atomic.Uint64
	retiredHosts      atomic.Pointer[[]uint64]
	saveFailures      atomic.Int64
	diskFailing       atomic.Bool
}

// Open recovers the replica from its data directory, or creates the directory.
// It fails with wal.ErrDamaged if the files are damaged other than by a torn
// tail. The replica's data must then be considered lost and the directory be
// emptied.
func Open(cfg Config, sm StateMachine, t Transport) (*Replica, error) {
	cfg.setDefaults()
	log, recovered, err := wal.Open(cfg.Dir, wal.Options{FS: cfg.FS, CleanupFailed: func(err error) { cfg.event("log_cleanup_failed", "error", err) }})
	if err != nil {
		return nil, err
	}
	r, err := newReplica(cfg, sm, t, log, recovered)
	if err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	return r, nil
}

func newReplica(cfg Config, sm StateMachine, t Transport, log *wal.Log, recovered wal.Recovered) (*Replica, error) {
	id := raft.ReplicaID{ID: cfg.ID, Incarnation: recovered.Incarnation}
	core, err := raft.New(raft.Config{
		ID:                id,
		Peers:             cfg.Peers,
		ElectionTimeout:   cfg.ElectionTimeout,
		HeartbeatInterval: cfg.HeartbeatInterval,
		Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Now:               time.Now(),
		AwaitData:         cfg.DataComplete != nil,
		VoterCount:        cfg.VoterCount,
		ReplaceAfter:      cfg.ReplaceAfter,
		Joining:           cfg.Joining,
		NoLease:           cfg.NoLease,
		SaveCommit:        cfg.SaveCommit,
		HardState:         recovered.HardState,
		Snapshot:          recovered.Snapshot,
		Entries:           recovered.Entries,
	})
	if err != nil {
		return nil, err
	}
	if !recovered.Snapshot.IsEmpty() {
		if err := sm.Restore(recovered.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore snapshot %d", recovered.Snapshot.Index)
		}
	}
	r := &Replica{
		cfg:               cfg,
		id:                id,
		transport:         t,
		wal:               log,
		saver:             newSaver(log.Save),
		core:              core,
		pending:           &pendingProposals{byIndex: map[uint64]*proposal{}},
		readCalls:         newQueue[*readCall](maxQueuedReads),
		lastReadToken:     rand.Uint64(), // random, so that tokens of an earlier run are not reused
		inbox:             newQueue[raft.Message](maxInboxMessages),
		proposals:         newQueue[*proposal](maxQueuedProposals),
		snapshotsToWrite:  make(chan raft.Snapshot, 1),
		snapshotsWritten:  make(chan raft.Snapshot, 1),
		leadershipChanged: make(chan struct{}, 1),
		stopped:           make(chan struct{}),
	}
	r.applied.Store(recovered.Snapshot.Index)
	r.applier = &applier{
		sm:             sm,
		pending:        r.pending,
		snapshotEvery:  uint64(cfg.SnapshotEvery),
		snapshotBytes:  cfg.SnapshotBytes,
		encoded:        make(chan encodedState, 1),
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
		applied:        recovered.Snapshot.Index,
		snapshotIndex:  recovered.Snapshot.Index,
		publishApplied: r.applied.Store,
	}
	status := r.coreStatus()
	r.status.Store(&status)
	r.event("replica_opened", "incarnation", id.Incarnation, "snapshot", recovered.Snapshot.Index,
		"entries", len(recovered.Entries), "torn_bytes", recovered.TornBytes, "ignored_segments", recovered.IgnoredSegments)
	return r, nil
}

func (c *Config) setDefaults() {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
}

func (r *Replica) event(name string, keyValues ...any) { r.cfg.event(name, keyValues...) }

func (c *Config) event(name string, keyValues ...any) {
	if c.Logger == nil {
		return
	}
	c.Logger.Event(name, append([]any{"group", c.Group, "replica", c.ID}, keyValues...)...)
}

// Step queues a message from the network. It never blocks: if the inbox is full,
// the message is dropped, which Raft tolerates like any loss on the network.
func (r *Replica) Step(m raft.Message) { r.inbox.add(m) }

// SetRetiredHosts sets the hosts that should not be voters; see
// raft.Raft.SetRetiredHosts.
func (r *Replica) SetRetiredHosts(hosts []uint64) { r.retiredHosts.Store(&hosts) }

// Propose replicates a command, waits until it is applied here and returns the
// result of StateMachine.Apply. Its errors are *outcome.Error:
//
//   - NotLeader with NotRun: the command will not be executed;
//   - Overloaded with NotRun: the command was not accepted, retry later;
//   - NoQuorum with MayHaveRun: it is unknown whether the command will be
//     executed;
//   - BadRequest with NotRun: the command is invalid.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if s := r.status.Load(); !s.IsLeader {
		return nil, notLeaderError(s.Leader)
	}
	p := &proposal{command: command, done: make(chan proposalResult, 1)}
	if !r.proposals.add(p) {
		return nil, overloadedError().WithRetryAfter(r.cfg.HeartbeatInterval)
	}
	select {
	case a := <-p.done:
		return a.value, a.err
	case <-ctx.Done():
		return nil, unknownOutcomeError()
	case <-r.stopped:
	}
	select {
	case a := <-p.done:
		return a.value, a.err
	default:
		return nil, unknownOutcomeError()
	}
}

// ReadIndex waits until all commands acknowledged before the call are applied
// here, and returns the applied index. The leader confirms the index with a
// quorum; concurrent callers share one round. ReadIndex also works on followers.
// Its error is an *outcome.Error with NoQuorum or Overloaded, and NotRun.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	call := &readCall{done: make(chan readResult, 1)}
	if !r.readCalls.add(call) {
		return 0, overloadedError().WithRetryAfter(r.cfg.HeartbeatInterval)
	}
	select {
	case result := <-call.done:
		return result.index, result.err
	case <-ctx.Done():
	case <-r.stopped:
	}
	call.abandoned.Store(true)
	return 0, outcome.New(outcome.NoQuorum, outcome.NotRun, "no quorum has confirmed the read")
}

// coreStatus returns the status of the consensus, without the applied index.
func (r *Replica) coreStatus() Status {
	s := r.core.Status()
	return Status{
		ID:          s.ID.ID,
		Incarnation: s.ID.Incarnation,
		Leader:      s.Leader.ID,
		Term:        s.Term,
		Commit:      s.Commit,
		IsLeader:    s.Role == raft.Leader,
		LeaseUntil:  r.core.LeaseUntil(),
		Blank:       s.Blank,
		Voters:      s.Membership.Voters,
		Outgoing:    s.Membership.Outgoing,
		Learners:    s.Membership.Learners,
	}
}

// Status returns the current status.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Applied = r.applied.Load()
	s.DiskFailing = r.diskFailing.Load()
	return s
}

// SaveFailures returns how often the disk has refused a write of the log or a
// snapshot.
func (r *Replica) SaveFailures() int64 { return r.saveFailures.Load() }

// LeaseValid reports whether this replica is the leader and its lease has not
// expired, so that no other leader can have been elected yet. Besides now, the
// current time is checked too: a process resumed after a freeze may pass a time
// from before it.
func (r *Replica) LeaseValid(now time.Time) bool {
	s := r.status.Load()
	if !s.IsLeader || !now.Before(s.LeaseUntil) {
		return false
	}
	return time.Now().Before(s.LeaseUntil)
}

// LeadershipChanged returns a channel that is signalled after each change of the
// leader or of this replica's leadership, and when the replica stops. Signals
// that have not been received yet are merged into one.
func (r *Replica) LeadershipChanged() <-chan struct{} { return r.leadershipChanged }

// Read runs f on the goroutine that applies commands, so f sees a consistent
// state, and waits until f returns. If the replica has stopped, f does not run.
func (r *Replica) Read(f func()) {
	done := make(chan struct{})
	queued := r.applier.add(task{run: func() {
		defer close(done)
		f()
	}})
	if !queued {
		return
	}
	select {
	case <-done:
	case <-r.applier.done:
	}
}
