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

// agentBehaviour is what an agent does with one attempt.
type agentBehaviour int

const (
	answersCorrectly agentBehaviour = iota
	refusesCold
	refusesLeaving
	refusesDraining // this and the refusals above don't run the request
	failsAfterRun
	breaksAfterHead
	duplicatesEvents
	skipsEvent
	answersOtherRequest
	numBehaviours
)

// coldAttempts is the number of attempts at a request that a cold agent refuses.
const coldAttempts = 3

// runBehaviour handles an attempt with one behaviour. It calls ran if the target
// runs the request.
func runBehaviour(b agentBehaviour, open *rpc.ExecuteOpen, s *wire.Stream, ran func()) error {
	w := &eventSender{id: open.ID, s: s}
	jsonHeader := rpc.Header{Name: "Content-Type", Value: "application/json"}
	switch b {
	case refusesCold:
		if open.ID.Attempt > coldAttempts {
			break // warmed up
		}
		return outcome.New(outcome.TargetCold, outcome.NotRun, "cold")
	case refusesLeaving:
		return outcome.New(outcome.TargetLeaving, outcome.NotRun, "leaving")
	case refusesDraining:
		return outcome.New(outcome.Draining, outcome.NotRun, "draining")
	}
	_ = w.send(rpc.EventSent, "")
	ran()
	if b == failsAfterRun {
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "died")
	}
	if b == answersOtherRequest {
		w.id.RequestID = "another"
	}
	_ = w.send(rpc.EventHead, "", jsonHeader)
	switch b {
	case breaksAfterHead:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "died within the answer")
	case duplicatesEvents:
		w.seq--
		_ = w.send(rpc.EventHead, "", jsonHeader)
	case skipsEvent:
		w.seq++
	}
	_ = w.send(rpc.EventData, string(open.Body))
	if b == duplicatesEvents {
		w.seq--
		_ = w.send(rpc.EventData, string(open.Body))
	}
	return w.send(rpc.EventEnd, "")
}

// Sends requests to agents with random failures. A request that is not idempotent
// must run at most once, no target may run a request twice, the outcome NotRun must
// be correct, and a response must be the complete response to its own request.
func TestRandomAgentFailures(t *testing.T) {
	const agents = 3
	var mu sync.Mutex
	runs := make(map[string]map[fleet.TargetID]int)
	behaviours := make(map[fleet.TargetID]agentBehaviour)
	targets := make([]fleet.Target, 0, 2*agents)
	for i := range agents {
		a := startAgent(t, func(_ *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
			mu.Lock()
			b := behaviours[open.ID.Target]
			mu.Unlock()
			return runBehaviour(b, open, s, func() {
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
			behaviours[e.ID] = agentBehaviour(rapid.IntRange(0, int(numBehaviours)-1).Draw(rt, "behaviour"))
		}
		mu.Unlock()
		number++
		path, body := "/v1/services/desk/pay", fmt.Sprint("call ", number)
		nonIdempotent := rapid.Bool().Draw(rt, "nonIdempotent")
		if !nonIdempotent {
			path, body = chatPath, fmt.Sprintf(`{"model":"m1","user":"%d"}`, number)
		}
		g.retryBudget.AddRequest(1)
		r, err := g.try(http.MethodPost, path, keyA, body)
		require.NoError(rt, err)
		mu.Lock()
		defer mu.Unlock()
		total := 0
		for _, n := range runs[r.header.Get(requestIDHeader)] {
			require.Equal(rt, 1, n, "a target ran the request twice")
			total += n
		}
		if nonIdempotent {
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
