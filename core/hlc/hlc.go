// Package hlc provides a hybrid logical clock: its timestamps stay close to wall
// time and respect the order of messages between processes. It reads no clock
// itself; the caller passes in wall time.
package hlc

import (
	"fmt"
	"sync/atomic"
)

// Timestamp packs wall milliseconds since 1970 (48 bits) and a logical counter
// (16 bits). Timestamps compare as integers.
type Timestamp uint64

const counterBits = 16

// New packs a wall time and a counter.
func New(wallMS int64, counter uint16) Timestamp {
	return Timestamp(uint64(wallMS)<<counterBits | uint64(counter))
}

// WallMS returns the wall part, milliseconds since 1970.
func (t Timestamp) WallMS() int64 { return int64(t >> counterBits) }

// Counter returns the logical part.
func (t Timestamp) Counter() uint16 { return uint16(t) }

// String returns wall milliseconds and counter, joined by a dot.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%05d", t.WallMS(), t.Counter()) }

// Clock issues strictly increasing timestamps. The zero value is ready.
type Clock struct {
	last atomic.Uint64
}

// Now returns a timestamp above all that this clock has issued or observed.
func (c *Clock) Now(wallMS int64) Timestamp {
	wall := uint64(New(wallMS, 0))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe advances the clock to a timestamp received from a peer, so that the
// next Now is above it. A timestamp more than maxAheadMS ahead of local wall
// time is ignored, so that one wrong clock doesn't advance the whole fleet.
func (c *Clock) Observe(remote Timestamp, wallMS, maxAheadMS int64) {
	if remote.WallMS() > wallMS+maxAheadMS {
		return
	}
	for {
		last := c.last.Load()
		if uint64(remote) <= last || c.last.CompareAndSwap(last, uint64(remote)) {
			return
		}
	}
}
