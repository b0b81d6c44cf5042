package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/wal"
)

const (
	inboxSize        = 8192    // messages; more are dropped
	proposalsSize    = 1 << 16 // commands waiting for the loop
	readsSize        = 1 << 16 // reads waiting for the loop
	ticksPerInterval = 4       // clock ticks in a heartbeat interval
)

// Run drives the replica until ctx ends, then closes its files. A leader first
// hands its leadership on, for which it takes an election timeout at most; the
// transport should work until Run returns. Run returns nil after ctx has ended
// and otherwise the error that stopped the replica.
func (r *Replica) Run(ctx context.Context) error {
	inner, cancel := context.WithCancelCause(ctx)
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := r.applier.run(); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { r.writeSnapshots(inner, cancel) })
	if err := r.loop(inner); err != nil {
		cancel(err)
	}
	cancel(nil)
	r.applier.close()
	wg.Wait()
	r.endCalls()
	err := r.wal.Close()
	if ctx.Err() == nil {
		err = errors.CombineErrors(context.Cause(inner), err)
	}
	return err
}

func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.HeartbeatInterval / ticksPerInterval)
	defer ticker.Stop()
	for {
		if err := r.process(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return r.leave()
		case <-ticker.C:
			r.tick()
		case <-r.inbox.wake:
		case <-r.proposals.wake:
		case <-r.reads.wake:
		case t := <-r.applier.taken:
			r.startSnapshot(t)
		case s := <-r.written:
			if err := r.finishSnapshot(s); err != nil {
				return err
			}
		}
		r.drain()
	}
}

// leave hands the leadership to another replica, so that a graceful stop does
// not cost an election timeout. It waits a while for one that can take over.
func (r *Replica) leave() error {
	deadline := time.NewTimer(r.cfg.ElectionTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(r.cfg.HeartbeatInterval / ticksPerInterval)
	defer ticker.Stop()
	for r.core.Status().Role == raft.Leader && !r.core.TransferLeadership(time.Now()) {
		if err := r.process(); err != nil {
			return err
		}
		select {
		case <-deadline.C:
			return nil
		case <-ticker.C:
			r.tick()
		case <-r.inbox.wake:
			r.receive()
		}
	}
	return r.process()
}

// drain takes all that waits, so that it shares one sync.
func (r *Replica) drain() {
	r.receive()
	for _, p := range r.proposals.take() {
		r.propose(p)
	}
	r.startReads(time.Now())
}

// receive passes on the messages that wait. The clock is read after they are
// taken: a voter's promise to a leader must not start before the message that
// it answers was sent, as it would if the process froze in between.
func (r *Replica) receive() {
	messages := r.inbox.take()
	now := time.Now()
	for _, m := range messages {
		r.core.Step(now, m)
	}
}

// tick reads the clock, as the ticker may have put its time into the channel
// before a freeze.
func (r *Replica) tick() {
	now := time.Now()
	r.reportComplete()
	if retired := r.retired.Load(); retired != nil {
		r.core.SetRetiredHosts(*retired)
	}
	r.core.Tick(now)
	r.repeatReads(now)
}

// reportComplete reads the applied index first: the answer then covers at
// least what was applied up to there.
func (r *Replica) reportComplete() {
	applied := r.applied.Load()
	if r.cfg.Complete != nil && r.cfg.Complete() {
		r.core.SetDataIndex(applied)
	}
}

func (r *Replica) propose(p *proposal) {
	index, term, err := r.core.Propose(p.command)
	switch {
	case err == nil:
		p.term = term
		r.waiters.add(index, p)
	case errors.Is(err, raft.ErrNotLeader):
		p.finish(answer{err: notLeader(r.core.Status().Leader.ID)})
	case errors.Is(err, raft.ErrOverloaded):
		p.finish(answer{err: overloaded().WithRetryAfter(r.cfg.HeartbeatInterval)})
	default:
		p.finish(answer{err: outcome.New(outcome.BadRequest, outcome.NotRun, "%v", err)})
	}
}

// process saves, sends and applies until the consensus has nothing more to do.
func (r *Replica) process() error {
	for r.core.HasReady() {
		ready := r.core.Ready()
		r.publish()
		r.sendAll(ready.MessagesBeforeSync)
		if ready.MustSync {
			batch := wal.Batch{HardState: ready.HardState, Snapshot: ready.Snapshot, Entries: ready.Entries}
			if err := r.wal.Save(batch); err != nil {
				return err
			}
		}
		r.core.Advance(ready)
		r.publish()
		r.sendAll(ready.Messages)
		r.hand(ready)
	}
	r.publish()
	return nil
}

// hand passes what is committed to the applier.
func (r *Replica) hand(ready raft.Ready) {
	if ready.Snapshot != nil {
		r.applier.add(task{snapshot: ready.Snapshot})
	}
	if len(ready.Committed) > 0 {
		r.applier.add(task{entries: ready.Committed})
	}
	for _, read := range ready.ReadStates {
		r.confirmRead(read.Token, read.Index)
	}
}

// publish makes the state visible to callers, before any message that follows
// from it leaves: a vote never overtakes the end of the own lease.
func (r *Replica) publish() {
	now := r.statusNow()
	before := r.status.Swap(&now)
	if before.IsLeader && !now.IsLeader {
		r.waiters.failAfter(now.Commit, unknownOutcome())
	}
	if before.Leader != now.Leader || before.IsLeader != now.IsLeader || before.Term != now.Term && now.IsLeader {
		r.event("leadership", "term", now.Term, "leader", now.Leader, "own", now.IsLeader)
		r.hurryReads()
		notify(r.changed)
	}
}

// endCalls ends the calls that still wait after the applier has finished what
// was committed.
func (r *Replica) endCalls() {
	stopped := Status{ID: r.id.ID, Incarnation: r.id.Incarnation}
	r.status.Store(&stopped)
	close(r.stopped)
	for _, p := range r.proposals.take() {
		p.finish(answer{err: notLeader(0)})
	}
	r.waiters.failAfter(0, unknownOutcome())
	notify(r.changed)
}
