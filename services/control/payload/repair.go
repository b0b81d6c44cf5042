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
func (p *Repairer) Require(refs ...batch.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requireSeq++
	for _, ref := range refs {
		if !p.replicator.store.Has(ref) {
			p.missing[ref] = p.requireSeq
		}
	}
	if len(p.missing) > 0 {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Missing returns the number of required records that this host still has to
// fetch.
func (p *Repairer) Missing() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.missing)
}

// Run fetches missing records until ctx ends. The delay between rounds doubles
// while rounds fetch nothing.
func (p *Repairer) Run(ctx context.Context) error {
	delay := p.initialDelay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		if !pause.For(ctx, delay) {
			return nil
		}
		if p.fetchRound(ctx) {
			delay = p.initialDelay
		} else {
			delay = min(2*delay, maxRepairDelay)
		}
	}
}

// fetchRound tries to fetch each missing record once. It reports whether it made
// progress: fewer records are missing, or none. Records that are still missing
// are tried again in the next round.
func (p *Repairer) fetchRound(ctx context.Context) bool {
	refs := p.missingRefs()
	fetches := pool.New().WithMaxGoroutines(repairConcurrency)
	for _, ref := range refs {
		fetches.Go(func() {
			if _, err := p.replicator.Read(ctx, ref); err == nil {
				p.markFetched(ref)
			}
		})
	}
	fetches.Wait()
	missing := p.Missing()
	if len(refs) > 0 {
		p.log.Info("payload_repair_round", "wanted", len(refs), "left", missing)
	}
	if missing > 0 {
		p.Require()
	}
	return missing < len(refs) || missing == 0
}

func (p *Repairer) missingRefs() []batch.Ref {
	p.mu.Lock()
	defer p.mu.Unlock()
	refs := make([]batch.Ref, 0, len(p.missing))
	for ref := range p.missing {
		refs = append(refs, ref)
	}
	return refs
}

func (p *Repairer) markFetched(ref batch.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missing, ref)
}

// Sequence returns the sequence number of the latest Require call, to be passed
// to DropUnused.
func (p *Repairer) Sequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requireSeq
}

// DropUnused removes missing records that are not in use. It keeps records that
// were required after maxSeq, because inUse may have been collected before.
func (p *Repairer) DropUnused(inUse map[batch.Digest]struct{}, maxSeq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref, seq := range p.missing {
		if _, used := inUse[ref.Digest]; !used && seq <= maxSeq {
			delete(p.missing, ref)
		}
	}
}
