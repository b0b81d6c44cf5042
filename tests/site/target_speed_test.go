package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// A target that says that work takes three times as long there gets a part of the
// requests to match, over real gateways and a broker that sees no response itself; its
// pace is then the usual one, and it gets its share again. Guards against what a target
// says being lost between the gateway and the broker, and against a slow period that
// is remembered.
func TestSlowTargetGetsLess(t *testing.T) {
	const perSecond, phase = 60, 4 * time.Second
	s := startSite(t, 182)
	quick := standin.Behaviour{Events: 5, Pause: 15 * time.Millisecond, Load: "1,0,24,100"}
	slow := standin.Behaviour{Events: 5, Pause: 45 * time.Millisecond, Load: "1,0,24,300"}
	var targets []*standin.Target
	for i, behaviour := range []standin.Behaviour{slow, quick, quick} {
		target, err := standin.NewTarget(fmt.Sprint("speed-", i), platform.HeaderNames(), behaviour)
		require.NoError(t, err)
		s.AddTarget(target, target.Addr, "llm", manySlots)
		targets = append(targets, target)
	}
	gateways := s.Role(Gateway)
	for _, g := range gateways {
		awaitServed(t, s, g, "/ask/1", "first")
	}
	shareOfFirst := func() float64 {
		from := time.Now()
		stop := make(chan struct{})
		time.AfterFunc(phase, func() { close(stop) })
		sent, answered := sendSteadily(t, s, "ask", perSecond, gateways, stop)
		assert.Equal(t, sent, answered)
		runs, first := 0, 0
		for i, target := range targets {
			for _, run := range target.Runs() {
				if run.StartedAt.After(from.Add(phase / 4)) {
					runs++
					if i == 0 {
						first++
					}
				}
			}
		}
		return float64(first) / float64(max(1, runs))
	}
	whileSlow := shareOfFirst()
	targets[0].SetBehaviour(func(string) standin.Behaviour { return quick })
	afterwards := shareOfFirst()
	t.Logf("share of the first target: %.3f while slow, %.3f afterwards", whileSlow, afterwards)
	assert.Less(t, whileSlow, 0.25)
	assert.Greater(t, afterwards, 0.28)
}
