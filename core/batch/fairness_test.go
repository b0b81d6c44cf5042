package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

// TestEveryWorkspaceGetsItsFairShare checks that every workspace gets at least
// 95 % of its weighted fair share, with three fleet sizes and workspaces of
// different weights and numbers of items. Items take random time and one in five
// is preempted. Shares are measured while every workspace has queued items: in
// slot time, and also in completed items if all items have the same mean
// duration. In the second case some items last ten times longer.
func TestEveryWorkspaceGetsItsFairShare(t *testing.T) {
	for _, slots := range []int{8, 64, 512} {
		for _, durationFactor := range []int{1, 10} {
			items, slotTime := minFairShares(t, slots, durationFactor, 20261204)
			t.Logf("slots=%d longer=%d worst_share_items=%.4f worst_share_slot_time=%.4f", slots, durationFactor, items, slotTime)
			require.GreaterOrEqual(t, slotTime, 0.95)
			if durationFactor == 1 {
				require.GreaterOrEqual(t, items, 0.95)
			}
		}
	}
}

// minFairShares returns the smallest ratio of received to fair share over all
// workspaces, in completed items and in slot time. The items of every third
// workspace last durationFactor times as long.
func minFairShares(t *testing.T, slots, durationFactor int, seed uint64) (items, slotTime float64) {
	const (
		supply     = 20_000 // items of each workspace with an even index; the others have twice as many
		preempted  = 5      // one attempt in so many is preempted
		tickMS     = 10
		maxTicks   = 20
		jobsOfEach = 4
	)
	completed := 24_000 + 80*slots // items after which shares are measured; many for each slot
	weights := []int{1, 1, 2, 3, 1, 4, 1, 3}
	m := New()
	for w, weight := range weights {
		for k := range jobsOfEach {
			id := fmt.Sprintf("w%d-%d", w, k)
			n := supply / jobsOfEach * (1 + w%2)
			c := jobOf(fmt.Sprintf("w%d", w), "batch_"+id, "file-"+id, n, chatTemplate)
			c.Weight = weight
			c.WindowMS = int64(1+k) * hourMS
			mustCreate(t, m, 1, c, n)
		}
	}
	random := rand.New(rand.NewPCG(seed, uint64(slots)))
	type running struct {
		id    ItemID
		w     int // index of the workspace
		left  int
		ticks int
	}
	a := &testAgent{name: "a1", incarnation: 1}
	var held []running
	done, slotTicks := make([]int, len(weights)), make([]int, len(weights))
	total := 0
	for now := int64(2); total < completed; now += tickMS {
		for _, l := range a.lease(m, now, slots-len(held), "bell-lm").Leases {
			r := running{id: l.ID, w: int(l.ID.Job[len("batch_w")] - '0'), ticks: 1 + random.IntN(maxTicks)}
			if r.w%3 == 0 {
				r.ticks *= durationFactor
			}
			r.left = r.ticks
			held = append(held, r)
		}
		var still []running
		for _, r := range held {
			r.left--
			slotTicks[r.w]++
			if r.left > 0 {
				still = append(still, r)
				continue
			}
			if random.IntN(preempted) == 0 {
				require.Zero(t, a.commit(m, now+tickMS, ResultReturned, outcome.MayHaveRun, r.id)[0].Code)
				continue
			}
			require.Zero(t, a.commit(m, now+tickMS, ResultSucceeded, outcome.Ran, r.id)[0].Code)
			done[r.w]++
			total++
		}
		held = still
	}
	return minFairShare(done, weights), minFairShare(slotTicks, weights)
}

// minFairShare returns the smallest ratio of a value to its weighted part of the
// sum.
func minFairShare(values, weights []int) float64 {
	sum, weight := 0, 0
	for i := range values {
		sum += values[i]
		weight += weights[i]
	}
	worst := 1.0
	for i := range values {
		fair := float64(sum) * float64(weights[i]) / float64(weight)
		worst = min(worst, float64(values[i])/fair)
	}
	return worst
}
