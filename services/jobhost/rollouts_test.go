package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/replicated"
	"banyanwalk/services/standin"
)

// setPhase pushes a catalog with a rollout to version v2.
func (f *fixture) setPhase(phase rollout.Phase) {
	id, err := replicated.ID(f.host.cfg.Addr)
	require.NoError(f.t, err)
	f.revision++
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: f.revision, Version: f.revision,
		InitialHosts: []uint64{id}, Rollouts: []rollout.Rollout{{Service: "llm", Version: "v2", Phase: phase}}}, nil)})
	f.follower.Gate.Confirm("llm", "v2", time.Now().Add(time.Hour)) // the leader stays within reach
}

// Guards against a broker and a runner that place requests and items at a version
// beyond its grants or against the phase, and against evidence of items that is lost.
func TestBrokerAndItemsFollowRollout(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3}, standin.Behaviour{Events: 3})
	f.targets[1].SetVersion("v2")
	f.report(0, "v1", roster.Ready)
	f.report(1, "v2", roster.Ready)
	f.setPhase(rollout.Canary)
	require.NoError(t, f.submit("a", 12))
	f.waitForResults("a", 12)
	assert.Len(t, f.targets[0].Runs(), 12)
	evidence := f.follower.Gate.Report()
	require.Len(t, evidence, 2)
	assert.Equal(t, rollout.Evidence{Service: "llm", Version: "v1", Requests: 12}, evidence[0])
	assert.Equal(t, rollout.Evidence{Service: "llm", Version: "v1", Route: "lots", Answers: 12, Slow: evidence[1].Slow}, evidence[1])

	f.follower.Gate.AddGrant("llm", "v2", 1, time.Now().Add(time.Hour))
	assert.Equal(t, "v2", f.begin(1, "s1", nil), "the broker spends its grant")
	assert.Equal(t, "v1", f.begin(2, "s2", nil))

	f.setPhase(rollout.Finishing)
	assert.Equal(t, "v2", f.begin(3, "s3", nil))
	old := "v1"
	assert.Equal(t, "v1", f.begin(4, "s2", &old), "a stream goes on where it began")
	_, err := f.host.broker.release(t.Context(), &rpc.SlotRelease{IDs: []rpc.SlotID{{Incarnation: 1, Number: 1}, {Incarnation: 1, Number: 3}}})
	require.NoError(t, err)
	require.NoError(t, f.submit("b", 6))
	f.waitForResults("b", 6)
	assert.Len(t, f.targets[0].Runs(), 12, "no new items at the old version")

	f.setPhase(rollout.Reverted)
	ran := len(f.targets[1].Runs())
	require.NoError(t, f.submit("c", 6))
	f.waitForResults("c", 6)
	assert.Len(t, f.targets[1].Runs(), ran, "a reverted version gets no items")
}

// Guards against an item that goes on at another version while a rollout finishes.
func TestItemStaysWithItsVersionDuringRollout(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 6, BreakAfter: 3, Mark: "-v1"}, standin.Behaviour{Events: 6, Mark: "-v2"})
	f.report(0, "v1", roster.Ready)
	f.report(1, "v2", roster.Ready)
	f.setPhase(rollout.Canary)
	f.targets[0].SetBehaviour(func(string) standin.Behaviour {
		return standin.Behaviour{Events: 6, Mark: "-v1", Pause: 100 * time.Millisecond, BreakAfter: 3}
	})
	require.NoError(t, f.submit("a", 1))
	require.Eventually(t, func() bool { return len(f.targets[0].Runs()) == 1 }, eventuallyTimeout, time.Millisecond)
	time.Sleep(150 * time.Millisecond) // until an event has come
	f.setPhase(rollout.Finishing)
	results := f.waitForResults("a", 1)
	assert.NotContains(t, results[0].Text, "-v2")
	assert.Empty(t, f.targets[1].Runs())
}
