package placement

import (
	"time"

	"banyanwalk/core/roster"
)

const (
	// brokerColdShare is the part of the rate of a cold target that the broker may
	// use. The processes that place requests without it share the rest.
	brokerColdShare = 0.5
	// coldBurstSeconds is the time for which an unused part of the rate is kept.
	coldBurstSeconds = 0.25
)

// underWarmupLimit reports whether a cold target can take one more request from
// this process. Warm targets always can. The parts of all processes together stay
// within the rate also where there are more processes than requests a second.
func (t *Targets) underWarmupLimit(now time.Time, r *roster.Record, q Query) bool {
	if q.WarmupPerSecond <= 0 || !isCold(now, r) {
		return true
	}
	rate := q.WarmupPerSecond * t.coldShare()
	a := t.coldAllowances[r.ID]
	if a == nil {
		a = &bucket{tokens: t.firstTokens(r.ID, rate), filledAt: now}
		t.coldAllowances[r.ID] = a
	}
	a.refill(now, rate, coldBurst(rate))
	return a.tokens >= 1
}

// coldShare returns the part of a cold target's rate that this process may use.
func (t *Targets) coldShare() float64 {
	if t.limitSharer == "" {
		return brokerColdShare
	}
	return (1 - brokerColdShare) / float64(t.processes)
}

// coldBurst returns how many tokens the bucket of a cold target holds.
func coldBurst(rate float64) float64 { return max(1, rate*coldBurstSeconds) }

// firstTokens returns the initial tokens of a bucket: spread over the processes, so
// that they don't all send their first request at the same moment.
func (t *Targets) firstTokens(id string, rate float64) float64 {
	if t.limitSharer == "" {
		return coldBurst(rate)
	}
	return t.position(id)
}

// useColdAllowance takes a token of a cold target's bucket.
func (t *Targets) useColdAllowance(now time.Time, r *roster.Record) {
	if a := t.coldAllowances[r.ID]; a != nil && isCold(now, r) {
		a.tokens--
	}
}

func isCold(now time.Time, r *roster.Record) bool {
	return !r.ColdUntil.IsZero() && now.Before(r.ColdUntil)
}
