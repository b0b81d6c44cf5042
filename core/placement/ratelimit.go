package placement

import (
	"hash/fnv"
	"math"
	"time"

	"banyanwalk/core/roster"
)

const (
	// minLimitPerSecond replaces lower limits: a target that gets nothing could not
	// tell that its limit has ended.
	minLimitPerSecond = 0.2
	// limitBurstSeconds is how much of its rate a limited target may get at once, in
	// addition to one request.
	limitBurstSeconds = 1.0
	// batchReserveSeconds is how much of the rate batch items leave for online
	// requests.
	batchReserveSeconds = 0.25
	// fallbackRateShare is the part of a target's limit that the processes may use
	// together while they place requests without the broker. The broker may go on
	// placing those of others.
	fallbackRateShare = 0.4
	// fallbackProcesses is the mean number of processes that use this part of one
	// target's limit, however many processes there are.
	fallbackProcesses = 2
	// maxLimitWait bounds the time that NextPlace returns. Requests that are sent for
	// the first time take places meanwhile.
	maxLimitWait = time.Second
	// limitRetention is how long the end of a limit is reported.
	limitRetention = 30 * time.Second
)

// LimitReport tells which rate limit a target named in a response.
type LimitReport struct {
	Target      string  `msgpack:"t"`
	Incarnation int64   `msgpack:"i"` // of the target
	PerSecond   float64 `msgpack:"r"` // requests of all processes together; 0: it named no limit any more
	Sequence    uint64  `msgpack:"q"` // increases with each report of one process
	AgeMS       int64   `msgpack:"a"` // milliseconds since the response
}

// rateLimit is the limit of one target and the token bucket that keeps to it.
type rateLimit struct {
	incarnation int64
	perSecond   float64   // 0: none
	readAt      time.Time // when the response arrived
	sequence    uint64    // of the report of this process; 0: another process has read it
	bucket
}

// burst returns how many tokens the bucket holds at a share of the limit.
func (l *rateLimit) burst(share float64) float64 { return 1 + l.perSecond*share*limitBurstSeconds }

// refill adds the tokens that have become due at a share of the limit.
func (l *rateLimit) refill(now time.Time, share float64) {
	l.bucket.refill(now, l.perSecond*share, l.burst(share))
}

// ShareLimits makes this process one of several that place requests by themselves,
// so that it uses only its part of the limits. A broker uses them whole.
func (t *Targets) ShareLimits(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitSharer = process
}

// DrainLimits empties the buckets of all limits, since another process may just have
// used the limits whole, and leaves the memory that its requests may still hold.
func (t *Targets) DrainLimits(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handoverUntil = now.Add(handoverTime)
	for _, l := range t.limits {
		l.tokens, l.filledAt = 0, now
	}
}

// ObserveLimit records the limit that a response of a target named, 0 if it named
// none, and returns the limits known before and from now on.
func (t *Targets) ObserveLimit(now time.Time, target *roster.Record, perSecond float64) (before, after float64) {
	if perSecond > 0 {
		perSecond = max(minLimitPerSecond, perSecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[target.ID]
	switch {
	case known == nil && perSecond == 0:
		return 0, 0
	case known != nil && known.incarnation > target.Incarnation:
		return known.perSecond, known.perSecond
	case known != nil && known.incarnation == target.Incarnation:
		before = known.perSecond
	}
	if known != nil && known.incarnation == target.Incarnation && known.perSecond == perSecond {
		known.readAt = now
		return before, perSecond
	}
	t.setLimit(target.ID, rateLimit{incarnation: target.Incarnation, perSecond: perSecond, readAt: now, sequence: t.nextLimitSequence()})
	return before, perSecond
}

// ApplyLimit merges a report of another process that arrived at now, and returns
// whether it changed the limit. The newest reading counts.
func (t *Targets) ApplyLimit(now time.Time, report LimitReport) bool {
	readAt := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[report.Target]
	if known != nil && known.incarnation >= report.Incarnation {
		if known.incarnation > report.Incarnation || known.perSecond == report.PerSecond {
			return false
		}
		if !readAt.After(known.readAt) {
			known.sequence = t.nextLimitSequence() // the others have not got the newer reading
			return false
		}
	}
	t.setLimit(report.Target, rateLimit{incarnation: report.Incarnation, perSecond: report.PerSecond, readAt: readAt})
	return known != nil || report.PerSecond > 0
}

func (t *Targets) nextLimitSequence() uint64 {
	t.limitSequence++
	return t.limitSequence
}

// setLimit replaces the limit of a target. The bucket of a new one is empty, since
// requests have just been sent without it. The caller holds the lock.
func (t *Targets) setLimit(id string, next rateLimit) {
	next.filledAt = next.readAt
	if known := t.limits[id]; known != nil && known.incarnation == next.incarnation && known.perSecond > 0 {
		next.tokens, next.filledAt = min(known.tokens, next.burst(t.limitShare(id))), known.filledAt
	}
	t.limits[id] = &next
}

// dropLimit forgets the limit of a process that another one has replaced. The caller
// holds the lock.
func (t *Targets) dropLimit(id string, incarnation int64) {
	if known := t.limits[id]; known != nil && known.incarnation < incarnation {
		delete(t.limits, id)
	}
}

// LimitSequence returns the sequence of the newest report of this process.
func (t *Targets) LimitSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitSequence
}

// LimitReports returns what this process has read.
func (t *Targets) LimitReports(now time.Time) []LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []LimitReport
	for id, l := range t.limits {
		age := now.Sub(l.readAt)
		if t.byID[id] == nil || l.perSecond == 0 && age > limitRetention {
			delete(t.limits, id)
			continue
		}
		if l.sequence > 0 {
			reports = append(reports, LimitReport{Target: id, Incarnation: l.incarnation, PerSecond: l.perSecond, Sequence: l.sequence,
				AgeMS: age.Milliseconds()})
		}
	}
	return reports
}

// HasLimits reports whether any target of a service has a limit.
func (t *Targets) HasLimits(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.limits) == 0 {
		return false
	}
	for _, r := range t.services[service] {
		if t.limitOf(r) != nil {
			return true
		}
	}
	return false
}

// NextPlace returns the time until a target with a limit is likely to take another
// request, if all targets of a service have limits. Each call returns a later time,
// so that refused callers don't all come back at once.
func (t *Targets) NextPlace(now time.Time, service string) (wait time.Duration, allLimited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate, soonest := 0.0, math.Inf(1)
	for _, r := range t.services[service] {
		if t.outOfService(r.DataCentre) {
			continue
		}
		limit := t.limitOf(r)
		if limit == nil {
			return 0, false
		}
		if share := t.limitShare(r.ID); share > 0 {
			limit.refill(now, share)
			rate += limit.perSecond * share
			soonest = min(soonest, max(0, 1-limit.tokens)/(limit.perSecond*share))
		}
	}
	if rate == 0 {
		return maxLimitWait, len(t.services[service]) > 0
	}
	at := now.Add(time.Duration(soonest * float64(time.Second)))
	if next := t.nextPlaces[service]; next.After(at) {
		at = next
	}
	if latest := now.Add(maxLimitWait); at.After(latest) {
		at = latest
	}
	t.nextPlaces[service] = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now), true
}

// limitOf returns the limit of a target, or nil. The caller holds the lock.
func (t *Targets) limitOf(r *roster.Record) *rateLimit {
	limit := t.limits[r.ID]
	if limit == nil || limit.perSecond == 0 || limit.incarnation != r.Incarnation {
		return nil
	}
	return limit
}

// limitShare returns the part of a target's limit that this process may use. The
// caller holds the lock.
func (t *Targets) limitShare(id string) float64 {
	if t.limitSharer == "" {
		return 1
	}
	if t.processes <= fallbackProcesses {
		return fallbackRateShare / float64(t.processes)
	}
	if t.position(id)*float64(t.processes) >= fallbackProcesses {
		return 0
	}
	return fallbackRateShare / fallbackProcesses
}

// position returns a number from 0 to 1 that differs between the processes, and for
// one process between the targets. The caller holds the lock.
func (t *Targets) position(id string) float64 {
	return float64(t.sharerHash(id)) / math.MaxUint64
}

// sharerHash returns a hash of the names of this process and a target. The caller holds
// the lock.
func (t *Targets) sharerHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.limitSharer + "\x00" + id)) // never fails
	return h.Sum64()
}

// underRateLimit reports whether a target's limit allows one more request. Batch
// items use what online requests leave. The caller holds the lock.
func (t *Targets) underRateLimit(now time.Time, r *roster.Record, batch bool) bool {
	limit := t.limitOf(r)
	if limit == nil {
		return true
	}
	share := t.limitShare(r.ID)
	if share == 0 {
		return false
	}
	limit.refill(now, share)
	if batch {
		return limit.tokens >= 1+limit.perSecond*share*batchReserveSeconds
	}
	return limit.tokens >= 1
}

// useRateLimit takes a token of a target's limit. The caller holds the lock.
func (t *Targets) useRateLimit(r *roster.Record) {
	if limit := t.limitOf(r); limit != nil {
		limit.tokens--
	}
}
