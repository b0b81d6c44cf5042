package placement

import "time"

const (
	// minReturn is the shortest time after which a refused caller is asked back. Places
	// become free sooner, but callers that come for the first time take them.
	minReturn = 300 * time.Millisecond
	// returnsShare is the part of the places that become free which is promised to
	// returning callers, as a divisor.
	returnsShare = 4
	// patienceDivisor is the part of its remaining time, as a divisor, that a caller
	// waits at most before it returns.
	patienceDivisor = 3
	// holdWeight is the weight of the newest sample in the moving average of how long
	// a request holds its place.
	holdWeight = 0.05
)

// Returns spreads the callers that one service has refused while all its places were
// taken. It answers a jump of the load, or the end of an outage, after which many
// callers are refused at once: told the same delay, they would all return into the
// same full queues. It is not safe for concurrent use.
//
// Callers whose workspace is beyond its share are spread by NextBeyond instead.
type Returns struct {
	hold   time.Duration        // moving average
	last   time.Time            // latest time promised
	beyond map[string]time.Time // latest time promised, by workspace beyond its share
}

// Observe records how long a request held its place.
func (r *Returns) Observe(held time.Duration) {
	if r.hold == 0 {
		r.hold = held
		return
	}
	r.hold += time.Duration(holdWeight * float64(held-r.hold))
}

// Next returns the delay after which one more refused caller should return. places
// is the number of requests that the service runs at once, remaining the time that
// the caller has left.
func (r *Returns) Next(now time.Time, places int, remaining time.Duration) time.Duration {
	interval := r.hold * returnsShare / time.Duration(max(1, places))
	next := r.last.Add(interval)
	if earliest := now.Add(minReturn); next.Before(earliest) {
		next = earliest
	}
	if latest := now.Add(remaining / patienceDivisor); next.After(latest) {
		next = latest
	}
	if next.After(r.last) {
		r.last = next
	}
	return next.Sub(now)
}

// NextBeyond returns the delay after which a refused caller of a workspace beyond its
// share should return: after those within their share, and spread over the slots that
// the workspace's share releases, since its new callers take most of these.
func (r *Returns) NextBeyond(now time.Time, workspace string, share float64, remaining time.Duration) time.Duration {
	next := r.beyond[workspace].Add(time.Duration(float64(r.hold) * returnsShare / max(1, share)))
	if earliest := later(now, r.last).Add(minReturn); next.Before(earliest) {
		next = earliest
	}
	if latest := now.Add(remaining / patienceDivisor); next.After(latest) {
		next = latest
	}
	if r.beyond == nil {
		r.beyond = make(map[string]time.Time)
	}
	for name, promised := range r.beyond {
		if promised.Before(now) {
			delete(r.beyond, name)
		}
	}
	if next.After(r.beyond[workspace]) {
		r.beyond[workspace] = next
	}
	return next.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
