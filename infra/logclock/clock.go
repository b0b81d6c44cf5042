// Package logclock reads the host's clocks for core/logtime.
package logclock

import (
	"time"

	"banyanwalk/core/logtime"
	"banyanwalk/infra/boottime"
)

// Clock tells the time for the commands that this host proposes to one group; see
// logtime.Clock. The zero value is ready to use.
type Clock struct{ clock logtime.Clock }

// NowMS returns the time, in milliseconds since 1970.
func (c *Clock) NowMS() int64 { return c.clock.NowMS(read()) }

// Observe takes note of the time of a command that was applied, in milliseconds
// since 1970. Zero, the time of an empty state, has no effect.
func (c *Clock) Observe(appliedMS int64) {
	if appliedMS > 0 {
		c.clock.Observe(read(), appliedMS)
	}
}

func read() logtime.Reading {
	return logtime.Reading{Elapsed: time.Duration(boottime.Now()), Wall: time.Now()}
}
