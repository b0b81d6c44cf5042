package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/wal"
)

const (
	// slowSync is the duration from which on a sync of the disk is logged.
	slowSync = 200 * time.Millisecond
	// silenceAfter is the number of election timeouts after which a leader whose
	// disk has not answered stops its heartbeats, so that another one is elected.
	silenceAfter = 2
	// saveRetryInterval is the time between two attempts to save to a disk that
	// refuses writes, for example since it is full.
	saveRetryInterval = 50 * time.Millisecond
)

// saver writes batches to the log in a goroutine of its own, one at a time. It repeats
// a write that the disk refuses: the log is then as before the write, and the replica
// must send nothing that depends on the batch until it is saved.
type saver struct {
	save     func(wal.Batch) error
	batches  chan wal.Batch
	results  chan error
	failures chan error // of attempts that will be repeated; capacity one
}

func newSaver(save func(wal.Batch) error) *saver {
	return &saver{save: save, batches: make(chan wal.Batch), results: make(chan error, 1), failures: make(chan error, 1)}
}

// run saves batches until close. It gives up a batch when ctx ends.
func (s *saver) run(ctx context.Context) {
	for batch := range s.batches {
		s.results <- s.saveRepeatedly(ctx, batch)
	}
}

func (s *saver) saveRepeatedly(ctx context.Context, batch wal.Batch) error {
	for {
		err := s.save(batch)
		if err == nil || !mayRepeat(err) {
			return err
		}
		select {
		case s.failures <- err:
		default:
		}
		if !pause.For(ctx, saveRetryInterval) {
			return err
		}
	}
}

// mayRepeat reports whether a write to the log may succeed later.
func mayRepeat(err error) bool {
	return !errors.Is(err, wal.ErrPermanent) && !errors.Is(err, wal.ErrDamaged)
}

// close makes run return after the batch in progress.
func (s *saver) close() { close(s.batches) }

// save syncs a batch to disk. Heartbeats and their responses go on meanwhile, so
// that a slow disk costs no leader its leadership. A leader whose disk refuses the
// batch hands over at once.
func (r *Replica) save(batch wal.Batch) error {
	w := diskWait{started: time.Now()}
	r.saver.batches <- batch
	for {
		select {
		case err := <-r.saver.results:
			r.endDiskWait(&w, err, len(batch.Entries))
			return err
		case err := <-r.saver.failures:
			r.noteRefusal(&w, err)
		case <-r.ticker.C:
			r.stepWhileSaving(&w)
			r.tickWhileSaving(&w)
			r.failCalls(&w)
		case <-r.inbox.wake:
			r.stepWhileSaving(&w)
		}
		r.publishStatus()
		r.sendAll(r.core.MessagesWhileSaving())
	}
}

// diskWait is the wait for one batch.
type diskWait struct {
	started  time.Time
	refusals int // failed attempts
}

// failCalls fails the proposals and reads that this replica cannot serve while it
// waits for its disk, since it does not lead or its disk refuses writes. Their callers
// can ask another replica. Proposals in the log may be committed, but cannot be
// applied here yet.
func (r *Replica) failCalls(w *diskWait) {
	status := r.core.Status()
	if status.Role == raft.Leader && w.refusals == 0 {
		return
	}
	for _, p := range r.proposals.take() {
		p.complete(proposalResult{err: notLeaderError(status.Leader.ID)})
	}
	if status.Role != raft.Leader {
		r.pending.failAfter(0, unknownOutcomeError())
	}
	if w.refusals > 0 {
		r.failReads(outcome.New(outcome.NoQuorum, outcome.NotRun, "the disk of this host refuses writes"))
	}
}

// noteRefusal counts a failed attempt and logs the first one of a batch.
func (r *Replica) noteRefusal(w *diskWait, err error) {
	w.refusals++
	r.saveFailures.Add(1)
	if w.refusals > 1 {
		return
	}
	r.diskFailing.Store(true)
	r.event("disk_refuses_writes", "error", err, "leads", r.core.Status().Role == raft.Leader, "commit", r.core.Status().Commit)
}

// endDiskWait logs the end of a wait for the disk.
func (r *Replica) endDiskWait(w *diskWait, err error, entries int) {
	select {
	case refusal := <-r.saver.failures:
		r.noteRefusal(w, refusal)
	default:
	}
	if w.refusals == 0 {
		r.logSlowSync(time.Since(w.started), entries)
		return
	}
	if err != nil {
		return // Run returns it
	}
	r.diskFailing.Store(false)
	r.event("disk_accepts_writes", "after_ms", time.Since(w.started).Milliseconds(), "refusals", w.refusals, "entries", entries)
}

func (r *Replica) logSlowSync(took time.Duration, entries int) {
	if took <= slowSync {
		return
	}
	r.event("disk_sync_slow", "took_ms", took.Milliseconds(), "entries", entries, "leads", r.core.Status().Role == raft.Leader,
		"election_timeout_ms", r.cfg.ElectionTimeout.Milliseconds())
}

// stepWhileSaving passes the queued messages that don't need the disk to the
// consensus and keeps the others for later. While the disk refuses writes, which may
// last, the others are dropped: their senders repeat them, and each may hold a snapshot.
func (r *Replica) stepWhileSaving(w *diskWait) {
	messages := r.inbox.take()
	now := time.Now()
	for _, m := range messages {
		switch {
		case raft.MayStepWhileSaving(m.Type):
			r.core.Step(now, m)
		case w.refusals == 0 && len(r.deferred) < maxInboxMessages:
			r.deferred = append(r.deferred, m)
		}
	}
}

// tickWhileSaving advances the clock of a leader. Once its disk has been busy for
// an election timeout, or refuses writes, it hands over to a voter that holds the
// whole log.
func (r *Replica) tickWhileSaving(w *diskWait) {
	now := time.Now()
	busy := now.Sub(w.started)
	mayTransfer := w.refusals > 0 || busy >= r.cfg.ElectionTimeout
	if mayTransfer && r.core.TransferLeadership(now) {
		r.event("leadership_transferred", "disk_busy_ms", busy.Milliseconds(), "refusals", w.refusals)
		return
	}
	if busy < silenceAfter*r.cfg.ElectionTimeout {
		r.core.TickWhileSaving(now)
	}
}
