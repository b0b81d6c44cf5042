package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/roster"
)

// The rule for targets that name a limit: at most limitFactor times the limit in each
// window, and windowSlack requests.
const (
	window      = 4 * time.Second
	limitFactor = 1.5
	windowSlack = 5
)

// mostInWindow returns the largest number of times within one window.
func mostInWindow(times []time.Duration) int {
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(perSecond float64) float64 { return limitFactor*perSecond*window.Seconds() + windowSlack }

func acquireAt(t *Targets, after time.Duration, q Query) string {
	q.Service = "llm"
	r, _ := t.Acquire(start.Add(after), q)
	if r == nil {
		return ""
	}
	t.Release(r.ID, q.Batch)
	return r.ID
}

func TestTargetStaysWithinItsLimitAndUsesIt(t *testing.T) {
	for _, perSecond := range []float64{0.05, 0.3, 1, 2.7, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			targets := New("a")
			limited := record("limited", "a")
			targets.SetRecords([]*roster.Record{limited, record("free", "a")})
			targets.ObserveLimit(start, limited, perSecond)
			var sent []time.Duration
			for after := time.Duration(0); after < time.Minute; after += 5 * time.Millisecond {
				if id := acquireAt(targets, after, Query{Exclude: map[string]bool{"free": true}}); id == "limited" {
					sent = append(sent, after)
				}
				assert.Equal(t, "free", acquireAt(targets, after, Query{Exclude: map[string]bool{"limited": true}}), "the others take the rest")
			}
			assert.LessOrEqual(t, float64(mostInWindow(sent)), allowed(perSecond))
			assert.GreaterOrEqual(t, float64(len(sent)), 0.9*60*min(perSecond, 20)-1)
		})
	}
}

// Limits change from response to response, and end.
func TestNewestLimitCounts(t *testing.T) {
	targets := New("a")
	limited := record("limited", "a")
	targets.SetRecords([]*roster.Record{limited})
	before, after := targets.ObserveLimit(start, limited, 5)
	assert.Equal(t, []float64{0, 5}, []float64{before, after})
	assert.True(t, targets.HasLimits("llm"))
	assert.False(t, targets.ApplyLimit(start.Add(time.Second), LimitReport{Target: "limited", Incarnation: 1, PerSecond: 9, AgeMS: 2000}), "an older reading")
	reports := targets.LimitReports(start.Add(time.Second))
	require.Len(t, reports, 1)
	assert.Equal(t, LimitReport{Target: "limited", Incarnation: 1, PerSecond: 5, Sequence: 2, AgeMS: 1000}, reports[0], "sent again, since the others have an older one")
	assert.Equal(t, uint64(2), targets.LimitSequence())
	assert.True(t, targets.ApplyLimit(start.Add(2*time.Second), LimitReport{Target: "limited", Incarnation: 1, PerSecond: 2}))
	before, after = targets.ObserveLimit(start.Add(3*time.Second), limited, 0)
	assert.Equal(t, []float64{2, 0}, []float64{before, after})
	assert.False(t, targets.HasLimits("llm"))
	for range 100 {
		assert.Equal(t, "limited", acquireAt(targets, 3*time.Second, Query{}))
	}
	reports = targets.LimitReports(start.Add(4 * time.Second))
	require.Len(t, reports, 1, "the others are told of the end")
	assert.Zero(t, reports[0].PerSecond)
	reports = targets.LimitReports(start.Add(4*time.Second + limitRetention))
	assert.Empty(t, reports)
}

func TestLimitEndsWithItsProcess(t *testing.T) {
	targets := New("a")
	limited := record("limited", "a")
	targets.SetRecords([]*roster.Record{limited})
	targets.ObserveLimit(start, limited, 5)
	again := record("limited", "a")
	again.Incarnation = 2
	targets.SetRecords([]*roster.Record{again})
	assert.False(t, targets.HasLimits("llm"))
	targets.ObserveLimit(start, again, 3)
	targets.ObserveLimit(start, limited, 0) // a late response of the former process
	assert.True(t, targets.HasLimits("llm"))
	assert.False(t, targets.ApplyLimit(start, LimitReport{Target: "limited", Incarnation: 1, PerSecond: 9}))
	targets.SetRecords(nil)
	reports := targets.LimitReports(start)
	assert.Empty(t, reports)
}

// Processes place requests without the broker, while it places others. Together they
// stay within the limit, however many they are.
func TestProcessesWithoutBrokerShareLimit(t *testing.T) {
	for _, processes := range []int{2, 10, 370} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			const count = 60 // limited targets
			var records []*roster.Record
			for i := range count {
				records = append(records, record(fmt.Sprint("t", i), "a"))
			}
			all := make([]*Targets, processes)
			for i := range all {
				all[i] = New("a")
				if i > 0 { // the first one is the broker
					all[i].ShareLimits(fmt.Sprint("gateway-", i))
				}
				all[i].SetPeerLoads(nil, processes)
				all[i].SetRecords(records)
				for _, r := range records {
					all[i].ObserveLimit(start, r, 4)
				}
			}
			sent := make(map[string][]time.Duration)
			for after := time.Duration(0); after < 8*time.Second; after += 20 * time.Millisecond {
				for _, targets := range all {
					for range 3 {
						if id := acquireAt(targets, after, Query{}); id != "" {
							sent[id] = append(sent[id], after)
						}
					}
				}
			}
			over := 0
			for _, times := range sent {
				if float64(mostInWindow(times)) > allowed(4) {
					over++
				}
			}
			assert.Zero(t, over, "of %d targets", count)
		})
	}
}

// Batch items use what online requests leave of a limit, and count towards it.
func TestBatchItemsUseRestOfLimit(t *testing.T) {
	targets := New("a")
	limited := record("limited", "a")
	targets.SetRecords([]*roster.Record{limited})
	targets.ObserveLimit(start, limited, 4)
	online, batch := 0, 0
	for after := time.Duration(0); after < 10*time.Second; after += 10 * time.Millisecond {
		if acquireAt(targets, after, Query{Batch: true}) != "" {
			batch++
		}
		if after < 5*time.Second && acquireAt(targets, after, Query{}) != "" {
			online++
		}
	}
	assert.InDelta(t, 20, online, 2)
	assert.InDelta(t, 20, batch, 2, "after the online requests have ended")
}

// Refused requests are told different times, none of them before a place is likely.
func TestNextPlaceSpreadsCallers(t *testing.T) {
	targets := New("a")
	a, b := record("a", "a"), record("b", "a")
	targets.SetRecords([]*roster.Record{a, b})
	targets.ObserveLimit(start, a, 3)
	_, limited := targets.NextPlace(start, "llm")
	assert.False(t, limited, "another target has no limit")
	targets.ObserveLimit(start, b, 2)
	var waits []time.Duration
	for range 5 {
		wait, limited := targets.NextPlace(start, "llm")
		require.True(t, limited)
		waits = append(waits, wait)
	}
	assert.InDelta(t, time.Second/3, waits[0], float64(time.Millisecond))
	for i := 1; i < 4; i++ {
		assert.InDelta(t, time.Second/5, waits[i]-waits[i-1], float64(time.Millisecond))
	}
	assert.Equal(t, maxLimitWait, waits[4])
}

// Whatever is read and reported, the broker keeps to the highest of the limits that
// were in force in a window.
func TestLimitHoldsWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := New("a")
		limited := record("limited", "a")
		targets.SetRecords([]*roster.Record{limited})
		highest := 0.0
		set := func(after time.Duration) {
			perSecond := rapid.Float64Range(0.1, 10).Draw(t, "limit")
			highest = math.Max(highest, max(perSecond, minLimitPerSecond))
			targets.ObserveLimit(start.Add(after), limited, perSecond)
		}
		set(0)
		var sent []time.Duration
		for after := time.Duration(0); after < 8*time.Second; after += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond {
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				set(after)
			}
			for acquireAt(targets, after, Query{Batch: rapid.Bool().Draw(t, "batch")}) != "" {
				sent = append(sent, after)
			}
		}
		assert.LessOrEqual(t, float64(mostInWindow(sent)), allowed(highest))
	})
}
