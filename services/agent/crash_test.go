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

func TestPoisonCrashesTwoTargetsAtMost(t *testing.T) {
	b := newHarness(t)
	cfg := engine.Config{WarmCapacity: 8, TokenTime: 2 * time.Millisecond}
	var targets []*testEngine
	for _, name := range []string{"e1", "e2", "e3"} {
		cfg.Name = name
		targets = append(targets, b.start(cfg))
	}
	var wg conc.WaitGroup
	neighbours := make([]rpc.ExecuteOpen, 3)
	results := make([]result, len(neighbours))
	for i := range neighbours {
		neighbours[i] = b.chat(targets[0], string(rune('a'+i)), 300, true)
		wg.Go(func() { results[i] = b.run(t.Context(), neighbours[i]) })
	}
	b.eventually(func() bool { return targets[0].Stats().Running == len(neighbours) }, "neighbours run")

	poison := b.chat(targets[0], "POISON", 1, false)
	crashed := b.run(t.Context(), poison)
	require.NotNil(t, crashed.err)
	assert.Equal(t, outcome.MayHaveRun, crashed.err.Outcome)
	assert.Equal(t, outcome.TargetCrashed, crashed.err.Code)
	reports := b.control.crashReports()
	require.Len(t, reports, 1, "reported before the answer")
	assert.Len(t, reports[0].Suspects, len(neighbours)+1)
	assert.False(t, reports[0].Isolated)
	wg.Wait()

	// A gateway retries each request on another target, where it runs isolated.
	// The neighbours succeed; the poison request crashes that target too and is
	// quarantined.
	for i := range neighbours {
		require.NotNil(t, results[i].err)
		again := neighbours[i]
		again.ID.Attempt, again.ID.Target = 2, targets[1].id
		r := b.run(t.Context(), again)
		require.Nil(t, r.err)
		assert.Equal(t, expectedText(t, again), r.text(t))
	}
	poison.ID.Attempt, poison.ID.Target = 2, targets[1].id
	require.NotNil(t, b.run(t.Context(), poison).err)
	require.Len(t, b.control.crashReports(), 2)
	assert.True(t, b.control.crashReports()[1].Isolated)
	for _, s := range targets {
		b.eventually(func() bool { return b.admitting(s.id) }, "back")
		resent := b.chat(s, "POISON", 1, false)
		r := b.run(t.Context(), resent)
		require.NotNil(t, r.err)
		assert.Equal(t, outcome.Quarantined, r.err.Code)
		assert.Equal(t, outcome.NotRun, r.err.Outcome)
	}
	assert.Equal(t, []int{1, 1, 0}, []int{targets[0].Stats().Crashes, targets[1].Stats().Crashes, targets[2].Stats().Crashes})
}

func TestAgentRemembersSuspectsWithoutControl(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 8})
	poison := b.chat(s, "POISON", 1, false)
	require.NotNil(t, b.run(t.Context(), poison).err)
	b.clearVerdicts()
	b.eventually(func() bool { return b.admitting(s.id) }, "back")
	again := b.chat(s, "POISON", 1, false)
	require.NotNil(t, b.run(t.Context(), again).err)
	reports := b.control.crashReports()
	require.Len(t, reports, 2)
	assert.True(t, reports[1].Isolated)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 8})
	s.restart.Store(false)
	s.Inject(engine.Faults{Crash: true})
	b.eventually(func() bool { return !b.admitting(s.id) }, "down")
	open := b.chat(s, "x", 1, false)
	r := b.run(t.Context(), open)
	require.NotNil(t, r.err)
	assert.Equal(t, outcome.TargetFailed, r.err.Code)
	assert.Equal(t, outcome.NotRun, r.err.Outcome)
	assert.Zero(t, s.Stats().Received[open.ID.RequestID])
	b.eventually(func() bool { _, known := b.control.View().Target(s.id); return !known || len(b.agent.Targets()) == 0 }, "gateways don't see it")
}

func TestSilentTargetFailsItsRequests(t *testing.T) {
	b := newHarnessWith(t, Config{AnnounceTTL: 1500 * time.Millisecond})
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 8})
	s.Inject(engine.Faults{FreezeMS: 4000})
	r := b.run(t.Context(), b.chat(s, "x", 1, false))
	require.NotNil(t, r.err)
	assert.Equal(t, outcome.TargetFailed, r.err.Code)
	assert.Equal(t, outcome.MayHaveRun, r.err.Outcome)
	b.eventually(func() bool { return b.admitting(s.id) }, "back after the freeze")
	assert.Nil(t, b.run(t.Context(), b.chat(s, "x", 1, false)).err)
	assert.Empty(t, b.control.crashReports())
}
