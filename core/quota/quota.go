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

// startSeconds is the share of a bucket, in seconds of its rate, that a new
// gateway starts with: it does not know yet what the others have spent.
const startSeconds = 0.25

// Rate is the limit of one workspace.
type Rate struct {
	PerSecond float64 // 0: no limit
	Burst     float64
}

// Buckets holds the buckets of all workspaces at one gateway.
type Buckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	sharers float64 // gateways that the rates are divided by; 1 while others are heard
}

type bucket struct {
	level float64
	at    time.Time
	spent uint64            // here, since the start of the process
	heard map[string]uint64 // spent elsewhere, by process
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

// Learn takes off what another process has spent since it was heard before.
func (b *Buckets) Learn(process string, spent map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, total := range spent {
		held := b.buckets[workspace]
		if held == nil {
			held = &bucket{heard: make(map[string]uint64), level: math.NaN()}
			b.buckets[workspace] = held
		}
		before, known := held.heard[process]
		held.heard[process] = total
		if known {
			held.level -= float64(total) - float64(before)
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

func (b *Buckets) bucket(now time.Time, workspace string, rate Rate) *bucket {
	held := b.buckets[workspace]
	if held == nil {
		held = &bucket{heard: make(map[string]uint64), level: math.NaN()}
		b.buckets[workspace] = held
	}
	if math.IsNaN(held.level) {
		held.level = min(rate.Burst, 1+rate.PerSecond*startSeconds)
		held.at = now
	}
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
