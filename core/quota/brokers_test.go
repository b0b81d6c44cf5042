package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against parts of more than one in all, while one process knows of a change of the
// brokers and another does not.
func TestNewBrokerWaitsForFormerOne(t *testing.T) {
	var b Brokers
	now := start
	b.Set(now, []uint64{7, 9})
	broker, deputy := b.Of("w")
	assert.Zero(t, b.Part(now, broker, "w"), "it is new")
	now = now.Add(takeoverDelay)
	assert.InDelta(t, brokerPart, b.Part(now, broker, "w"), 0)
	assert.InDelta(t, brokerPart, b.Part(now, deputy, "w"), 0)
	b.Set(now, []uint64{deputy, 11})
	assert.Zero(t, b.Part(now, broker, "w"), "it is replaced")
	assert.Zero(t, b.Part(now.Add(takeoverDelay-1), 11, "w"), "the former one may not know yet")
	assert.InDelta(t, brokerPart, b.Part(now, deputy, "w"), 0, "it stays")
	b.Set(now.Add(100*time.Millisecond), []uint64{11, deputy}) // no change
	assert.InDelta(t, brokerPart, b.Part(now.Add(takeoverDelay), 11, "w"), 0)
	b.Set(now.Add(takeoverDelay), []uint64{broker, deputy})
	b.Set(now.Add(takeoverDelay+time.Millisecond), []uint64{deputy, 11})
	assert.Zero(t, b.Part(now.Add(takeoverDelay+2*time.Millisecond), 11, "w"), "another had its part for a moment")
	b.Set(now.Add(takeoverDelay), nil)
	broker, _ = b.Of("w")
	assert.Zero(t, broker)
}

// A change of the brokers moves the workspaces of those that went only, and each has about
// its part.
func TestWorkspacesAreSpreadOverBrokers(t *testing.T) {
	var before, after Brokers
	before.Set(start, []uint64{1, 2, 3, 4})
	after.Set(start, []uint64{1, 2, 4})
	counts := make(map[uint64]int)
	for n := range 1000 {
		workspace := fmt.Sprint("w", n)
		id, _ := before.Of(workspace)
		counts[id]++
		if id != 3 {
			still, _ := after.Of(workspace)
			assert.Equal(t, id, still)
		}
	}
	for id, count := range counts {
		assert.InDelta(t, 250, count, 60, id)
	}
}
