package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/streams"
)

func entriesOf(count int, lane Lane, held int64) []Entry {
	entries := make([]Entry, 0, count)
	for i := range count {
		due := startTime.Add(time.Duration(10+i%97) * time.Second)
		entries = append(entries, Entry{Candidate: Candidate{Ref: ItemRef{Job: fmt.Sprint(lane, held), Item: i}, Due: due, Remaining: time.Second}, Lane: lane, Held: held})
	}
	return entries
}

// Guards against passes that cost as much as items wait: each slot that an online request
// released cost the leader a look at all of them, and late items made all others late
// (SHORT on urbpadoms-large).
func TestPassWithoutSlotsLooksAtFewItems(t *testing.T) {
	unbound, bound := Lane{Service: "llm"}, LaneOf("llm", streams.Origin{Service: "llm", Version: "v1"}, true)
	for _, count := range []int{10, 100, 10_000} {
		entries := append(entriesOf(count, unbound, 1900), entriesOf(count, bound, 2100)...)
		plan := NewPlan(startTime, entries)
		for range 100 {
			assert.Equal(t, 2, plan.Pass(func(*Entry) Attempt { return NoSlot }), "one item of each lane, with %d waiting", plan.Waiting())
		}
		assert.Equal(t, 2*count, plan.Waiting())
	}
}

// Guards against items that no pass of a plan reaches, or that it starts twice or in
// another order than one pass over all of them would.
func TestPlanServesAllItemsInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var entries []Entry
	for _, lane := range []Lane{{Service: "a"}, {Service: "a", Version: "v1"}, {Service: "b"}} {
		for _, held := range []int64{100, 2000} {
			entries = append(entries, entriesOf(50, lane, held)...)
		}
	}
	rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	plan := NewPlan(startTime, entries)
	started := make(map[ItemRef]bool)
	last := make(map[Lane]map[int64]time.Time)
	for plan.Waiting() > 0 {
		slots := map[string]int{"a": rng.IntN(4), "b": rng.IntN(4)}
		large := rng.IntN(3) // items of 2,000 tokens that fit into the memory of some target
		plan.Pass(func(e *Entry) Attempt {
			switch {
			case slots[e.Lane.Service] == 0:
				return NoSlot
			case e.Held == 2000 && large == 0:
				return NoPlace
			case e.Held == 2000:
				large--
			}
			slots[e.Lane.Service]--
			require.False(t, started[e.Ref], "%v is started twice", e.Ref)
			started[e.Ref] = true
			if last[e.Lane] == nil {
				last[e.Lane] = make(map[int64]time.Time)
			}
			require.False(t, e.Due.Before(last[e.Lane][e.Held]), "an item of the lane that is due earlier had to wait")
			last[e.Lane][e.Held] = e.Due
			return Done
		})
	}
	assert.Len(t, started, len(entries))
}
