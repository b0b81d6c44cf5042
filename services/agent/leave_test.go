package agent

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/engine"
)

func TestAgentShutdownFinishesInFlightRequests(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 8, TokenTime: 2 * time.Millisecond})
	checkLeaving(t, b, s, b.stop)
	require.NoError(t, <-b.stopped)
	heartbeats := b.control.heartbeats
	assert.True(t, heartbeats[len(heartbeats)-1].Leaving)
}

func TestLeavingTargetFinishesInFlightRequests(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 8, TokenTime: 2 * time.Millisecond})
	checkLeaving(t, b, s, s.stop)
	b.eventually(func() bool { _, found := b.agent.findTarget(s.id); return !found }, "target gone")
	assert.Empty(t, b.control.crashReports())
}

// checkLeaving makes the agent or the target leave while requests run. The running
// ones must complete, and a new one must be refused without reaching the target.
func checkLeaving(t *testing.T, b *harness, s *testEngine, leave func()) {
	t.Helper()
	opens := make([]rpc.ExecuteOpen, 4)
	results := make([]result, len(opens))
	var wg conc.WaitGroup
	for i := range opens {
		opens[i] = b.chat(s, string(rune('a'+i)), 300, i%2 == 0)
		wg.Go(func() { results[i] = b.run(t.Context(), opens[i]) })
	}
	b.eventually(func() bool { return s.Stats().Running == len(opens) }, "requests run")
	leave()
	b.eventually(func() bool { return !b.admitting(s.id) }, "leaving")
	late := b.chat(s, "x", 1, false)
	r := b.run(t.Context(), late)
	require.NotNil(t, r.err)
	assert.Equal(t, outcome.TargetLeaving, r.err.Code)
	assert.Equal(t, outcome.NotRun, r.err.Outcome)
	wg.Wait()
	for i, r := range results {
		require.Nil(t, r.err)
		assert.True(t, r.complete)
		assert.Equal(t, expectedText(t, opens[i]), r.text(t))
	}
	assert.Zero(t, s.Stats().Received[late.ID.RequestID])
}
