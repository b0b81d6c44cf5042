// Package logtime gives the commands of a replicated log their times. The state
// machine measures leases, due times and retention with them, and they never go
// back in the log, so one leader whose time of day jumps forward for a few seconds
// would end them all. A Clock therefore runs at the rate of a clock that does not
// jump, and only approaches the time of day.
package logtime

import (
	"sync"
	"time"
)

// slewDivisor bounds the correction: the clock runs faster or slower than real
// time by at most this part of the time that has passed.
const slewDivisor = 8

// Reading is what a host's clocks show at one moment.
type Reading struct {
	Elapsed time.Duration // of a clock that does not jump, from any start
	Wall    time.Time     // time of day
}

// Clock tells the time for the commands that a host proposes. It follows the times
// of the commands that the host applies, so that the next leader continues where
// the previous one stopped. The zero value starts at the first command applied,
// or at the time of day if there is none. It is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	started bool
	now     time.Duration // since 1970
	elapsed time.Duration // Reading.Elapsed at now
}

// NowMS returns the time, in milliseconds since 1970.
func (c *Clock) NowMS(r Reading) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(r)
	return c.now.Milliseconds()
}

// Observe takes note of a command that was applied with the time appliedMS,
// milliseconds since 1970. The clock is never behind it.
func (c *Clock) Observe(r Reading, appliedMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := time.Duration(appliedMS) * time.Millisecond
	if !c.started {
		c.start(r, applied)
		return
	}
	c.advance(r)
	c.now = max(c.now, applied)
}

func (c *Clock) start(r Reading, now time.Duration) {
	c.started, c.now, c.elapsed = true, now, r.Elapsed
}

// advance adds the time that has passed and a bounded correction towards the time
// of day.
func (c *Clock) advance(r Reading) {
	wall := time.Duration(r.Wall.UnixNano())
	if !c.started {
		c.start(r, wall)
		return
	}
	passed := r.Elapsed - c.elapsed
	if passed <= 0 {
		return
	}
	c.elapsed = r.Elapsed
	c.now += passed
	limit := passed / slewDivisor
	c.now += min(max(wall-c.now, -limit), limit)
}
