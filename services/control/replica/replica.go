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
	cfg       Config
	id        raft.ReplicaID
	transport Transport
	wal       *wal.Log
	core      *raft.Raft // owned by the loop
	applier   *applier
	waiters   *waiters
	reads     *queue[*readCall]
	rounds    []*readRound // owned by the loop
	nextToken uint64       // owned by the loop
	compacted uint64       // index of the snapshot before; owned by the loop

	inbox     *queue[raft.Message]
	proposals *queue[*proposal]
	toWrite   chan raft.Snapshot
	written   chan raft.Snapshot
	changed   chan struct{}
	stopped   chan struct{}
	status    atomic.Pointer[Status]
	applied   atomic.Uint64
	retired   atomic.Pointer[[]uint64]
}

// Open recovers the replica from its folder, or creates the folder. It fails
// with wal.ErrDamaged when the files are damaged other than by a torn tail: the
// disk then counts as lost and the folder must be emptied.
func Open(cfg Config, sm StateMachine, t Transport) (*Replica, error) {
	cfg.setDefaults()
	log, found, err := wal.Open(cfg.Dir, wal.Options{})
	if err != nil {
		return nil, err
	}
	r, err := newReplica(cfg, sm, t, log, found)
	if err != nil {
		return nil, errors.CombineErrors(err, log.Close())
	}
	return r, nil
}

func newReplica(cfg Config, sm StateMachine, t Transport, log *wal.Log, found wal.Recovered) (*Replica, error) {
	id := raft.ReplicaID{ID: cfg.ID, Incarnation: found.Incarnation}
	core, err := raft.New(raft.Config{
		ID:                id,
		Peers:             cfg.Peers,
		ElectionTimeout:   cfg.ElectionTimeout,
		HeartbeatInterval: cfg.HeartbeatInterval,
		Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Now:               time.Now(),
		AwaitData:         cfg.Complete != nil,
		VoterCount:        cfg.Voters,
		ReplaceAfter:      cfg.ReplaceAfter,
		Joining:           cfg.Joining,
		NoLease:           cfg.NoLease,
		HardState:         found.HardState,
		Snapshot:          found.Snapshot,
		Entries:           found.Entries,
	})
	if err != nil {
		return nil, err
	}
	if !found.Snapshot.IsEmpty() {
		if err := sm.Restore(found.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore snapshot %d", found.Snapshot.Index)
		}
	}
	r := &Replica{
		cfg:       cfg,
		id:        id,
		transport: t,
		wal:       log,
		core:      core,
		waiters:   &waiters{byIndex: map[uint64]*proposal{}},
		reads:     newQueue[*readCall](readsSize),
		nextToken: rand.Uint64(), // never one of an earlier run
		inbox:     newQueue[raft.Message](inboxSize),
		proposals: newQueue[*proposal](proposalsSize),
		toWrite:   make(chan raft.Snapshot, 1),
		written:   make(chan raft.Snapshot, 1),
		changed:   make(chan struct{}, 1),
		stopped:   make(chan struct{}),
	}
	r.applied.Store(found.Snapshot.Index)
	r.applier = &applier{
		sm:            sm,
		waiters:       r.waiters,
		snapshotEvery: uint64(cfg.SnapshotEvery),
		snapshotBytes: cfg.SnapshotBytes,
		taken:         make(chan taken, 1),
		wake:          make(chan struct{}, 1),
		ended:         make(chan struct{}),
		applied:       found.Snapshot.Index,
		snapshotted:   found.Snapshot.Index,
		publish:       r.applied.Store,
	}
	now := r.statusNow()
	r.status.Store(&now)
	r.event("replica_opened", "incarnation", id.Incarnation, "snapshot", found.Snapshot.Index,
		"entries", len(found.Entries), "torn_bytes", found.TornBytes)
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

func (r *Replica) event(name string, keyValues ...any) {
	if r.cfg.Logger == nil {
		return
	}
	r.cfg.Logger.Event(name, append([]any{"group", r.cfg.Group, "replica", r.cfg.ID}, keyValues...)...)
}

// Step takes a message from the network. It never waits; messages beyond the
// size of the inbox are dropped, as a network would.
func (r *Replica) Step(m raft.Message) { r.inbox.add(m) }

// SetRetired names the hosts that are to have no vote: see raft.Raft.
func (r *Replica) SetRetired(hosts []uint64) { r.retired.Store(&hosts) }

// Propose replicates a command and waits until it is applied here. The result
// is that of StateMachine.Apply. Its errors are *outcome.Error:
//
//   - NotLeader with NotRun: the command certainly will not be executed;
//   - Overloaded with NotRun: it was not taken, later it may be;
//   - NoQuorum with MayHaveRun: whether it will be executed is unknown.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if s := r.status.Load(); !s.IsLeader {
		return nil, notLeader(s.Leader)
	}
	p := &proposal{command: command, done: make(chan answer, 1)}
	if !r.proposals.add(p) {
		return nil, overloaded().WithRetryAfter(r.cfg.HeartbeatInterval)
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-ctx.Done():
		return nil, unknownOutcome()
	case <-r.stopped:
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	default:
		return nil, unknownOutcome()
	}
}

// ReadIndex returns an index that covers all commands acknowledged before the
// call, once the leader has confirmed it and it is applied here. It works on
// followers too. One quorum round serves all callers that wait. Its error is an
// *outcome.Error with NoQuorum or Overloaded, and NotRun.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	call := &readCall{done: make(chan uint64, 1)}
	if !r.reads.add(call) {
		return 0, overloaded().WithRetryAfter(r.cfg.HeartbeatInterval)
	}
	select {
	case index := <-call.done:
		return index, nil
	case <-ctx.Done():
	case <-r.stopped:
	}
	call.ended.Store(true)
	return 0, outcome.New(outcome.NoQuorum, outcome.NotRun, "no quorum has confirmed the read")
}

func (r *Replica) statusNow() Status {
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

// Status returns the current state.
func (r *Replica) Status() Status {
	s := *r.status.Load()
	s.Applied = r.applied.Load()
	return s
}

// LeaseValid reports whether this replica is the leader and no other can have
// been elected by now. The clock is read anew, so a process that resumes after
// a freeze gets false even with an older now.
func (r *Replica) LeaseValid(now time.Time) bool {
	s := r.status.Load()
	if !s.IsLeader || !now.Before(s.LeaseUntil) {
		return false
	}
	return time.Now().Before(s.LeaseUntil)
}

// LeadershipChanged is signalled after each change of leader or of own role,
// and when the replica stops. Signals that nobody has taken yet are merged.
func (r *Replica) LeadershipChanged() <-chan struct{} { return r.changed }

// Read runs f between two commands on the goroutine that applies them and
// returns when f has returned. Once the replica has stopped f does not run.
func (r *Replica) Read(f func()) {
	done := make(chan struct{})
	ran := r.applier.add(task{run: func() {
		defer close(done)
		f()
	}})
	if !ran {
		return
	}
	select {
	case <-done:
	case <-r.applier.ended:
	}
}
