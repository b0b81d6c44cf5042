package site

import (
	"cmp"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"

	"banyanwalk/services/standin"
)

// A target says in its responses that it leaves, while its reports say that it is ready.
// Guards against requests that go on to it from any gateway, by the broker's choice or
// by items of jobs, also while no control host runs.
func TestLeavingTargetGetsRequests(t *testing.T) {
	behaviour := standin.Behaviour{Events: 5, Pause: 10 * time.Millisecond}
	for i, test := range []struct {
		name    string
		disturb func(s *Site)
	}{
		{name: "calm", disturb: func(*Site) {}},
		{name: "no control", disturb: func(s *Site) {
			for _, h := range s.Role(Control) {
				h.Kill()
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, 140+i)
			limited := addLimitedTargets(t, s, "llm", manySlots, behaviour, 0, 0, 0, 0)
			gateways := s.Role(Gateway)
			for _, g := range gateways {
				awaitServed(t, s, g, "/ask/1", "first")
			}
			stop := make(chan struct{})
			var wg conc.WaitGroup
			var sent, answered int64
			wg.Go(func() { sent, answered = sendSteadily(t, s, "ask", 60, gateways, stop) })
			time.Sleep(time.Second)
			test.disturb(s)
			var leaving atomic.Int64 // responses that said so
			leaves := behaviour
			leaves.Leaving = "1"
			busiest := slices.MaxFunc(limited.targets, func(a, b *standin.Target) int { return cmp.Compare(len(a.Runs()), len(b.Runs())) })
			busiest.SetBehaviour(func(string) standin.Behaviour {
				leaving.Add(1)
				return leaves
			})
			time.Sleep(500 * time.Millisecond)
			before := leaving.Load()
			time.Sleep(2500 * time.Millisecond)
			close(stop)
			wg.Wait()
			t.Logf("%d requests, %d answered; %d at the leaving target in the first 500 ms, %d later", sent, answered, before, leaving.Load()-before)
			assert.Positive(t, before)
			assert.Equal(t, before, leaving.Load())
			assert.Equal(t, sent, answered, "the other targets take them")
		})
	}
}
