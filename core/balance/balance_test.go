package balance

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func draw(t *rapid.T) func(n int) int {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
}

func TestChooseTakesOnlyFreeTargetsAndOwnDataCentreFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{
				Local:       rapid.Bool().Draw(t, "local"),
				InFlight:    rapid.IntRange(0, 4).Draw(t, "inFlight"),
				Capacity:    rapid.IntRange(0, 4).Draw(t, "capacity"),
				Unavailable: rapid.IntRange(0, 3).Draw(t, "busy") == 0,
			}
		}), 0, 12).Draw(t, "candidates")
		anyFree, localFree := false, false
		for i := range candidates {
			anyFree = anyFree || candidates[i].free()
			localFree = localFree || (candidates[i].free() && candidates[i].Local)
		}
		chosen, ok := Choose(candidates, draw(t))
		require.Equal(t, anyFree, ok)
		if ok {
			require.True(t, candidates[chosen].free())
			require.Equal(t, localFree, candidates[chosen].Local)
		}
	})
}

func TestLoadFollowsColdAndWarmCapacity(t *testing.T) {
	l := NewLoad(2, 4)
	require.True(t, l.TryStart(l.Capacity()))
	require.True(t, l.TryStart(l.Capacity()))
	require.False(t, l.TryStart(l.Capacity()))
	l.Finish(true)
	l.Finish(false)
	require.Equal(t, 3, l.Capacity())
	for range 10 {
		require.True(t, l.TryStart(l.Capacity()))
		l.Finish(true)
	}
	require.Equal(t, 4, l.Capacity())
	l.ResetToCold()
	require.Equal(t, 2, l.Capacity())
	l.Refused(1000)
	require.True(t, l.InBackoff(1000+int64(InitialBackoff)-1))
	now := 1000 + int64(InitialBackoff)
	require.False(t, l.InBackoff(now))
	l.Refused(now)
	l.Refused(now + 1)
	require.True(t, l.InBackoff(now+2*int64(InitialBackoff)-1))
	now += 2 * int64(InitialBackoff)
	require.False(t, l.InBackoff(now))
	for range 10 {
		l.Refused(now)
		now += int64(MaxBackoff)
		require.False(t, l.InBackoff(now))
	}
	require.True(t, l.TryStart(l.Capacity()))
	l.Finish(true)
	l.Refused(now)
	require.False(t, l.InBackoff(now+int64(InitialBackoff)))
}

// A workspace that floods the queue does not reduce the weighted share of the
// others.
func TestQueueIsWeightedFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]int{"flood": 1, "a": rapid.IntRange(1, 4).Draw(t, "a"), "b": rapid.IntRange(1, 4).Draw(t, "b")}
		q := NewQueue[string](10_000)
		order := uint64(0)
		push := func(workspace string, n int) {
			for range n {
				order++
				q.Push(workspace, weights[workspace], order, workspace)
			}
		}
		push("flood", 2000)
		served := make(map[string]int)
		for range rapid.IntRange(0, 50).Draw(t, "before") {
			q.Pop()
		}
		push("a", 500)
		push("b", 500)
		rounds := 30 * (1 + weights["a"] + weights["b"])
		for range rounds {
			workspace, ok := q.Pop()
			require.True(t, ok)
			served[workspace]++
		}
		for workspace, weight := range weights {
			require.InDelta(t, 30*weight, served[workspace], float64(weight+2), workspace)
		}
	})
}

func TestFullQueueEvictsFromTheLongestFlow(t *testing.T) {
	q := NewQueue[int](10)
	for i := range 10 {
		_, full := q.Push("flood", 1, uint64(i), i)
		require.False(t, full)
	}
	evicted, full := q.Push("small", 1, 100, 100)
	require.True(t, full)
	require.Equal(t, 9, evicted)
	evicted, full = q.Push("flood", 1, 101, 101)
	require.True(t, full)
	require.Equal(t, 101, evicted)
	require.Equal(t, 10, q.Len())
	require.True(t, q.Remove("small", 100))
	require.False(t, q.Remove("small", 100))
}

func TestQueueKeepsArrivalOrderWithinWorkspace(t *testing.T) {
	q := NewQueue[int](10)
	for _, order := range []int{3, 1, 2} {
		q.Push("a", 1, uint64(order), order)
	}
	for want := 1; want <= 3; want++ {
		first, _ := q.Peek()
		got, _ := q.Pop()
		require.Equal(t, want, got)
		require.Equal(t, first, got)
	}
	_, ok := q.Pop()
	require.False(t, ok)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 12, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = Candidate{Local: i%3 == 0, InFlight: i % 5, Capacity: 16}
			}
			var state atomic.Uint64
			next := func(n int) int { return int(state.Add(0x9e3779b97f4a7c15) >> 33 % uint64(n)) }
			b.ReportAllocs()
			for b.Loop() {
				Choose(candidates, next)
			}
		})
	}
}
