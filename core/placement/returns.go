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
type Returns struct {
	hold time.Duration // moving average
	last time.Time     // latest time promised
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
