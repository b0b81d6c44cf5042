package hlc

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestNowIsStrictlyIncreasing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		var last Timestamp
		for _, wall := range rapid.SliceOf(rapid.Int64Range(0, 1<<40)).Draw(t, "walls") {
			now := c.Now(wall)
			assert.Greater(t, now, last)
			last = now
		}
	})
}

func TestObserveOrdersAfterPeer(t *testing.T) {
	var c Clock
	remote := New(1_000, 7)
	c.Observe(remote, 900, 500)
	assert.Greater(t, c.Now(900), remote)
}

func TestObserveIgnoresClockFarAhead(t *testing.T) {
	var c Clock
	c.Observe(New(1_000_000, 0), 900, 500)
	assert.Equal(t, New(900, 0), c.Now(900))
}
