// Package quota keeps each workspace within its rate and burst over all
// gateways together without an owner: every gateway holds the whole bucket of
// each workspace, spends from it at once, and takes off what the others report
// to have spent. Between two reports the gateways together may overspend by
// what arrives in that time; a gateway that hears from nobody keeps to its
// share. Package limit is exact instead, and refuses while its owner is away.
//
// It reads no clock. It is safe for concurrent use.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// startSeconds is the share of a bucket, in seconds of its rate, that a new
	// gateway starts with before it has heard how full the others' are.
	startSeconds = 0.25
	// leastDebt is how far from full a bucket is reported, in tokens.
	leastDebt = 1.0
)

// Rate is the limit of one workspace.
type Rate struct {
	PerSecond float64 // 0: no limit
	Burst     float64
}

// Buckets holds the buckets of all workspaces at one gateway.
type Buckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	sharers float64            // gateways that the rates are divided by; 1 while others are heard
	debts   map[string]float64 // of the others when this process began; nil: not heard yet
}

type bucket struct {
	level float64
	rate  Rate
	at    time.Time
	spent uint64            // here, since the start of the process
	heard map[string]uint64 // spent elsewhere, by the source that said so
}

// New returns empty buckets.
func New() *Buckets {
	return &Buckets{buckets: make(map[string]*bucket), sharers: 1}
}

// Take spends one token of a workspace. Without one it returns how long it
// takes until the next is due.
func (b *Buckets) Take(now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.bucket(now, workspace, rate)
	held.fill(now, rate, b.sharers)
	if held.level < 1 {
		missing := (1 - held.level) * b.sharers / rate.PerSecond
		return time.Duration(missing * float64(time.Second)), false
	}
	held.level--
	held.spent++
	return 0, true
}

// Return gives back a token whose request did not run.
func (b *Buckets) Return(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.buckets[workspace]; held != nil && held.spent > 0 {
		held.level++
		held.spent--
	}
}

// Spent returns what this process has spent of each workspace, since its start.
func (b *Buckets) Spent() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := make(map[string]uint64, len(b.buckets))
	for workspace, held := range b.buckets {
		spent[workspace] = held.spent
	}
	return spent
}

// Learn takes off what has been spent elsewhere since the same source said so
// before. A source tells what it has counted since its own start.
func (b *Buckets) Learn(source string, spent map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, total := range spent {
		held := b.known(workspace)
		before, known := held.heard[source]
		held.heard[source] = total
		if known {
			held.level -= float64(total) - float64(before)
		}
	}
}

// Forget drops what a source has said: another one tells of the same spending
// from now on, and what it says when it is asked again must not count twice.
func (b *Buckets) Forget(source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.buckets {
		delete(held.heard, source)
	}
}

// Debts returns how many tokens the buckets lack that are not full.
func (b *Buckets) Debts(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	debts := make(map[string]float64)
	for workspace, held := range b.buckets {
		if math.IsNaN(held.level) {
			continue
		}
		held.fill(now, held.rate, b.sharers)
		if debt := held.rate.Burst - held.level; debt >= leastDebt {
			debts[workspace] = debt
		}
	}
	return debts
}

// Adopt fills the buckets of a process that has just begun as far as the
// others' are. Later calls change nothing.
func (b *Buckets) Adopt(debts map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.debts != nil {
		return
	}
	b.debts = debts
	if debts == nil {
		b.debts = make(map[string]float64)
	}
	for workspace, held := range b.buckets {
		if !math.IsNaN(held.level) {
			held.level = held.rate.Burst - debts[workspace]
		}
	}
}

// Share divides the rates by the number of gateways, for a gateway that does
// not hear what the others spend. 1 ends it.
func (b *Buckets) Share(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = max(1, float64(gateways))
}

// known returns the bucket of a workspace, whose level is not a number until
// the first request.
func (b *Buckets) known(workspace string) *bucket {
	held := b.buckets[workspace]
	if held == nil {
		held = &bucket{heard: make(map[string]uint64), level: math.NaN()}
		b.buckets[workspace] = held
	}
	return held
}

func (b *Buckets) bucket(now time.Time, workspace string, rate Rate) *bucket {
	held := b.known(workspace)
	if math.IsNaN(held.level) {
		held.level = min(rate.Burst, 1+rate.PerSecond*startSeconds)
		if b.debts != nil {
			held.level = rate.Burst - b.debts[workspace]
		}
		held.at = now
	}
	held.rate = rate
	return held
}

// fill adds what has become due. Overspending is remembered up to one burst.
func (b *bucket) fill(now time.Time, rate Rate, sharers float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate.PerSecond / sharers * elapsed.Seconds()
		b.at = now
	}
	most := max(1, rate.Burst/sharers)
	b.level = max(-most, min(most, b.level))
}
