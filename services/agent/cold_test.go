package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/engine"
)

// TestColdTargetIsNeverOverloaded crashes a target several times under constant
// online and batch load. The test engine counts each request that arrives above
// its current capacity while it warms up; there must be none.
func TestColdTargetIsNeverOverloaded(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{
		Name: "e1", WarmCapacity: 8, ColdCapacity: 2, WarmupRequests: 30,
		TokenTime: 200 * time.Microsecond, Overload: engine.OverloadRecord,
	})
	const answersPerProcess, processes = 120, 4
	var answered atomic.Int64
	var stop atomic.Bool
	var wg conc.WaitGroup
	for range 12 {
		wg.Go(func() {
			for !stop.Load() {
				if b.run(t.Context(), b.chat(s, b.prompt(), 4, true)).err == nil {
					answered.Add(1)
				}
			}
		})
	}
	for range 8 {
		wg.Go(func() {
			for !stop.Load() {
				if _, err := b.agent.RunBatch(t.Context(), b.chat(s, b.prompt(), 4, true)); err != nil {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	for n := int64(1); n <= processes; n++ {
		b.eventually(func() bool { return answered.Load() >= n*answersPerProcess }, "answers")
		if n < processes {
			s.Inject(engine.Faults{Crash: true})
		}
	}
	stop.Store(true)
	wg.Wait()
	stats := s.Stats()
	assert.Equal(t, processes-1, stats.Crashes)
	assert.Zero(t, stats.Overloads)
	assert.Greater(t, stats.MaxRunning, 2, "the target has warmed up")
}

// TestSilentRestartIsCold restarts the target while no request is in flight, so
// that only the watch connection shows the restart.
func TestSilentRestartIsCold(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4, ColdCapacity: 1, WarmupRequests: 8, Overload: engine.OverloadRecord})
	for range 10 {
		assert.Nil(t, b.run(t.Context(), b.chat(s, "x", 1, false)).err)
	}
	limit := b.limit(s.id)
	assert.Equal(t, 4, limit())
	s.Inject(engine.Faults{Crash: true})
	b.eventually(func() bool { return limit() == 1 }, "cold")
	b.eventually(func() bool { return b.admitting(s.id) }, "back")
	assert.Nil(t, b.run(t.Context(), b.chat(s, "x", 1, false)).err)
	assert.Zero(t, s.Stats().Overloads)
}

// limit returns a function that returns the target's current admission limit.
func (h *harness) limit(id fleet.TargetID) func() int {
	tgt, found := h.agent.findTarget(id)
	require.True(h.t, found)
	return func() int {
		tgt.mu.Lock()
		defer tgt.mu.Unlock()
		return tgt.gate.Limit()
	}
}

// TestReplacedTargetIsColdBeforeItAnnouncesItself replaces the process behind a
// target's address by a cold one that has not announced itself yet. It must not
// get the warm process's load.
func TestReplacedTargetIsColdBeforeItAnnouncesItself(t *testing.T) {
	b := newHarness(t)
	front, back := listen(t), listen(t)
	proxy := startFaultyLink(t, front, back.Addr().String())
	cfg := engine.Config{Name: "e1", WarmCapacity: 6, ColdCapacity: 1, WarmupRequests: 8, Overload: engine.OverloadRecord, TokenTime: time.Millisecond}
	cfg.AdvertiseAddress = front.Addr().String()
	s := b.startOn(back, cfg)
	for range 10 {
		require.Nil(t, b.run(t.Context(), b.chat(s, b.prompt(), 1, false)).err)
	}
	limit := b.limit(s.id)
	require.Equal(t, 6, limit())

	s.Inject(engine.Faults{FreezeMS: 4000}) // a frozen engine sends no announcements
	replacement := engine.New(cfg, telemetry.Discard())
	next := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = replacement.Run(ctx, next) })
	proxy.redirect(next.Addr().String())
	b.eventually(func() bool { return limit() == 1 }, "limited to cold capacity")
	var requests conc.WaitGroup
	for range 12 {
		requests.Go(func() { b.run(t.Context(), b.chat(s, b.prompt(), 3, false)) })
	}
	requests.Wait()
	assert.NotEmpty(t, replacement.Stats().Received)
	assert.Zero(t, replacement.Stats().Overloads)
	proxy.redirect(back.Addr().String())
}

func TestRefusedConnectionResetsToCold(t *testing.T) {
	b := newHarness(t)
	front, back := listen(t), listen(t)
	proxy := startFaultyLink(t, front, back.Addr().String())
	cfg := engine.Config{Name: "e1", WarmCapacity: 6, ColdCapacity: 1, WarmupRequests: 8, AdvertiseAddress: front.Addr().String()}
	s := b.startOn(back, cfg)
	for range 10 {
		require.Nil(t, b.run(t.Context(), b.chat(s, b.prompt(), 1, false)).err)
	}
	limit := b.limit(s.id)
	require.Equal(t, 6, limit())
	proxy.close()
	tgt, _ := b.agent.findTarget(s.id)
	b.eventually(func() bool {
		tgt.mu.Lock()
		defer tgt.mu.Unlock()
		return tgt.down
	}, "down")
	again, err := net.Listen("tcp", front.Addr().String())
	require.NoError(t, err)
	proxy.open(again)
	b.eventually(func() bool { return b.admitting(s.id) }, "back")
	assert.Equal(t, 1, limit(), "the same incarnation is cold after refused connections")
}

// TestTargetThatTurnsColdWithoutWarningRecovers makes a warm target cold without
// a restart, so that it fails under load that it handled before. The agent must
// reduce the load and then warm the target up again.
func TestTargetThatTurnsColdWithoutWarningRecovers(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{
		Name: "e1", WarmCapacity: 6, ColdCapacity: 1, WarmupRequests: 12, TokenTime: time.Millisecond, FailDuration: 300 * time.Millisecond,
	})
	for range 14 {
		require.Nil(t, b.run(t.Context(), b.chat(s, b.prompt(), 1, false)).err)
	}
	limit := b.limit(s.id)
	require.Equal(t, 6, limit())
	var stop atomic.Bool
	var answered atomic.Int64
	var requests conc.WaitGroup
	for range 6 {
		requests.Go(func() {
			for !stop.Load() {
				if b.run(t.Context(), b.chat(s, b.prompt(), 3, false)).err == nil {
					answered.Add(1)
				}
			}
		})
	}
	b.eventually(func() bool { return answered.Load() > 12 }, "warm")
	s.Inject(engine.Faults{ResetToCold: true})
	b.eventually(func() bool { return s.Stats().Overloads > 0 }, "overloaded")
	b.eventually(func() bool { return limit() == 1 }, "cold")
	overloads, before := s.Stats().Overloads, answered.Load()
	b.eventually(func() bool { return answered.Load() > before+40 && limit() == 6 }, "warm again")
	stop.Store(true)
	requests.Wait()
	assert.LessOrEqual(t, s.Stats().Overloads, overloads+1, "it is overloaded once")
}
