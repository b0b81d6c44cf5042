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
	maxInboxMessages   = 8192    // further messages are dropped
	maxQueuedProposals = 1 << 16 // further commands are rejected
	maxQueuedReads     = 1 << 16 // further reads are rejected
	ticksPerHeartbeat  = 4       // clock ticks per heartbeat interval
)

// Run runs the replica until ctx ends, then closes its files. A leader first
// tries to transfer its leadership, for at most one election timeout, so the
// transport should keep working until Run returns. Run returns the error that
// stopped the replica; after ctx has ended, it returns only an error of closing
// the files.
func (r *Replica) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancelCause(ctx)
	r.ticker = time.NewTicker(r.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer r.ticker.Stop()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := r.applier.run(); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { r.writeSnapshots(runCtx, cancel) })
	wg.Go(func() { r.saver.run(runCtx) })
	if err := r.loop(runCtx); err != nil {
		cancel(err)
	}
	cancel(nil)
	r.applier.close()
	r.saver.close()
	wg.Wait()
	r.failPendingCalls()
	err := r.wal.Close()
	if ctx.Err() == nil {
		err = errors.CombineErrors(context.Cause(runCtx), err)
	}
	return err
}

// loop runs the consensus until ctx ends.
func (r *Replica) loop(ctx context.Context) error {
	for {
		if err := r.processReady(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return r.transferLeadership()
		case <-r.ticker.C:
			r.stepMessages() // what arrived during a stall counts before the time that passed
			r.tick()
		case <-r.inbox.wake:
		case <-r.proposals.wake:
		case <-r.readCalls.wake:
		case encoded := <-r.applier.encoded:
			r.scheduleSnapshot(encoded)
		case s := <-r.snapshotsWritten:
			if err := r.finishSnapshot(s); err != nil {
				return err
			}
		}
		r.processQueues()
	}
}

// transferLeadership transfers leadership to another replica, so that after a
// graceful stop the group does not have to wait for an election timeout. It
// waits up to one election timeout for a replica that can take over.
func (r *Replica) transferLeadership() error {
	deadline := time.NewTimer(r.cfg.ElectionTimeout)
	defer deadline.Stop()
	for r.core.Status().Role == raft.Leader && !r.core.TransferLeadership(time.Now()) {
		if err := r.processReady(); err != nil {
			return err
		}
		select {
		case <-deadline.C:
			return nil
		case <-r.ticker.C:
			r.tick()
		case <-r.inbox.wake:
			r.stepMessages()
		}
	}
	return r.processReady()
}

// processQueues passes everything queued to the consensus at once, so that all
// of it shares one disk sync.
func (r *Replica) processQueues() {
	r.stepMessages()
	for _, p := range r.proposals.take() {
		r.propose(p)
	}
	r.requestReads(time.Now())
}

// stepMessages passes the queued messages to the consensus. The clock must be
// read after they are taken from the queue: if the process were frozen in
// between, a voter's lease promise to the leader would otherwise start before
// the message that it responds to was sent.
func (r *Replica) stepMessages() {
	messages := append(r.deferred, r.inbox.take()...)
	r.deferred = nil
	now := time.Now()
	for _, m := range messages {
		r.core.Step(now, m)
	}
}

// tick advances the clock of the consensus. It does not use the time sent by the
// ticker, which may date from before the process was frozen.
func (r *Replica) tick() {
	now := time.Now()
	r.reportDataIndex()
	if retired := r.retiredHosts.Load(); retired != nil {
		r.core.SetRetiredHosts(*retired)
	}
	r.core.Tick(now)
	r.retryReads(now)
}

// reportDataIndex tells the consensus up to which index this host holds all data
// stored outside the log. The applied index must be read before DataComplete is
// called, so that the result of DataComplete covers all entries up to it.
func (r *Replica) reportDataIndex() {
	applied := r.applied.Load()
	if r.cfg.DataComplete != nil && r.cfg.DataComplete() {
		r.core.SetDataIndex(applied)
	}
}

// propose appends a command to the log, or fails the proposal.
func (r *Replica) propose(p *proposal) {
	index, term, err := r.core.Propose(p.command)
	switch {
	case err == nil:
		p.term = term
		r.pending.add(index, p)
	case errors.Is(err, raft.ErrNotLeader):
		p.complete(proposalResult{err: notLeaderError(r.core.Status().Leader.ID)})
	case errors.Is(err, raft.ErrOverloaded):
		p.complete(proposalResult{err: overloadedError().WithRetryAfter(r.cfg.HeartbeatInterval)})
	default:
		p.complete(proposalResult{err: outcome.New(outcome.BadRequest, outcome.NotRun, "%v", err)})
	}
}

// processReady saves, sends and queues for applying what the consensus has
// ready, until nothing is left.
func (r *Replica) processReady() error {
	for r.core.HasReady() {
		ready := r.core.Ready()
		r.publishStatus()
		r.sendAll(ready.MessagesBeforeSync)
		if ready.MustSync {
			batch := wal.Batch{HardState: ready.HardState, Snapshot: ready.Snapshot, Entries: ready.Entries}
			if err := r.save(batch); err != nil {
				return err
			}
		}
		r.core.Advance(ready)
		r.publishStatus()
		r.sendAll(ready.Messages)
		r.enqueueCommitted(ready)
	}
	r.publishStatus()
	return nil
}

// enqueueCommitted passes committed entries, a received snapshot and confirmed
// reads to the applier.
func (r *Replica) enqueueCommitted(ready raft.Ready) {
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

// publishStatus makes the current status visible to callers. It must run before
// the messages that result from that status are sent: a vote for another
// candidate must not be sent while LeaseValid still returns true here.
func (r *Replica) publishStatus() {
	current := r.coreStatus()
	previous := r.status.Swap(&current)
	if previous.IsLeader && !current.IsLeader {
		r.pending.failAfter(current.Commit, unknownOutcomeError())
	}
	if previous.Leader != current.Leader || previous.IsLeader != current.IsLeader || previous.Term != current.Term && current.IsLeader {
		r.event("leadership", "term", current.Term, "leader", current.Leader, "own", current.IsLeader)
		r.retryReadsOnNextTick()
		notify(r.leadershipChanged)
	}
}

// failPendingCalls fails the calls that are still pending after the applier has
// processed all committed entries.
func (r *Replica) failPendingCalls() {
	stopped := Status{ID: r.id.ID, Incarnation: r.id.Incarnation}
	r.status.Store(&stopped)
	close(r.stopped)
	for _, p := range r.proposals.take() {
		p.complete(proposalResult{err: notLeaderError(0)})
	}
	r.pending.failAfter(0, unknownOutcomeError())
	notify(r.leadershipChanged)
}
