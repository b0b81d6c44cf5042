package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/placement"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// The broker sees no responses. Guards against what gateways have seen of targets being
// lost on the way to its choice, with a report of another process of the target.
func TestBrokerLearnsFromReleases(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 1}, standin.Behaviour{Events: 1})
	acquire := func(n uint64) *rpc.SlotGrant {
		granted, err := f.host.broker.acquire(t.Context(), &rpc.SlotRequest{ID: rpc.SlotID{Incarnation: 1, Number: n}, Service: "llm", RemainingMS: 60_000})
		require.NoError(t, err)
		return granted
	}
	assert.Zero(t, acquire(1).Pace)
	load := func(target string, incarnation int64, pace int) placement.LoadReport {
		return placement.LoadReport{Target: target, Incarnation: incarnation, Load: placement.TargetLoad{Running: 1, Slots: targetSlots, PacePercent: pace}}
	}
	_, err := f.host.broker.release(t.Context(), &rpc.SlotRelease{IDs: []rpc.SlotID{{Incarnation: 1, Number: 1}},
		Loads: []placement.LoadReport{load("t0", 1, 400), load("t1", 1, 100), load("t1", 99, 900)}})
	require.NoError(t, err)
	got := map[string]int{}
	for n := range uint64(targetSlots / 2) {
		granted := acquire(10 + n)
		got[granted.Target]++
		assert.Positive(t, granted.Pace)
	}
	assert.Greater(t, got["t1"], got["t0"])
	assert.InDelta(t, 400, f.follower.Targets.ExpectedPace(time.Now(), "t0"), 40)
}

// Guards against a broker that places more tokens than a target can hold, or loses count
// of them when requests and items end.
func TestBrokerCountsTokens(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 2})
	acquire := func(n uint64, tokens int64) error {
		_, err := f.host.broker.acquire(t.Context(), &rpc.SlotRequest{ID: rpc.SlotID{Incarnation: 1, Number: n}, Service: "llm", RemainingMS: 60_000, Tokens: tokens})
		return err
	}
	release := func(n uint64) {
		_, err := f.host.broker.release(t.Context(), &rpc.SlotRelease{IDs: []rpc.SlotID{{Incarnation: 1, Number: n}}})
		require.NoError(t, err)
	}
	require.NoError(t, acquire(1, 7000))
	require.NoError(t, acquire(2, 0))
	require.Error(t, acquire(3, 60_000))
	assert.Equal(t, int64(7000), f.follower.Targets.OwnLoads(0)["t0"].Tokens)
	release(1)
	release(2)
	require.NoError(t, f.submit("j", 3))
	f.waitForResults("j", 3)
	assert.Eventually(t, func() bool { return len(f.follower.Targets.OwnLoads(0)) == 0 }, eventuallyTimeout, time.Millisecond)
	assert.Eventually(t, func() bool { return acquire(4, 60_000) == nil }, eventuallyTimeout, 10*time.Millisecond, "to the empty target, once the new broker knows the loads")
	require.Error(t, acquire(5, 10_000))
	require.NoError(t, acquire(6, 0))
}
