package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/auth"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

func TestNotRunIsRetriedOnAnotherTarget(t *testing.T) {
	for _, code := range []outcome.Code{outcome.TargetLeaving, outcome.Draining, outcome.TargetBusy, outcome.TargetCold} {
		bad := startAgent(t, refuseWith(code, outcome.NotRun))
		good := startAgent(t, echo)
		g := startGateway(t, Config{State: newFakeState(t, target("e1", "desk", bad), target("e2", "desk", good))})
		for range 20 {
			r := g.do(t, "POST", "/v1/services/desk/pay", keyA, "x")
			require.Equal(t, http.StatusOK, r.status, r.body)
		}
		require.EqualValues(t, 20, good.runs.Load())
	}
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	bad := startAgent(t, refuseWith(outcome.TargetFailed, outcome.MayHaveRun))
	bad2 := startAgent(t, refuseWith(outcome.Unreachable, outcome.MayHaveRun))
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "desk", bad), target("e2", "desk", bad2))})
	for i := range 10 {
		r := g.do(t, "POST", "/v1/services/desk/pay", keyA, "x")
		require.Contains(t, r.body, "may_have_run")
		require.EqualValues(t, i+1, bad.received.Load()+bad2.received.Load())
	}
}

// failingAgents starts agents at which every request fails and may have run, each
// with a target of the model m1.
func failingAgents(t *testing.T, count int, code outcome.Code) ([]*fakeAgent, []fleet.Target) {
	agents := make([]*fakeAgent, count)
	targets := make([]fleet.Target, count)
	for i := range agents {
		agents[i] = startAgent(t, refuseWith(code, outcome.MayHaveRun))
		targets[i] = target(fmt.Sprint("e", i), "m1", agents[i])
	}
	return agents, targets
}

// totalReceived returns how many requests agents have received together.
func totalReceived(agents []*fakeAgent) int64 {
	total := int64(0)
	for _, a := range agents {
		total += a.received.Load()
	}
	return total
}

func TestIdempotentIsRetriedElsewhereWithinMaxAttempts(t *testing.T) {
	agents, targets := failingAgents(t, 5, outcome.TargetFailed)
	g := startGateway(t, Config{State: newFakeState(t, targets...)})
	requireCode(t, g.chat(t), outcome.TargetFailed, outcome.MayHaveRun)
	for _, a := range agents {
		require.LessOrEqual(t, a.received.Load(), int64(1))
	}
	require.EqualValues(t, 3, totalReceived(agents))
}

// A request that may be the cause of crashes is not sent to a third target, also while
// control cannot say so.
func TestRequestThatCrashedTwoTargetsIsNotRetried(t *testing.T) {
	agents, targets := failingAgents(t, 5, outcome.TargetCrashed)
	g := startGateway(t, Config{State: newFakeState(t, targets...)})
	requireCode(t, g.chat(t), outcome.TargetCrashed, outcome.MayHaveRun)
	require.EqualValues(t, 2, totalReceived(agents))
}

// Guards against a retry storm: while every target fails, the retry budget limits
// retries to a fraction of the requests.
func TestRetryBudgetDoesNotMultiplyLoad(t *testing.T) {
	agents, targets := failingAgents(t, 4, outcome.TargetFailed)
	g := startGateway(t, Config{State: newFakeState(t, targets...)})
	const requests = 400
	spent := 0
	for range requests {
		if strings.Contains(g.chat(t).body, "retry_budget_spent") {
			spent++
		}
	}
	total := totalReceived(agents)
	require.LessOrEqual(t, total, int64(requests+requests/10+10))
	require.Positive(t, spent)
}

func TestFinalRefusalCarriesRetryAfter(t *testing.T) {
	a := startAgent(t, refuseWith(outcome.TargetLeaving, outcome.NotRun))
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	r := g.chat(t)
	requireCode(t, r, outcome.TargetLeaving, outcome.NotRun)
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// serveEvents returns an agent function that runs the request and answers with the
// events that sendEvents sends.
func serveEvents(sendEvents func(w *eventSender, open *rpc.ExecuteOpen) error) func(*fakeAgent, *rpc.ExecuteOpen, *wire.Stream) error {
	return func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		a.runs.Add(1)
		return sendEvents(&eventSender{id: open.ID, s: s}, open)
	}
}

func TestInvalidEventsNeverReachCallers(t *testing.T) {
	jsonHeader := rpc.Header{Name: "Content-Type", Value: "application/json"}
	for name, sendEvents := range map[string]func(w *eventSender, open *rpc.ExecuteOpen) error{
		"another request": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			w.id.RequestID = "other"
			_ = w.send(rpc.EventSent, "")
			_ = w.send(rpc.EventHead, "", jsonHeader)
			_ = w.send(rpc.EventData, "WRONG")
			return w.send(rpc.EventEnd, "")
		},
		"earlier attempt": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			w.id.Attempt--
			return w.send(rpc.EventSent, "")
		},
		"another incarnation of the agent": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			w.id.AgentIncarnation++
			return w.send(rpc.EventSent, "")
		},
		"gap in the sequence": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			_ = w.send(rpc.EventSent, "")
			_ = w.send(rpc.EventHead, "", jsonHeader)
			_ = w.send(rpc.EventData, "WR")
			w.seq++
			_ = w.send(rpc.EventData, "ONG")
			return w.send(rpc.EventEnd, "")
		},
		"no end marker": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			_ = w.send(rpc.EventSent, "")
			_ = w.send(rpc.EventHead, "", jsonHeader)
			return w.send(rpc.EventData, "WRONG")
		},
		"no head": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			_ = w.send(rpc.EventSent, "")
			return w.send(rpc.EventData, "WRONG")
		},
		"not run after the head": func(w *eventSender, _ *rpc.ExecuteOpen) error {
			_ = w.send(rpc.EventSent, "")
			_ = w.send(rpc.EventHead, "", jsonHeader)
			return outcome.New(outcome.TargetBusy, outcome.NotRun, "impossible")
		},
	} {
		t.Run(name, func(t *testing.T) {
			agent := startAgent(t, serveEvents(sendEvents))
			g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", agent), target("s1", "desk", agent))})
			for _, path := range []string{chatPath, "/v1/services/desk/pay"} {
				before := agent.runs.Load()
				r := g.do(t, "POST", path, keyA, chatBody)
				require.GreaterOrEqual(t, r.status, 500)
				require.NotContains(t, r.body, "WR")
				require.Contains(t, r.body, "may_have_run")
				require.Equal(t, before+1, agent.runs.Load())
			}
		})
	}
}

func TestDuplicateEventsAreDropped(t *testing.T) {
	a := startAgent(t, serveEvents(func(w *eventSender, open *rpc.ExecuteOpen) error {
		for seq, kind := range []rpc.EventKind{rpc.EventSent, rpc.EventHead, rpc.EventData, rpc.EventData, rpc.EventEnd} {
			for range 2 {
				w.seq = uint64(seq)
				if err := w.send(kind, fmt.Sprint("<", seq, ">")); err != nil {
					return err
				}
			}
		}
		return nil
	}))
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	require.Equal(t, "<2><3>", g.chat(t).body)
}

// newRelease returns a channel on which agents block and the function that closes
// it.
func newRelease() (chan struct{}, func()) {
	c := make(chan struct{})
	return c, sync.OnceFunc(func() { close(c) })
}

// In a burst above the capacity of the targets, callers wait for a slot instead of
// being refused.
func TestBurstWaitsForSlots(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		return echo(a, request, s)
	})
	small := target("e1", "m1", a)
	small.WarmCapacity, small.ColdCapacity = 2, 2
	g := startGateway(t, Config{State: newFakeState(t, small)})
	t.Cleanup(releaseAgent)
	const callers = 10
	results := make(chan reply, callers)
	for range callers {
		go func() { results <- g.tryChat() }()
	}
	require.Eventually(t, func() bool { return g.targets.queue("m1", queueFirstAttempt).waiting.Load() == callers-2 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return a.received.Load() == 2 }, testTimeout, time.Millisecond)
	require.EqualValues(t, callers-2, g.targets.queue("m1", queueFirstAttempt).waiting.Load())
	releaseAgent()
	for range callers {
		require.Equal(t, http.StatusOK, (<-results).status)
	}
}

func TestWaitForSlotEndsAtDeadline(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		return echo(a, request, s)
	})
	small := target("e1", "m1", a)
	small.WarmCapacity, small.ColdCapacity = 1, 1
	g := startGateway(t, Config{State: newFakeState(t, small)})
	t.Cleanup(releaseAgent)
	first := make(chan reply, 1)
	go func() { first <- g.tryChat() }()
	require.Eventually(t, func() bool { return a.received.Load() == 1 }, testTimeout, time.Millisecond)
	r := g.chat(t)
	requireCode(t, r, outcome.TargetBusy, outcome.NotRun)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	releaseAgent()
	require.Equal(t, http.StatusOK, (<-first).status)
}

// A suspect is sent to an agent even while every target is at capacity, because the
// agent makes the target idle for it. It must not starve behind regular traffic.
func TestSuspectIsNotBlockedByBusyTargets(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		if !request.Suspect {
			<-release
		}
		return echo(a, request, s)
	})
	small := target("e1", "m1", a)
	small.WarmCapacity, small.ColdCapacity = 1, 1
	state := newFakeState(t, small)
	g := startGateway(t, Config{State: state})
	t.Cleanup(releaseAgent)
	results := make(chan reply, 3)
	for range 3 {
		go func() { results <- g.tryChat() }()
	}
	require.Eventually(t, func() bool { return a.received.Load() == 1 }, testTimeout, pollInterval)
	const suspectBody = `{"model":"m1","messages":[]}`
	digest := auth.RequestDigest("alpha", chatPath, []byte(suspectBody))
	verdict := quarantine.Verdict{Workspace: "alpha", Digest: digest, Level: quarantine.Suspect}
	state.apply(t, fleet.Update{Revision: 2, Verdicts: []quarantine.Verdict{verdict}})
	require.Equal(t, suspectBody, g.do(t, "POST", chatPath, keyA, suspectBody).body)
	releaseAgent()
	for range 3 {
		require.Equal(t, http.StatusOK, (<-results).status)
	}
}

// A request is refused if its key is revoked while it waits for a slot.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		return echo(a, request, s)
	})
	small := target("e1", "m1", a)
	small.WarmCapacity, small.ColdCapacity = 1, 1
	state := newFakeState(t, small)
	g := startGateway(t, Config{State: state})
	t.Cleanup(releaseAgent)
	results := make(chan reply, 2)
	for range 2 {
		go func() { results <- g.tryChat() }()
	}
	require.Eventually(t, func() bool { return g.targets.queue("m1", queueFirstAttempt).waiting.Load() == 1 }, testTimeout, pollInterval)
	require.Eventually(t, func() bool { return a.received.Load() == 1 }, testTimeout, pollInterval)
	signed := *state.View().SignedBundle()
	signed.Source = []byte(strings.Replace(strings.Replace(string(signed.Source), "version: 1", "version: 2", 1),
		auth.KeyDigest(keyA), auth.KeyDigest("another"), 1))
	state.apply(t, fleet.Update{Revision: 2, Bundle: &signed})
	releaseAgent()
	first, second := <-results, <-results
	if first.status != http.StatusOK {
		first, second = second, first
	}
	require.Equal(t, http.StatusOK, first.status)
	requireCode(t, second, outcome.KeyUnknown, outcome.NotRun)
	require.EqualValues(t, 1, a.received.Load())
}

// A workspace that floods the gateway gets only its fair share of the slots, so
// requests of other workspaces are served in between.
func TestFloodingWorkspaceDoesNotStarveOthers(t *testing.T) {
	var mu sync.Mutex
	var served []string
	release := make(chan struct{})
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		mu.Lock()
		served = append(served, request.Workspace)
		mu.Unlock()
		return echo(a, request, s)
	})
	small := target("e2", "m2", a)
	small.WarmCapacity, small.ColdCapacity = 1, 1
	g := startGateway(t, Config{State: newFakeState(t, small)})
	const body = `{"model":"m2"}`
	results := make(chan reply, 50)
	send := func(key string, n int) {
		for range n {
			go func() {
				r, err := g.try("POST", chatPath, key, body)
				if err != nil {
					r = reply{body: err.Error()}
				}
				results <- r
			}()
		}
	}
	waiting := func(n int64) func() bool {
		return func() bool { return g.targets.queue("m2", queueFirstAttempt).waiting.Load() == n }
	}
	send(keyA, 40)
	require.Eventually(t, waiting(39), testTimeout, pollInterval)
	send(keyB, 5)
	require.Eventually(t, waiting(44), testTimeout, pollInterval)
	close(release)
	for range 45 {
		require.Equal(t, http.StatusOK, (<-results).status)
	}
	betaServed := 0
	for _, workspace := range served[:12] {
		if workspace == "beta" {
			betaServed++
		}
	}
	require.GreaterOrEqual(t, betaServed, 4, "%v", served)
}

func TestSlotWaitIsShorterUnderSustainedOverload(t *testing.T) {
	q := &slotQueue{}
	now := time.Now()
	require.Equal(t, maxSlotWait, q.waitLimit(now), "an empty queue")
	q.nonEmptySince = now
	require.Equal(t, maxSlotWait, q.waitLimit(now.Add(overloadAfter)), "a burst")
	require.Equal(t, overloadSlotWait, q.waitLimit(now.Add(overloadAfter+1)), "overload")
}
