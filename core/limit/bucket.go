package limit

import (
	"math"
	"time"
)

// Rate is the rate limit of one workspace.
type Rate struct {
	PerSecond float64 // tokens
	Burst     int     // tokens
}

// bucket is a token bucket implemented with the generic cell rate algorithm
// (GCRA). Its theoretical arrival time, fullAt, is the time at which the bucket
// will be full again.
type bucket struct {
	interval           int64 // nanoseconds between tokens
	burst              int64
	fullAt             int64 // theoretical arrival time; covers reported spending only
	outstanding        int64 // tokens held by gateways
	idle               int64 // part of outstanding that gateways have not spent
	contendedUntil     int64 // until then gateways return idle tokens
	handoverDelay      int64 // extra wait allowed after changes of owner, until the bucket is full again
	handoverDelayUntil int64
	queue              waitQueue
}

func newBucket(r Rate, now int64) *bucket {
	b := &bucket{fullAt: now, queue: make(waitQueue)}
	b.setRate(r, now)
	return b
}

// setRate changes the limit; spent tokens stay spent.
func (b *bucket) setRate(r Rate, now int64) {
	interval := int64(math.Ceil(float64(time.Second) / max(r.PerSecond, 1e-6)))
	if b.interval > 0 && interval != b.interval {
		untilFull := max(0, b.fullAt-now)
		b.fullAt = now + int64(math.Ceil(float64(untilFull)/float64(b.interval)*float64(interval)))
	}
	b.interval = interval
	b.burst = int64(r.Burst)
}

// spend records n tokens as spent at the time at, which must not be earlier than
// when they were really spent.
func (b *bucket) spend(at, n int64) {
	b.fullAt = max(b.fullAt, at) + n*b.interval
}

// drain empties the bucket at now.
func (b *bucket) drain(now int64) {
	b.fullAt = max(b.fullAt, now+b.burst*b.interval)
}

// available returns how many tokens can be granted at now.
func (b *bucket) available(now int64) int64 {
	headroom := now + b.burst*b.interval - max(b.fullAt, now)
	if headroom <= 0 {
		return 0
	}
	return max(0, headroom/b.interval-b.outstanding)
}

// untilNextToken returns the time until another token can be granted, assuming
// that all outstanding tokens and granted more have been spent.
func (b *bucket) untilNextToken(now, granted int64) int64 {
	full := max(b.fullAt, now) + (b.outstanding+granted)*b.interval
	return max(1, full+b.interval-now-b.burst*b.interval)
}

// recover ends the extra wait after a change of owner once the bucket
// has been full long enough for every gateway to have requested the tokens that
// it needs.
func (b *bucket) recover(now int64) {
	opened := b.handoverDelayUntil - int64(handoverDelayDuration)
	if len(b.queue) == 0 && b.outstanding == b.idle && max(b.fullAt, opened)+int64(contentionDuration) <= now {
		b.handoverDelay = 0
	}
}

// waitLimit returns the longest total time that a request may wait.
func (b *bucket) waitLimit(now int64) int64 {
	if now >= b.handoverDelayUntil {
		return int64(GracePeriod)
	}
	return int64(GracePeriod) + b.handoverDelay
}
