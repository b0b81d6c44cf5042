package payload

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/batch"
	"banyanwalk/infra/pause"
)

const (
	// repairDelay gives a replicated put that is still in flight time to arrive
	// before the record is fetched from a peer.
	repairDelay       = 1 * time.Second
	maxRepairDelay    = 30 * time.Second // upper bound of the backoff after rounds that fetch nothing
	repairConcurrency = 4                // concurrent fetches
)

// Logger writes structured log events.
type Logger interface {
	Info(event string, keyValues ...any)
	Warn(event string, keyValues ...any)
}

// Repairer fetches from peers the records that the replicated state references
// and this host does not hold, for example all of them after a disk was replaced.
// It is safe for concurrent use.
type Repairer struct {
	replicator   *Replicator
	log          Logger
	initialDelay time.Duration

	mu         sync.Mutex
	missing    map[batch.Ref]uint64 // sequence number of the latest Require call for the record
	requireSeq uint64
	wake       chan struct{}
}

// NewRepairer returns a repairer with no missing records. Run must be called for
// it to fetch any.
func NewRepairer(r *Replicator, log Logger) *Repairer {
	return &Repairer{replicator: r, log: log, initialDelay: repairDelay, missing: make(map[batch.Ref]uint64), wake: make(chan struct{}, 1)}
}

// Require adds those of the records that this host does not hold to the missing
// ones and wakes Run. It does not wait until they are fetched.
func (r *Repairer) Require(refs ...batch.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requireSeq++
	for _, ref := range refs {
		if !r.replicator.store.Has(ref) {
			r.missing[ref] = r.requireSeq
		}
	}
	if len(r.missing) > 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Missing returns the number of required records that this host still has to
// fetch.
func (r *Repairer) Missing() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.missing)
}

// Run fetches missing records until ctx ends. The delay between rounds doubles
// while rounds fetch nothing.
func (r *Repairer) Run(ctx context.Context) error {
	delay := r.initialDelay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		if !pause.For(ctx, delay) {
			return nil
		}
		if r.fetchRound(ctx) {
			delay = r.initialDelay
		} else {
			delay = min(2*delay, maxRepairDelay)
		}
	}
}

// fetchRound tries to fetch each missing record once. It reports whether it made
// progress: fewer records are missing, or none. Records that are still missing
// are tried again in the next round.
func (r *Repairer) fetchRound(ctx context.Context) bool {
	refs := r.missingRefs()
	fetches := pool.New().WithMaxGoroutines(repairConcurrency)
	for _, ref := range refs {
		fetches.Go(func() {
			// The record may have been read before it is synced, or not be stored here.
			if _, err := r.replicator.Read(ctx, ref); err == nil && r.replicator.store.Has(ref) {
				r.markFetched(ref)
			}
		})
	}
	fetches.Wait()
	missing := r.Missing()
	if len(refs) > 0 {
		r.log.Info("payload_repair_round", "wanted", len(refs), "left", missing)
	}
	if missing > 0 {
		r.Require()
	}
	return missing < len(refs) || missing == 0
}

func (r *Repairer) missingRefs() []batch.Ref {
	r.mu.Lock()
	defer r.mu.Unlock()
	refs := make([]batch.Ref, 0, len(r.missing))
	for ref := range r.missing {
		refs = append(refs, ref)
	}
	return refs
}

func (r *Repairer) markFetched(ref batch.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.missing, ref)
}

// Sequence returns the sequence number of the latest Require call, to be passed
// to DropUnused.
func (r *Repairer) Sequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requireSeq
}

// DropUnused removes missing records that are not in use. It keeps records that
// were required after maxSeq, because inUse may have been collected before.
func (r *Repairer) DropUnused(inUse map[batch.Digest]struct{}, maxSeq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ref, seq := range r.missing {
		if _, used := inUse[ref.Digest]; !used && seq <= maxSeq {
			delete(r.missing, ref)
		}
	}
}
