package jobs

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an open item that could run now.
type Candidate struct {
	Ref       ItemRef
	Due       time.Time
	Remaining time.Duration // that it needs at a target, by estimate
}

// Order sorts candidates by which one is to have the next free slot: first
// those that can still be in time, the earliest due first, then those that
// will be late anyway, the shortest first.
//
// It answers a load of jobs beyond what the targets can do: running the
// earliest due first then makes all of them late, since each gets its slot
// when it is past helping.
func Order(now time.Time, candidates []Candidate) {
	late := func(c *Candidate) bool { return now.Add(c.Remaining).After(c.Due) }
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		aLate, bLate := late(&a), late(&b)
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
	// firstPace is what a token of an item is taken to need before any item has
	// ended: a model engine makes some hundred tokens a second.
	firstPace = 3 * time.Millisecond
	// paceWeight is the share of the newest item in the estimate.
	paceWeight = 0.1
)

// Pace estimates how long items need by their tokens.
type Pace struct {
	perToken time.Duration
}

// Add learns from an item that has ended.
func (p *Pace) Add(tokens int64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	newest := took / time.Duration(tokens)
	if p.perToken == 0 {
		p.perToken = newest
		return
	}
	p.perToken += time.Duration(paceWeight * float64(newest-p.perToken))
}

// Remaining returns what an item still needs that has run for spent before.
func (p *Pace) Remaining(tokens int64, spent time.Duration) time.Duration {
	pace := p.perToken
	if pace == 0 {
		pace = firstPace
	}
	return max(0, time.Duration(tokens)*pace-spent)
}
