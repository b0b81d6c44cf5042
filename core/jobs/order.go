package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an open item that is ready to run.
type Candidate struct {
	Ref       ItemRef
	Due       time.Time
	Remaining time.Duration // estimated run time that is left
}

// SortByPriority sorts candidates by priority for the next free slot: first
// those that can still meet their due time, earliest due first, then those that
// will miss it anyway, shortest remaining time first.
//
// Plain earliest-deadline-first fails under overload: every item gets its slot
// only when it can no longer meet its due time, so all items are late.
func SortByPriority(now time.Time, candidates []Candidate) {
	sortByPriority(now, candidates, func(c *Candidate) *Candidate { return c })
}

// sortByPriority is SortByPriority for anything that holds a candidate.
func sortByPriority[T any](now time.Time, all []T, candidate func(*T) *Candidate) {
	late := func(c *Candidate) bool { return now.Add(c.Remaining).After(c.Due) }
	slices.SortStableFunc(all, func(x, y T) int {
		a, b := candidate(&x), candidate(&y)
		aLate, bLate := late(a), late(b)
		switch {
		case aLate != bLate && aLate:
			return 1
		case aLate != bLate:
			return -1
		case aLate:
			return cmp.Compare(a.Remaining, b.Remaining)
		default:
			return a.Due.Compare(b.Due)
		}
	})
}

const (
	// initialPerToken is the estimate until the first item has ended. Model engines
	// generate a few hundred tokens per second.
	initialPerToken = 3 * time.Millisecond
	// newestWeight is the weight of the newest sample in the moving average.
	newestWeight = 0.1
)

// DurationEstimator estimates the run time of an item from its tokens, with an
// exponentially weighted moving average of the time per token.
type DurationEstimator struct {
	perToken time.Duration
}

// Observe updates the estimate with an item that has ended.
func (e *DurationEstimator) Observe(tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	newest := took / time.Duration(tokens)
	if e.perToken == 0 {
		e.perToken = newest
		return
	}
	e.perToken += time.Duration(newestWeight * float64(newest-e.perToken))
}

// Remaining returns the estimated run time that is left for an item that has
// already run for spent.
func (e *DurationEstimator) Remaining(tokens int64, spent time.Duration) time.Duration {
	perToken := e.perToken
	if perToken == 0 {
		perToken = initialPerToken
	}
	return max(0, time.Duration(tokens)*perToken-spent)
}
