// Package boottime reads the clock that goes on while the machine is suspended.
// Bounds on the age of what a process believes must count that time; the clock
// of package time does not.
package boottime

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point of the clock, counted from the start of the machine.
type Instant time.Duration

// Never is before all other instants, by more than a hundred years.
const Never Instant = math.MinInt64 / 2

// Now returns the current point.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no such clock: " + err.Error()) // since Linux 2.6.39 it has
	}
	return Instant(ts.Nano())
}

// Since returns the time from an instant until now.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns a later or, with a negative duration, an earlier point.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
