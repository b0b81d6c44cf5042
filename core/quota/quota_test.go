package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestBurstThenRate(t *testing.T) {
	b := New()
	rate := Rate{PerSecond: 10, Burst: 5}
	now := start
	take := func() bool { _, ok := b.Take(now, "w", rate); return ok }
	for take() {
	}
	now = now.Add(time.Second)
	taken := 0
	for take() {
		taken++
	}
	assert.Equal(t, 5, taken, "the bucket holds no more than the burst")
	wait, ok := b.Take(now, "w", rate)
	assert.False(t, ok)
	assert.Equal(t, 100*time.Millisecond, wait)
	assert.Equal(t, b.Spent()["w"], uint64(taken)+3, "a new process starts with a part of the burst")
	b.Return("w")
	assert.True(t, take())
}

func TestNoLimit(t *testing.T) {
	b := New()
	for range 1000 {
		_, ok := b.Take(start, "w", Rate{})
		require.True(t, ok)
	}
}

func TestIsolatedGatewayKeepsToItsShare(t *testing.T) {
	b := New()
	b.DivideRates(4)
	taken := 0
	for ms := range 10_000 {
		if _, ok := b.Take(start.Add(time.Duration(ms)*time.Millisecond), "w", Rate{PerSecond: 40, Burst: 8}); ok {
			taken++
		}
	}
	assert.InDelta(t, 100, taken, 12)
}

// A workspace that exceeds its limit at several gateways is admitted in any window
// at most its limit plus what arrives between two exchanges of reports.
func TestGatewaysTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		rate := Rate{PerSecond: rapid.Float64Range(10, 100).Draw(t, "rate")}
		rate.Burst = rate.PerSecond
		demand := rapid.Float64Range(1, 3).Draw(t, "demand") * rate.PerSecond
		const exchange = 200 // ms
		all := make([]*Buckets, gateways)
		for i := range all {
			all[i] = New()
		}
		var admitted []int // per ms
		owed := 0.0
		for ms := range 12_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			owed += demand / 1000
			count := 0
			for ; owed >= 1; owed-- {
				at := rapid.IntRange(0, gateways-1).Draw(t, "at")
				if _, ok := all[at].Take(now, "w", rate); ok {
					count++
				}
			}
			admitted = append(admitted, count)
			if ms%exchange == 0 {
				exchangeReports(all)
			}
		}
		const window = 5000 // ms
		most := rate.PerSecond*window/1000 + rate.Burst + 2*demand*exchange/1000 + 1
		sum := 0
		for ms, count := range admitted {
			sum += count
			if ms >= window {
				sum -= admitted[ms-window]
			}
			require.LessOrEqual(t, float64(sum), most)
		}
	})
}

func exchangeReports(all []*Buckets) {
	for i, from := range all {
		for j, to := range all {
			if i != j {
				to.ApplyReport(fmt.Sprint(i), from.Spent())
			}
		}
	}
}

// Two sources report the same spending: one, then the other, then the first again.
// Guards against counting it twice, which refused all workspaces for a second after
// a gateway had switched back to its former control host (nsl-dakar mix, seed
// 895155291060).
func TestReturningSourceIsNotCountedTwice(t *testing.T) {
	b := New()
	rate := Rate{PerSecond: 100, Burst: 100}
	now := start
	b.Take(now, "w", rate)
	now = now.Add(time.Minute)
	b.ApplyReport("a", map[string]uint64{"w": 1000})
	b.ForgetSource("a")
	b.ApplyReport("b", map[string]uint64{"w": 5000})
	b.ApplyReport("b", map[string]uint64{"w": 5010})
	b.ForgetSource("b")
	b.ApplyReport("a", map[string]uint64{"w": 1500})
	taken := 0
	for {
		if _, ok := b.Take(now, "w", rate); !ok {
			break
		}
		taken++
	}
	assert.InDelta(t, 90, taken, 12, "ten were spent by other gateways")
}

// A gateway that starts during a period of higher load adopts the bucket levels of
// the others. Guards against restarted gateways that refused requests within the
// limit until the load fell (nsl-dakar trouble-1, seed 895155291060).
func TestNewGatewayAdoptsBucketLevels(t *testing.T) {
	rate := Rate{PerSecond: 100, Burst: 100}
	old, fresh := New(), New()
	old.Take(start, "w", rate)
	old.Take(start, "full", rate)
	now := start.Add(time.Minute)
	for range 40 {
		old.Take(now, "w", rate)
	}
	debts := old.Debts(now)
	assert.Equal(t, map[string]float64{"w": 40}, debts)
	fresh.Take(now, "w", rate)
	fresh.ApplyInitialDebts(debts)
	fresh.ApplyInitialDebts(nil)
	for workspace, want := range map[string]int{"w": 60, "full": 100} {
		taken := 0
		for {
			if _, ok := fresh.Take(now, workspace, rate); !ok {
				break
			}
			taken++
		}
		assert.Equal(t, want, taken, workspace)
	}
}
