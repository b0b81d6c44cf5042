package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/roster"
)

func newTargets(ids ...string) *Targets {
	targets := New("a")
	records := make([]*roster.Record, 0, len(ids))
	for _, id := range ids {
		records = append(records, record(id, "a"))
	}
	targets.SetRecords(records)
	return targets
}

func namePace(t *Targets, now time.Time, id string, percent int) {
	t.ObserveLoad(now, t.byID[id], TargetLoad{Running: 1, Slots: 8, PacePercent: percent})
}

func acquireNext(t *Targets, now time.Time) string {
	r, _ := t.Acquire(now, Query{Service: "llm", MaxQueue: 2})
	if r == nil {
		return ""
	}
	return r.ID
}

// Guards against a change for deployments whose targets name no pace and are about
// equally fast: readings and runs must not change a single choice there.
func TestEqualTargetsArePlacedAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"t0", "t1", "t2", "t3", "t4", "t5"}
		before, after := newTargets(ids...), newTargets(ids...)
		now := start
		var held []string
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(held) > 0 && rapid.Bool().Draw(t, "releases") {
				id := held[0]
				held = held[1:]
				before.Release(id, false)
				after.Release(id, false)
				after.ObserveLoad(now, after.byID[id], TargetLoad{Running: rapid.IntRange(0, 9).Draw(t, "running"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"), Slots: 8})
				after.ObserveRun(now, RunReport{Target: id, Incarnation: 1, Fill: rapid.IntRange(1, 10).Draw(t, "fill"),
					FirstMS: rapid.Int64Range(5, 500).Draw(t, "first"), EventUS: rapid.Int64Range(18_000, 23_000).Draw(t, "event"), RanMS: 600})
				continue
			}
			want := acquireNext(before, now)
			require.Equal(t, want, acquireNext(after, now))
			if want != "" {
				held = append(held, want)
			}
		}
	})
}

// Guards against a service that is never recognized as one whose targets differ, and
// against one that stays so.
func TestLearnedSpeedsDecideWithoutPace(t *testing.T) {
	targets := newTargets("fast", "slow")
	now := start
	run := func(id string, us int64) {
		now = now.Add(20 * time.Millisecond)
		targets.ObserveRun(now, RunReport{Target: id, Incarnation: 1, Fill: 1, FirstMS: 20, EventUS: us, RanMS: 600})
	}
	for range minRuns + 30 {
		run("fast", 12_000)
		run("slow", 30_000)
	}
	require.True(t, targets.choosesBySpeed(now, "llm"))
	got := map[string]int{}
	for range 5 {
		got[acquireNext(targets, now)]++
	}
	assert.Greater(t, got["fast"], 2*got["slow"])
	for range 300 {
		run("fast", 12_000)
		run("slow", 12_500)
	}
	assert.False(t, targets.choosesBySpeed(now, "llm"))
}

// Guards against slow periods that are noticed late or remembered for long.
func TestSlowPeriodIsDetectedAndForgotten(t *testing.T) {
	targets := newTargets("a", "b")
	now := start
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		namePace(targets, now, "a", 100)
		namePace(targets, now, "b", 100)
	}
	namePace(targets, now.Add(time.Millisecond), "a", 250)
	assert.InDelta(t, 250, targets.ExpectedPace(now.Add(time.Millisecond), "a"), 1, "one response")
	assert.Equal(t, "b", acquireNext(targets, now.Add(2*time.Millisecond)))
	assert.Equal(t, "b", acquireNext(targets, now.Add(2*time.Millisecond)))
	assert.Less(t, targets.ExpectedPace(now.Add(time.Second), "a"), 125, "a reading a second old says little")
	namePace(targets, now.Add(100*time.Millisecond), "a", 100)
	assert.InDelta(t, 100, targets.ExpectedPace(now.Add(100*time.Millisecond), "a"), 1, "forgotten as fast")
	targets.ApplyLoad(now.Add(120*time.Millisecond), LoadReport{Target: "a", Incarnation: 1, AgeMS: 90, Load: TargetLoad{Slots: 8, PacePercent: 900}})
	assert.InDelta(t, 100, targets.ExpectedPace(now.Add(120*time.Millisecond), "a"), 1, "an older reading that arrives later does not count")
	targets.ApplyLoad(now.Add(130*time.Millisecond), LoadReport{Target: "a", Incarnation: 0, Load: TargetLoad{Slots: 8, PacePercent: 900}})
	assert.InDelta(t, 100, targets.ExpectedPace(now.Add(130*time.Millisecond), "a"), 1, "nor one of another incarnation")
}

// Guards against full load on a target that has just restarted.
func TestRestartedTargetStartsModestly(t *testing.T) {
	targets := newTargets("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		namePace(targets, start, id, 100)
		targets.speeds[id].limit.value = 8
	}
	restarted := record("a", "a")
	restarted.Incarnation = 2
	targets.SetRecords([]*roster.Record{restarted, targets.byID["b"], targets.byID["c"]})
	got := map[string]int{}
	for range 19 {
		got[acquireNext(targets, start)]++
	}
	assert.LessOrEqual(t, got["a"], 5, "b and c have free slots still")
	for n := range 100 {
		targets.ObserveRun(start.Add(time.Duration(n)*time.Millisecond), RunReport{Target: "a", Incarnation: 2, Fill: 8, FirstMS: 20, EventUS: 20_000, RanMS: 600})
	}
	assert.InDelta(t, 8, targets.limitOfSlots(restarted), 0.01, "it rises to the slots while latency holds, and not above")
	for range 100 {
		targets.Failed(start, "a")
	}
	assert.InDelta(t, 1, targets.limitOfSlots(restarted), 0.01, "never below one")
}

// Guards against a target that is given no request again because it was slow once.
func TestUnaskedTargetIsTriedAgain(t *testing.T) {
	targets := newTargets("fast", "slow")
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for id, us := range map[string]int64{"fast": 10_000, "slow": 300_000} {
			namePace(targets, now, id, 100)
			targets.ObserveRun(now, RunReport{Target: id, Incarnation: 1, Fill: 1, FirstMS: 20, EventUS: us, RanMS: 600})
		}
	}
	tried := time.Duration(0)
	for tried == 0 {
		now = now.Add(100 * time.Millisecond)
		namePace(targets, now, "fast", 100)
		targets.ObserveRun(now, RunReport{Target: "fast", Incarnation: 1, Fill: 1, FirstMS: 20, EventUS: 10_000, RanMS: 600})
		first, second := acquireNext(targets, now), acquireNext(targets, now)
		targets.Release(first, false)
		targets.Release(second, false)
		if first == "slow" || second == "slow" {
			tried = now.Sub(start)
		}
		require.Less(t, now.Sub(start), time.Minute)
	}
	t.Log("tried again after", tried-time.Second)
	assert.Greater(t, tried, 2*time.Second, "it is avoided for a while")
}

// Guards against a target whose header lies drawing load from, or pushing load to, the
// others: their requests stay as fast and in time as when it tells the truth.
func TestLyingHeaderHarmsOnlyItsTarget(t *testing.T) {
	honest := replayScenario{name: "honest", mean: 200, withPace: true, liar: "t00", lie: func(*rand.Rand) TargetLoad {
		return TargetLoad{Running: 4, Slots: 8, PacePercent: 100}
	}}
	reference := replay(honest, newByTargets(true), replayRecords(), 11)
	for name, lie := range map[string]func(*rand.Rand) TargetLoad{
		"pace of 1 always": func(*rand.Rand) TargetLoad { return TargetLoad{Slots: 8, PacePercent: 1} },
		"huge pace":        func(*rand.Rand) TargetLoad { return TargetLoad{Slots: 8, PacePercent: 1_000_000} },
		"huge figures": func(*rand.Rand) TargetLoad {
			return TargetLoad{Running: 1e6, Waiting: 1e6, Slots: 1e6, PacePercent: 100}
		},
		"one slot, waiting": func(*rand.Rand) TargetLoad { return TargetLoad{Running: 1, Waiting: 9, Slots: 1, PacePercent: 100} },
		"random": func(rng *rand.Rand) TargetLoad {
			return TargetLoad{Running: rng.IntN(1000), Waiting: rng.IntN(3), Slots: 1 + rng.IntN(100), PacePercent: 1 + rng.IntN(100_000)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := honest
			s.lie = lie
			got := replay(s, newByTargets(true), replayRecords(), 11)
			t.Log("honest", reference, "at the target", reference.atLiar)
			t.Log("lies  ", got, "at the target", got.atLiar)
			assert.LessOrEqual(t, got.p50, 1.05*reference.p50)
			assert.LessOrEqual(t, got.p99, 1.05*reference.p99)
			assert.GreaterOrEqual(t, got.inTime, reference.inTime-0.001)
			assert.Less(t, got.atLiar, 3*reference.atLiar)
		})
	}
}

// Guards against all gateways choosing the same target while there is no broker.
func TestGatewaysWithoutBrokerSpread(t *testing.T) {
	chosen := map[string]int{}
	for g := range 21 {
		targets := newTargets("a", "b", "c", "d", "e", "f")
		targets.ShareLimits(fmt.Sprint("gateway-", g))
		for id := range targets.byID {
			namePace(targets, start, id, 100)
		}
		chosen[acquireNext(targets, start)]++
	}
	for id, count := range chosen {
		assert.LessOrEqual(t, count, 9, id)
	}
	assert.GreaterOrEqual(t, len(chosen), 4)
}

// Guards against a service whose requests differ widely being taken for one whose
// targets do, which would change how its requests are placed.
func TestRequestsThatDifferAreNoTargetsThatDiffer(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var ids []string
		for i := range 42 {
			ids = append(ids, fmt.Sprint("t", i))
		}
		targets := newTargets(ids...)
		now, wrong, looks := start, 0, 0
		for range 200 * len(ids) {
			now = now.Add(5 * time.Millisecond)
			id := ids[rng.IntN(len(ids))]
			targets.ObserveRun(now, RunReport{Target: id, Incarnation: 1, Fill: 1 + rng.IntN(8), FirstMS: int64(100 * math.Exp(0.5*rng.NormFloat64())), RanMS: 100})
			looks++
			if targets.choosesBySpeed(now, "llm") {
				wrong++
			}
		}
		assert.Zero(t, wrong, "of %d", looks)
	}
}
