package load

import (
	"slices"
	"time"
)

// tokenBucket is the reference rate limiter of one workspace: the test oracle for
// the decisions of the system's limiter. Times are offsets from the run's start.
type tokenBucket struct {
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	lastRefill time.Duration
}

func newTokenBucket(rate float64, burst int) *tokenBucket {
	return &tokenBucket{rate: rate, burst: float64(burst), tokens: float64(burst)}
}

// refill adds the tokens accrued until at, which must not go back in time.
func (b *tokenBucket) refill(at time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.lastRefill).Seconds())
	b.lastRefill = at
}

// admit takes one token for a request sent at the given time.
func (b *tokenBucket) admit(at time.Duration) {
	b.refill(at)
	b.tokens--
}

// bucketLevel is the number of tokens right after a request of the workspace was
// sent.
type bucketLevel struct {
	at     time.Duration
	tokens float64
}

// replayLevels charges every admitted request at its send time, the earliest
// time at which the system can have charged it, and returns the level after each
// send. results must be in send order.
func replayLevels(results []result, rate float64, burst int) []bucketLevel {
	b := newTokenBucket(rate, burst)
	levels := make([]bucketLevel, len(results))
	for i, r := range results {
		if r.admitted {
			b.admit(r.sent)
		}
		b.refill(r.sent)
		levels[i] = bucketLevel{at: r.sent, tokens: b.tokens}
	}
	return levels
}

// countWrongRefusals counts the wrong refusals of one workspace; results must be
// in send order. A refusal is wrong if the bucket held at least one token from
// the request's send until its response, since concurrent requests may be decided
// in any order.
func countWrongRefusals(results []result, rate float64, burst int) int {
	levels := replayLevels(results, rate, burst)
	wrong := 0
	for i, r := range results {
		if r.rateLimited && lowestLevel(levels[i:], r.ended) >= 1 {
			wrong++
		}
	}
	return wrong
}

// lowestLevel returns the lowest level from the first entry up to until. The level
// after each send suffices, as the bucket only fills between sends.
func lowestLevel(from []bucketLevel, until time.Duration) float64 {
	end, _ := slices.BinarySearchFunc(from, until, func(l bucketLevel, t time.Duration) int {
		if l.at <= t {
			return -1
		}
		return 1
	})
	lowestSoFar := from[0].tokens
	for _, l := range from[:end] {
		lowestSoFar = min(lowestSoFar, l.tokens)
	}
	return lowestSoFar
}

// countAdmissible returns how many of the requests scheduled at from or later a
// strict limiter admits. results must be in send order, from the run's start.
func countAdmissible(results []result, rate float64, burst int, from time.Duration) int {
	b := newTokenBucket(rate, burst)
	admissible := 0
	for _, r := range results {
		b.refill(r.sent)
		if b.tokens < 1 {
			continue
		}
		b.tokens--
		if r.scheduled >= from {
			admissible++
		}
	}
	return admissible
}
