package quota

import (
	"math"
	"time"
)

// A gateway that hears no reports keeps to its equal part of rate, burst and extra. The
// connected ones leave that part alone as soon as they count it as silent.

// periodsPerBurst divides burst and extra between periods in which gateways with parts
// below one token draw whole ones. Two periods may follow within a short time.
const periodsPerBurst = 2

// claimDelay is the time from the beginning of the isolation until the others leave this
// gateway's equal part of level and extra alone, which brokers had granted from before. They
// count a gateway as silent 0.8 s after its last report.
const claimDelay = ownWindow

// isolate begins the isolation of a bucket at the end of the time in which reports
// arrived. It begins with no more than the gateway's part at that time.
func (s *bounded) isolate(limit time.Time, h *boundedBucket) {
	h.isolated, h.isolatedAt, h.isolatedLeft = true, limit, 0
	h.claim = 0
	if !s.heard { // the part is not known
		h.isolatedAt = s.startedAt
		h.isolatedPeriod = -1
		return
	}
	h.isolatedPeriod = s.isolatedPeriod(limit, h)
	s.fill(limit, h)
	own := h.recentSpent(s.slot(limit))
	h.isolatedLeft = max(0, min(s.isolatedBurst(h), s.share(own, h)-own))
	h.claim = max(0, (h.level+own+s.bounds.extra(h.rate))/float64(s.gateways)-own-h.isolatedLeft)
	h.claimAt = limit.Add(claimDelay)
	if s.isolatedBurst(h) < 1 {
		h.isolatedLeft = math.Floor(h.isolatedLeft + s.random(h.isolatedPeriod, h))
	}
}

// refillIsolated adds the tokens of the own part that have become due.
func (s *bounded) refillIsolated(now time.Time, h *boundedBucket) {
	elapsed := max(0, now.Sub(h.isolatedAt)).Seconds()
	h.isolatedAt = now
	burst := s.isolatedBurst(h)
	if h.claim > 0 && !now.Before(h.claimAt) {
		h.isolatedLeft += h.claim
		h.claim = 0
	}
	if burst >= 1 {
		h.isolatedLeft = min(burst, h.isolatedLeft+elapsed*h.rate.PerSecond/float64(s.gateways))
		return
	}
	if period := s.isolatedPeriod(now, h); period != h.isolatedPeriod {
		h.isolatedPeriod = period
		h.isolatedLeft = math.Floor(burst/periodsPerBurst + s.random(period, h))
	}
}

// isolatedBurst returns this gateway's equal part of burst and extra.
func (s *bounded) isolatedBurst(h *boundedBucket) float64 {
	return (h.rate.Burst + s.bounds.extra(h.rate)) / float64(s.gateways)
}

// isolatedPeriod returns the number of the period in which a gateway may spend one drawn
// part. The parts of all gateways come at the workspace's rate.
func (s *bounded) isolatedPeriod(now time.Time, h *boundedBucket) int64 {
	tokens := (h.rate.Burst + s.bounds.extra(h.rate)) / periodsPerBurst
	period := time.Duration(tokens / h.rate.PerSecond * float64(time.Second))
	return int64(now.Sub(s.startedAt) / max(1, period))
}
