// Package quota is an approximate distributed rate limiter: it keeps each
// workspace within its rate and burst across all gateways without an owner. Every
// gateway holds the whole bucket of each workspace, spends from it immediately and
// deducts what the others report as spent. Between two reports the gateways
// together may overspend by what arrives in that time; a gateway that receives no
// reports limits itself to its share of the rate. Package limit is exact instead,
// but refuses requests while its owner is unavailable. With SetBounds, the gateways
// together keep to a bound whatever reports arrive.
//
// The package reads no clock. It is safe for concurrent use.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// initialFillSeconds is how full, in seconds of its rate, a bucket of a new
	// gateway starts before the gateway knows how full the others' buckets are.
	initialFillSeconds = 0.25
	// minReportedDebt is the smallest debt, in tokens, that Debts reports.
	minReportedDebt = 1.0
)

// Rate is the rate limit of one workspace.
type Rate struct {
	PerSecond float64 // 0: no limit
	Burst     float64
}

// Buckets holds the buckets of all workspaces at one gateway.
type Buckets struct {
	mu           sync.Mutex
	buckets      map[string]*bucket
	rateDivisor  float64            // number of gateways that share the rates; 1 while reports of the others arrive
	initialDebts map[string]float64 // of the other gateways when this process started; nil: not known yet
	bounded      *bounded           // nil: no bounds
}

// bucket is this gateway's token bucket of one workspace.
type bucket struct {
	level          float64 // tokens; NaN until the first request
	rate           Rate
	filledAt       time.Time
	spent          uint64            // by this process since its start
	spentElsewhere map[string]uint64 // by other gateways: last reported total of each source
}

// New returns empty buckets.
func New() *Buckets {
	return &Buckets{buckets: make(map[string]*bucket), rateDivisor: 1}
}

// Take spends one token of a workspace. If there is none, it returns the time until
// the next token is due.
func (b *Buckets) Take(now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded != nil {
		return b.takeBounded(now, workspace, rate)
	}
	held := b.bucket(now, workspace, rate)
	held.refill(now, rate, b.rateDivisor)
	if held.level < 1 {
		missing := (1 - held.level) * b.rateDivisor / rate.PerSecond
		return time.Duration(missing * float64(time.Second)), false
	}
	held.level--
	held.spent++
	return 0, true
}

// Return returns a token whose request did not run.
func (b *Buckets) Return(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded != nil {
		b.bounded.returnToken(workspace)
		return
	}
	if held := b.buckets[workspace]; held != nil && held.spent > 0 {
		held.level++
		held.spent--
	}
}

// Spent returns the tokens of each workspace that this process has spent since its
// start.
func (b *Buckets) Spent() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := make(map[string]uint64, len(b.buckets))
	if b.bounded != nil {
		for workspace, held := range b.bounded.buckets {
			spent[workspace] = held.spent
		}
		return spent
	}
	for workspace, held := range b.buckets {
		spent[workspace] = held.spent
	}
	return spent
}

// KeepChanges removes from spent what sent holds already, and adds the rest to sent.
func KeepChanges(spent, sent map[string]uint64) {
	for workspace, tokens := range spent {
		if before, known := sent[workspace]; known && before == tokens {
			delete(spent, workspace)
			continue
		}
		sent[workspace] = tokens
	}
}

// ApplyReport deducts what other gateways have spent since the previous report
// of the same source. A source reports totals since its own start, so its first
// report only sets the baseline.
func (b *Buckets) ApplyReport(source string, spent map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, total := range spent {
		held := b.bucketOrNew(workspace)
		before, known := held.spentElsewhere[source]
		held.spentElsewhere[source] = total
		if known {
			held.level -= float64(total) - float64(before)
		}
	}
}

// ForgetSource drops the baseline of a source when another source takes over
// reporting the same spending. Without it the first source's next report would
// count that spending twice.
func (b *Buckets) ForgetSource(source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.buckets {
		delete(held.spentElsewhere, source)
	}
}

// Debts returns how many tokens each bucket that is not full lacks.
func (b *Buckets) Debts(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded != nil {
		return b.bounded.debts(now)
	}
	debts := make(map[string]float64)
	for workspace, held := range b.buckets {
		if math.IsNaN(held.level) {
			continue
		}
		held.refill(now, held.rate, b.rateDivisor)
		if debt := held.rate.Burst - held.level; debt >= minReportedDebt {
			debts[workspace] = debt
		}
	}
	return debts
}

// ApplyInitialDebts sets the buckets of a process that has just started to the
// level of the other gateways' buckets. Only the first call has an effect.
func (b *Buckets) ApplyInitialDebts(debts map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.initialDebts != nil {
		return
	}
	b.initialDebts = debts
	if debts == nil {
		b.initialDebts = make(map[string]float64)
	}
	if b.bounded != nil {
		for workspace, held := range b.bounded.buckets {
			held.level = min(held.level, held.rate.Burst-debts[workspace])
		}
		return
	}
	for workspace, held := range b.buckets {
		if !math.IsNaN(held.level) {
			held.level = held.rate.Burst - debts[workspace]
		}
	}
}

// DivideRates divides the rates by the number of gateways, for a gateway that
// receives no reports of the others' spending. DivideRates(1) restores the full
// rates.
func (b *Buckets) DivideRates(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateDivisor = max(1, float64(gateways))
}

// bucketOrNew returns the bucket of a workspace and creates it if needed. The level
// of a new bucket is NaN until the first request.
func (b *Buckets) bucketOrNew(workspace string) *bucket {
	held := b.buckets[workspace]
	if held == nil {
		held = &bucket{spentElsewhere: make(map[string]uint64), level: math.NaN()}
		b.buckets[workspace] = held
	}
	return held
}

// bucket returns the bucket of a workspace with the given rate, and initializes its
// level at the first request.
func (b *Buckets) bucket(now time.Time, workspace string, rate Rate) *bucket {
	held := b.bucketOrNew(workspace)
	if math.IsNaN(held.level) {
		held.level = min(rate.Burst, 1+rate.PerSecond*initialFillSeconds)
		if b.initialDebts != nil {
			held.level = rate.Burst - b.initialDebts[workspace]
		}
		held.filledAt = now
	}
	held.rate = rate
	return held
}

// refill adds the tokens that have become due. The level is negative after
// overspending, down to one negative burst.
func (b *bucket) refill(now time.Time, rate Rate, rateDivisor float64) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level += rate.PerSecond / rateDivisor * elapsed.Seconds()
		b.filledAt = now
	}
	capacity := max(1, rate.Burst/rateDivisor)
	b.level = max(-capacity, min(capacity, b.level))
}
