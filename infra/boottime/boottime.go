// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that also counts the
// time in which the machine is suspended. The maximum age of cached state must
// include that time; the monotonic clock of package time does not.
package boottime

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the machine booted.
type Instant time.Duration

// Never stands for an event that has not happened: it is more than a hundred
// years before every reading of the clock.
const Never Instant = math.MinInt64 / 2

// Now returns the current reading.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error()) // supported since Linux 2.6.39
	}
	return Instant(ts.Nano())
}

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns the instant d after i, or before it if d is negative.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
