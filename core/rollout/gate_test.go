package rollout

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// testClock is a clock that tests set.
type testClock struct{ at atomic.Int64 }

func (c *testClock) now() time.Time          { return time.Unix(0, c.at.Load()) }
func (c *testClock) advance(d time.Duration) { c.at.Add(int64(d)) }

func canary() Rollout {
	return Rollout{Service: "llm", Version: "v2", Phase: Canary, StartedMS: 1, DurationMS: 60_000}
}

func newTestGate(r Rollout) (*Gate, *testClock) {
	clock := &testClock{}
	g := NewGate(clock.now)
	g.SetRollouts([]Rollout{r})
	return g, clock
}

// Guards against a new version that gets more requests than were granted, when many
// requests are placed at the same time.
func TestNewVersionGetsGrantedRequestsOnly(t *testing.T) {
	g, clock := newTestGate(canary())
	g.AddGrant("llm", "v2", 40, clock.now().Add(time.Second))
	g.AddGrant("llm", "v2", 25, clock.now().Add(time.Minute))
	g.AddGrant("llm", "v3", 100, clock.now().Add(time.Minute))
	var admitted, old atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				if g.Admit("llm", "v2") {
					admitted.Add(1)
				}
				if g.Admit("llm", "v1") {
					old.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, int64(65), admitted.Load())
	assert.Equal(t, int64(8000), old.Load())
	assert.Len(t, g.Short(), 1, "grants have run out")
	assert.Equal(t, []Evidence{{Service: "llm", Version: "v1", Requests: 8000}, {Service: "llm", Version: "v2", Requests: 65}}, g.Report(),
		"the leader can tell which grants were spent")
	assert.True(t, g.Admit("other", "v2"), "a service without a rollout")
}

// Guards against a process that spends grants of long ago when it resumes.
func TestSuspendedProcessSpendsNoOldGrant(t *testing.T) {
	g, clock := newTestGate(canary())
	sentAt := clock.now()
	g.AddGrant("llm", "v2", 10, sentAt.Add(2*time.Second))
	assert.True(t, g.Admit("llm", "v2"))
	clock.advance(5 * time.Second)
	assert.False(t, g.Service("llm").Allows("v2", false))
	assert.False(t, g.Admit("llm", "v2"))
	g.AddGrant("llm", "v2", 10, sentAt.Add(2*time.Second)) // response to a call from before the suspension
	assert.False(t, g.Admit("llm", "v2"))
	assert.Equal(t, []Wanted{{Service: "llm", Version: "v2", Requests: 19}}, g.TakeExpired())
	assert.Empty(t, g.TakeExpired())
}

// Guards against requests to a version that the phase bars, and against streams that
// cannot go on where they began.
func TestPhaseDecidesVersions(t *testing.T) {
	for _, c := range []struct {
		phase                         Phase
		old, oldResumed, new, resumed bool
	}{
		{Canary, true, true, false, false}, // without a grant
		{Finishing, false, true, true, true},
		{Completed, false, false, true, true},
		{Reverted, true, true, false, false},
		{Reverted + 1, true, true, false, false}, // of a later build
	} {
		g, clock := newTestGate(canary())
		g.AddGrant("llm", "v2", 5, clock.now().Add(time.Minute))
		r := canary()
		r.Phase = c.phase
		if c.phase != Canary {
			g.SetRollouts([]Rollout{r})
			r.Phase = c.phase
		} else {
			clock.advance(time.Hour)
		}
		s := g.Service("llm")
		for _, check := range []struct {
			version         string
			resumed, expect bool
		}{{"v1", false, c.old}, {"v1", true, c.oldResumed}, {"v2", false, c.new}, {"v2", true, c.resumed}} {
			assert.Equal(t, check.expect, s.Allows(check.version, check.resumed), "%s %+v", c.phase, check)
			assert.Equal(t, check.expect, s.Admit(check.version, check.resumed), "%s %+v", c.phase, check)
		}
	}
}

// Guards against a process that is cut off from control while a rollout finishes, and
// sends all its requests to a version that turns out to be bad.
func TestCutOffProcessReturnsToOldVersion(t *testing.T) {
	r := canary()
	r.Phase = Finishing
	g, clock := newTestGate(r)
	for range 20 {
		clock.advance(250 * time.Millisecond)
		g.Confirm("llm", "v2", clock.now().Add(finishingLease))
		assert.False(t, g.Admit("llm", "v1"))
		assert.False(t, g.Serves("llm", "v1"))
	}
	clock.advance(finishingLease + time.Millisecond)
	assert.True(t, g.Admit("llm", "v1"))
	assert.True(t, g.Admit("llm", "v2"), "if the old targets have ended")
	g.Confirm("llm", "v2", clock.now().Add(finishingLease))
	assert.False(t, g.Admit("llm", "v1"))
	r.Phase = Completed
	g.SetRollouts([]Rollout{r})
	clock.advance(time.Hour)
	assert.False(t, g.Admit("llm", "v1"), "the final phase needs no confirmation")
}

// Guards against grants of a reverted rollout that a second one of the same version
// spends.
func TestGrantsEndWithTheirRollout(t *testing.T) {
	g, clock := newTestGate(canary())
	g.AddGrant("llm", "v2", 5, clock.now().Add(time.Minute))
	second := canary()
	second.StartedMS = 2
	g.SetRollouts([]Rollout{second})
	assert.False(t, g.Admit("llm", "v2"))
}

// Guards against evidence that takes a slow route for a slow version, misses a slow
// version, or grows without bound.
func TestEvidenceComparesVersionsByRoute(t *testing.T) {
	g, _ := newTestGate(canary())
	observe := func(version, route string, latency, gap time.Duration) {
		g.Observe("llm", version, route, Answer{Latency: latency, Gap: gap})
	}
	for n := range 40 {
		observe("v1", "fast", time.Duration(18+n%5)*time.Millisecond, 5*time.Millisecond)
		observe("v1", "slow", 400*time.Millisecond, 0)
		observe("v2", "slow", 420*time.Millisecond, 0)
	}
	for range 10 {
		observe("v2", "fast", 21*time.Millisecond, 5*time.Millisecond)
		observe("v2", "fast", 80*time.Millisecond, 5*time.Millisecond)
		observe("v2", "fast", 20*time.Millisecond, 30*time.Millisecond)
		g.Observe("llm", "v2", "fast", Answer{Failed: true})
		g.ObserveAborted("llm", "v2", "fast", Answer{Latency: 10 * time.Millisecond})
		g.ObserveAborted("llm", "v2", "fast", Answer{Latency: 900 * time.Millisecond})
	}
	assert.Equal(t, []Evidence{
		{Service: "llm", Version: "v1", Route: "fast", Answers: 40},
		{Service: "llm", Version: "v1", Route: "slow", Answers: 40},
		{Service: "llm", Version: "v2", Route: "fast", Answers: 50, Failed: 10, Slow: 30},
		{Service: "llm", Version: "v2", Route: "slow", Answers: 40},
	}, g.Report())
	for n := range 1000 {
		observe("v2", fmt.Sprint("route ", n), time.Second, 0)
		observe(fmt.Sprint("version ", n), "fast", time.Second, 0)
	}
	assert.Less(t, len(g.Report()), 100)
}

// Guards against grants that are hoarded by processes that place few requests, and
// against bursts of requests to the new version.
func TestGrantsFollowRequestsAndAreSpread(t *testing.T) {
	g, clock := newTestGate(canary())
	assert.Empty(t, g.Wanted(), "nothing was placed")
	clock.advance(grantWindow)
	for range 100 {
		g.Admit("llm", "v1")
	}
	assert.Equal(t, []Wanted{{Service: "llm", Version: "v2", Requests: 20}}, g.Wanted())
	g.AddGrant("llm", "v2", 10, clock.now().Add(time.Second))
	spent := 0
	for range 250 {
		clock.advance(time.Millisecond)
		if _, next := g.Service("llm").Canary(); next && g.Admit("llm", "v2") {
			spent++
			assert.LessOrEqual(t, spent, 1+int(clock.now().UnixMilli()-250)/25)
		}
	}
	assert.Equal(t, 10, spent)

	// A stream that goes on at the new version gets the next grant.
	s := g.Service("llm")
	clock.advance(time.Second)
	s.Missed("v2")
	s.Missed("v1")
	wanted := g.Wanted()
	assert.Len(t, wanted, 1)
	g.AddGrant("llm", "v2", 1, clock.now().Add(time.Second))
	_, next := s.Canary()
	assert.False(t, next, "it is reserved")
	assert.True(t, s.Admit("v2", true))
}

// BenchmarkGateWithoutRollout shows the cost on the path of each request while no rollout
// is known.
func BenchmarkGateWithoutRollout(b *testing.B) {
	g := NewGate(time.Now)
	for b.Loop() {
		if g.Service("llm") != nil {
			b.Fatal("there is no rollout")
		}
		g.Observe("llm", "v1", "r", Answer{})
	}
}
