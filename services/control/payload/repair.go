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
	// repairDelay lets a put that is under way arrive by itself.
	repairDelay    = 1 * time.Second
	maxRepairDelay = 30 * time.Second // between rounds that fetch nothing
	repairFetches  = 4                // at a time
)

// Logger records events.
type Logger interface {
	Info(event string, keyValues ...any)
	Warn(event string, keyValues ...any)
}

// Repairer fetches the records that the replicated state names and this host
// lacks, such as all of them on a fresh disk.
type Repairer struct {
	replicator *Replicator
	log        Logger
	delay      time.Duration

	mu      sync.Mutex
	missing map[batch.Ref]uint64 // number of the newest Want
	wants   uint64
	wake    chan struct{}
}

// NewRepairer returns a repairer without work.
func NewRepairer(r *Replicator, log Logger) *Repairer {
	return &Repairer{replicator: r, log: log, delay: repairDelay, missing: make(map[batch.Ref]uint64), wake: make(chan struct{}, 1)}
}

// Want tells which records this host should hold. It does not block.
func (p *Repairer) Want(refs ...batch.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wants++
	for _, ref := range refs {
		if !p.replicator.store.Has(ref) {
			p.missing[ref] = p.wants
		}
	}
	if len(p.missing) > 0 {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Missing returns the number of wanted records that were not on this host
// when last looked for.
func (p *Repairer) Missing() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.missing)
}

// Run fetches missing records until ctx ends.
func (p *Repairer) Run(ctx context.Context) error {
	delay := p.delay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
		}
		if !pause.For(ctx, delay) {
			return nil
		}
		if p.round(ctx) {
			delay = p.delay
		} else {
			delay = min(2*delay, maxRepairDelay)
		}
	}
}

// round tries each missing record once, and reports whether none is left or
// some were fetched. Records that stay missing are tried again in the next
// round.
func (p *Repairer) round(ctx context.Context) bool {
	refs := p.list()
	fetches := pool.New().WithMaxGoroutines(repairFetches)
	for _, ref := range refs {
		fetches.Go(func() {
			if _, err := p.replicator.Read(ctx, ref); err == nil {
				p.done(ref)
			}
		})
	}
	fetches.Wait()
	left := p.Missing()
	if len(refs) > 0 {
		p.log.Info("payload_repair_round", "wanted", len(refs), "left", left)
	}
	if left > 0 {
		p.Want()
	}
	return left < len(refs) || left == 0
}

func (p *Repairer) list() []batch.Ref {
	p.mu.Lock()
	defer p.mu.Unlock()
	refs := make([]batch.Ref, 0, len(p.missing))
	for ref := range p.missing {
		refs = append(refs, ref)
	}
	return refs
}

func (p *Repairer) done(ref batch.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missing, ref)
}

// Mark returns the number of the newest Want, for Forget.
func (p *Repairer) Mark() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wants
}

// Forget drops wanted records that are no longer in use, but for those wanted
// after the mark: inUse may be older than they are.
func (p *Repairer) Forget(inUse map[batch.Digest]struct{}, mark uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref, want := range p.missing {
		if _, used := inUse[ref.Digest]; !used && want <= mark {
			delete(p.missing, ref)
		}
	}
}
