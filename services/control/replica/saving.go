package replica

import (
	"time"

	"banyanwalk/core/raft"
	"banyanwalk/infra/wal"
)

const (
	// slowSync is the duration from which on a sync of the disk is logged.
	slowSync = 200 * time.Millisecond
	// silenceAfter is the number of election timeouts after which a leader whose
	// disk has not answered stops its heartbeats, so that another one is elected.
	silenceAfter = 2
)

// saver writes batches to the log in a goroutine of its own, one at a time.
type saver struct {
	save    func(wal.Batch) error
	batches chan wal.Batch
	results chan error
}

func newSaver(save func(wal.Batch) error) *saver {
	return &saver{save: save, batches: make(chan wal.Batch), results: make(chan error, 1)}
}

func (s *saver) run() {
	for batch := range s.batches {
		s.results <- s.save(batch)
	}
}

// close makes run return after the batch in progress.
func (s *saver) close() { close(s.batches) }

// save syncs a batch to disk. Heartbeats and their responses go on meanwhile, so
// that a slow disk costs no leader its leadership.
func (r *Replica) save(batch wal.Batch) error {
	started := time.Now()
	r.saver.batches <- batch
	for {
		select {
		case err := <-r.saver.results:
			r.logSlowSync(time.Since(started), len(batch.Entries))
			return err
		case <-r.ticker.C:
			r.stepWhileSaving()
			r.tickWhileSaving(time.Since(started))
		case <-r.inbox.wake:
			r.stepWhileSaving()
		}
		r.publishStatus()
		r.sendAll(r.core.MessagesWhileSaving())
	}
}

func (r *Replica) logSlowSync(took time.Duration, entries int) {
	if took <= slowSync {
		return
	}
	r.event("disk_sync_slow", "took_ms", took.Milliseconds(), "entries", entries, "leads", r.core.Status().Role == raft.Leader,
		"election_timeout_ms", r.cfg.ElectionTimeout.Milliseconds())
}

// stepWhileSaving passes the queued messages that don't need the disk to the
// consensus and keeps the others for later.
func (r *Replica) stepWhileSaving() {
	messages := r.inbox.take()
	now := time.Now()
	for _, m := range messages {
		switch {
		case raft.MayStepWhileSaving(m.Type):
			r.core.Step(now, m)
		case len(r.deferred) < maxInboxMessages:
			r.deferred = append(r.deferred, m)
		}
	}
}

// tickWhileSaving advances the clock of a leader. Once its disk has been busy for
// an election timeout, it hands over to a voter that holds the whole log.
func (r *Replica) tickWhileSaving(busy time.Duration) {
	now := time.Now()
	if busy >= r.cfg.ElectionTimeout && r.core.TransferLeadership(now) {
		r.event("leadership_transferred", "disk_busy_ms", busy.Milliseconds())
		return
	}
	if busy < silenceAfter*r.cfg.ElectionTimeout {
		r.core.TickWhileSaving(now)
	}
}
