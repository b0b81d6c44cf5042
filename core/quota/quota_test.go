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
	assert.Equal(t, 5, taken, "no more than the burst is saved up")
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

func TestCutOffGatewaysKeepToTheirShare(t *testing.T) {
	b := New()
	b.Share(4)
	taken := 0
	for ms := range 10_000 {
		if _, ok := b.Take(start.Add(time.Duration(ms)*time.Millisecond), "w", Rate{PerSecond: 40, Burst: 8}); ok {
			taken++
		}
	}
	assert.InDelta(t, 100, taken, 12)
}

// A workspace that asks far beyond its limit at several gateways gets no more
// in any window than its limit and what comes in between two exchanges.
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
				swap(all)
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

func swap(all []*Buckets) {
	for i, from := range all {
		for j, to := range all {
			if i != j {
				to.Learn(fmt.Sprint(i), from.Spent())
			}
		}
	}
}
