package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// behaviour is what an agent does with one attempt.
type behaviour int

const (
	answers behaviour = iota
	refusesBusy
	refusesLeaving
	refusesInternal // without running
	failsAfterRun
	breaksAfterHead
	repeatsFrames
	losesFrame
	crossesAnswer
	behaviours
)

// busyAttempts is how many attempts at a request a busy agent refuses.
const busyAttempts = 3

// script runs one behaviour; ran is called when the target runs the request.
func script(b behaviour, open *rpc.ExecuteOpen, s *wire.Stream, ran func()) error {
	w := &answerer{id: open.ID, s: s}
	json := rpc.Header{Name: "Content-Type", Value: "application/json"}
	switch b {
	case refusesBusy:
		if open.ID.Attempt > busyAttempts {
			break // it has warmed up
		}
		return outcome.New(outcome.TargetCold, outcome.NotRun, "cold")
	case refusesLeaving:
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "leaving")
	case refusesInternal:
		return outcome.New(outcome.Draining, outcome.NotRun, "draining")
	}
	_ = w.send(rpc.EventSent, "")
	ran()
	if b == failsAfterRun {
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "died")
	}
	if b == crossesAnswer {
		w.id.RequestID = "another"
	}
	_ = w.send(rpc.EventHead, "", json)
	switch b {
	case breaksAfterHead:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "died within the answer")
	case repeatsFrames:
		w.seq--
		_ = w.send(rpc.EventHead, "", json)
	case losesFrame:
		w.seq++
	}
	_ = w.send(rpc.EventData, string(open.Body))
	if b == repeatsFrames {
		w.seq--
		_ = w.send(rpc.EventData, string(open.Body))
	}
	return w.send(rpc.EventEnd, "")
}

// Whatever mix of failures the agents show: a call that may not be repeated
// runs at most once, no target runs a request twice, "not run" is true, and an
// answer is the whole answer to its own request.
func TestAnyMixOfFailures(t *testing.T) {
	const agents = 3
	var mu sync.Mutex
	runs := make(map[string]map[fleet.TargetID]int)
	plans := make(map[fleet.TargetID]behaviour)
	targets := make([]fleet.Target, 0, 2*agents)
	for i := range agents {
		a := startAgent(t, func(_ *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
			mu.Lock()
			plan := plans[open.ID.Target]
			mu.Unlock()
			return script(plan, open, s, func() {
				mu.Lock()
				defer mu.Unlock()
				if runs[open.ID.RequestID] == nil {
					runs[open.ID.RequestID] = make(map[fleet.TargetID]int)
				}
				runs[open.ID.RequestID][open.ID.Target]++
			})
		})
		targets = append(targets, target(fmt.Sprint("e", i), "m1", a), target(fmt.Sprint("s", i), "desk", a))
	}
	g := startGateway(t, Config{State: newFakeState(t, targets...)})
	number := 0
	rapid.Check(t, func(rt *rapid.T) {
		mu.Lock()
		for _, e := range targets {
			plans[e.ID] = behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(rt, "behaviour"))
		}
		mu.Unlock()
		number++
		path, body := "/v1/services/desk/pay", fmt.Sprint("call ", number)
		once := rapid.Bool().Draw(rt, "once")
		if !once {
			path, body = chatPath, fmt.Sprintf(`{"model":"m1","user":"%d"}`, number)
		}
		g.budget.AddRequest(1)
		r, err := g.try(http.MethodPost, path, keyA, body)
		require.NoError(rt, err)
		mu.Lock()
		defer mu.Unlock()
		total := 0
		for _, n := range runs[r.header.Get(requestHeader)] {
			require.Equal(rt, 1, n, "a target ran it twice")
			total += n
		}
		if once {
			require.LessOrEqual(rt, total, 1)
		}
		if r.status == http.StatusOK {
			require.Equal(rt, body, r.body)
			require.Positive(rt, total)
			return
		}
		var e httpapi.ErrorBody
		require.NoError(rt, json.Unmarshal([]byte(r.body), &e), r.body)
		if total > 0 {
			require.NotEqual(rt, outcome.NotRun.String(), e.Error.Outcome)
		} else {
			require.Equal(rt, outcome.NotRun.String(), e.Error.Outcome)
		}
	})
}
