package placement

import "time"

// bucket is a token bucket for requests to one target.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens that have become due at a rate in tokens per second, up to
// burst.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed*rate)
		b.filledAt = now
	}
}
