package balance

import (
	"sync/atomic"
	"time"
)

const (
	// InitialBackoff is the initial backoff after a target refused a request for lack
	// of a slot. It doubles with each further refusal.
	InitialBackoff = 20 * time.Millisecond
	// MaxBackoff is the longest backoff.
	MaxBackoff = 160 * time.Millisecond
)

// Load tracks one process's in-flight requests at one target process and its
// estimate of the target's capacity. It is safe for concurrent use.
type Load struct {
	cold, warm   int64
	inFlight     atomic.Int64
	capacity     atomic.Int64
	backoffUntil atomic.Int64 // nanoseconds on the caller's clock
	nextBackoff  atomic.Int64 // backoff after the next refusal, nanoseconds; 0: InitialBackoff
}

// NewLoad returns the load of a newly discovered target. It counts as cold until
// successes raise its estimated capacity.
func NewLoad(cold, warm int) *Load {
	l := &Load{cold: int64(max(1, cold)), warm: int64(max(1, cold, warm))}
	l.capacity.Store(l.cold)
	return l
}

// TryStart counts a request that is about to be sent. It returns false if limit
// requests are already in flight.
func (l *Load) TryStart(limit int) bool {
	for {
		running := l.inFlight.Load()
		if running >= int64(limit) {
			return false
		}
		if l.inFlight.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// Finish counts the end of a request. A success ends the backoff sequence and
// raises the estimated capacity by one, up to the warm capacity.
func (l *Load) Finish(succeeded bool) {
	l.inFlight.Add(-1)
	if !succeeded {
		return
	}
	l.nextBackoff.Store(0)
	if capacity := l.capacity.Load(); capacity < l.warm {
		l.capacity.CompareAndSwap(capacity, capacity+1)
	}
}

// ResetToCold resets the estimated capacity to the cold capacity.
func (l *Load) ResetToCold() { l.capacity.Store(l.cold) }

// Refused records that the target refused a request at now for lack of a slot,
// and starts a backoff.
func (l *Load) Refused(now int64) {
	if l.InBackoff(now) {
		return // concurrent refusals count once
	}
	backoff := max(int64(InitialBackoff), l.nextBackoff.Load())
	l.nextBackoff.Store(min(2*backoff, int64(MaxBackoff)))
	l.backoffUntil.Store(now + backoff)
}

// InFlight returns the number of in-flight requests.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Capacity returns the estimated capacity, in concurrent requests.
func (l *Load) Capacity() int { return int(l.capacity.Load()) }

// InBackoff reports whether the target is in backoff.
func (l *Load) InBackoff(now int64) bool { return now < l.backoffUntil.Load() }
