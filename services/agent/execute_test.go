package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/engine"
)

func TestBufferedAndStreamedResponses(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4})
	for _, stream := range []bool{false, true} {
		open := b.chat(s, "how deep", 20, stream)
		r := b.run(t.Context(), open)
		require.Nil(t, r.err)
		assert.True(t, r.complete)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, expectedText(t, open), r.text(t))
		require.Equal(t, rpc.EventSent, r.events[0].Kind)
		for n, event := range r.events {
			assert.EqualValues(t, n, event.Seq)
			assert.Equal(t, open.ID, event.ID)
		}
		assert.Equal(t, 1, s.Stats().Completed[open.ID.RequestID])
	}
}

func TestServicePassesThrough(t *testing.T) {
	b := newHarness(t)
	s := b.start(serviceConfig("s1"))
	open := b.chat(s, "x", 1, false)
	open.HTTPMethod, open.Path, open.Body = "PUT", "/vans/7?x=1", []byte("anything")
	r := b.run(t.Context(), open)
	require.Nil(t, r.err)
	assert.True(t, r.complete)
	assert.Contains(t, string(r.body), `"method":"PUT","path":"/vans/7?x=1"`)
	assert.Contains(t, string(r.body), `"body":"anything"`)
	assert.Contains(t, string(r.body), `"X-Workspace":["w"]`)
}

func TestRefusedRequestsNeverReachTarget(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4})
	tests := []struct {
		name   string
		change func(o *rpc.ExecuteOpen)
		code   outcome.Code
	}{
		{"other incarnation", func(o *rpc.ExecuteOpen) { o.ID.AgentIncarnation++ }, outcome.TargetLeaving},
		{"unknown target", func(o *rpc.ExecuteOpen) { o.ID.Target = "h1/none" }, outcome.NoTarget},
		{"other model", func(o *rpc.ExecuteOpen) { o.Model = "n" }, outcome.NoTarget},
		{"credential", func(o *rpc.ExecuteOpen) {
			o.Headers = append(o.Headers, rpc.Header{Name: "authorization", Value: "Bearer k"})
		}, outcome.BadRequest},
		{"own header", func(o *rpc.ExecuteOpen) {
			o.Headers = append(o.Headers, rpc.Header{Name: "x-workspace", Value: "other"})
		}, outcome.BadRequest},
		{"header injection", func(o *rpc.ExecuteOpen) {
			o.Headers = append(o.Headers, rpc.Header{Name: "A", Value: "b\r\nAuthorization: k"})
		}, outcome.BadRequest},
		{"no id", func(o *rpc.ExecuteOpen) { o.ID.RequestID = "" }, outcome.BadRequest},
		{"batch class", func(o *rpc.ExecuteOpen) { o.Class = rpc.ClassBatch }, outcome.BadRequest},
		{"large body", func(o *rpc.ExecuteOpen) { o.Body = make([]byte, maxBodyBytes+1) }, outcome.BodyTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			open := b.chat(s, "x", 1, false)
			test.change(&open)
			r := b.run(t.Context(), open)
			require.NotNil(t, r.err)
			assert.Equal(t, test.code, r.err.Code, r.err)
			assert.Equal(t, outcome.NotRun, r.err.Outcome)
			assert.False(t, r.sent)
		})
	}
	assert.Empty(t, s.Stats().Received)
}

func TestRequestsAreRefusedWhenStaleOrOutOfService(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4})
	check := func(code outcome.Code) {
		t.Helper()
		r := b.run(t.Context(), b.chat(s, "x", 1, false))
		require.NotNil(t, r.err)
		assert.Equal(t, code, r.err.Code)
		assert.Equal(t, outcome.NotRun, r.err.Outcome)
		assert.Zero(t, b.agent.Spare())
	}
	b.control.stale.Store(true)
	check(outcome.StateStale)
	b.control.stale.Store(false)
	b.control.update(func(u *fleet.Update) { u.Marks = &fleet.Marks{TargetsOut: []fleet.TargetID{s.id}} })
	check(outcome.TargetLeaving)
	assert.Empty(t, b.agent.Targets())
	b.control.update(func(u *fleet.Update) { u.Marks = &fleet.Marks{DataCentresOut: []string{"east"}} })
	check(outcome.TargetLeaving)
	b.control.update(func(u *fleet.Update) { u.Marks = &fleet.Marks{} })
	assert.Nil(t, b.run(t.Context(), b.chat(s, "x", 1, false)).err)
	assert.Len(t, s.Stats().Received, 1)
}

func TestDuplicateAttemptsRunOnce(t *testing.T) {
	b := newHarness(t)
	s := b.start(serviceConfig("s1"))
	open := b.chat(s, "x", 1, false)
	open.Idempotent = false
	results := make([]result, 8)
	var wg conc.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = b.run(t.Context(), open) })
	}
	wg.Wait()
	answered := 0
	for _, r := range results {
		if r.err == nil {
			answered++
			continue
		}
		assert.Equal(t, outcome.AlreadyAttempted, r.err.Code)
		assert.Equal(t, outcome.MayHaveRun, r.err.Outcome)
	}
	assert.Equal(t, 1, answered)
	next := open
	next.ID.Attempt = 2
	r := b.run(t.Context(), next)
	require.NotNil(t, r.err, "a second attempt of a request that is not idempotent")
	assert.Equal(t, outcome.AlreadyAttempted, r.err.Code)
	assert.Equal(t, 1, s.Stats().Received[open.ID.RequestID])
}

func TestCallerDisconnectStopsEngine(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4, TokenTime: time.Millisecond})
	open := b.chat(s, "x", 60000, true)
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := b.conn.Open(ctx, rpc.MethodExecute)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&open))
	require.NoError(t, stream.CloseSend(), "a half-closed stream still expects the response")
	for range 4 {
		var event rpc.ExecuteEvent
		require.NoError(t, stream.Recv(&event))
	}
	cancel()
	b.eventually(func() bool { return s.Stats().Cancelled[open.ID.RequestID] == 1 }, "engine stopped")
	b.eventually(func() bool { return b.agent.activeRequests() == 0 }, "slot released")
}

func TestDeadlineEndsRequest(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 1, TokenTime: time.Hour})
	open := b.chat(s, "x", 1, false)
	open.TimeoutMS = 20
	r := b.run(t.Context(), open)
	require.NotNil(t, r.err)
	assert.Equal(t, outcome.DeadlineExceeded, r.err.Code)
	assert.Equal(t, outcome.MayHaveRun, r.err.Outcome)
	assert.True(t, r.sent)
}

func TestWrongResponsesAreNeverDelivered(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for name, faults := range map[string]engine.Faults{"crossed": {SwapPairs: 1}, "stale": {StaleResponses: 1}} {
			t.Run(fmt.Sprintf("%s/stream=%v", name, stream), func(t *testing.T) {
				b := newHarness(t)
				s := b.start(engine.Config{Name: "e1", WarmCapacity: 4})
				require.Nil(t, b.run(t.Context(), b.chat(s, "first", 3, stream)).err)
				s.Inject(faults)
				var wg conc.WaitGroup
				results := make([]result, 2)
				opens := []rpc.ExecuteOpen{b.chat(s, "a", 5, stream), b.chat(s, "b", 5, stream)}
				for i := range results {
					wg.Go(func() { results[i] = b.run(t.Context(), opens[i]) })
				}
				wg.Wait()
				wrong := 0
				for i, r := range results {
					if r.err == nil {
						assert.Equal(t, expectedText(t, opens[i]), r.text(t))
						continue
					}
					wrong++
					assert.Equal(t, outcome.BadTargetResponse, r.err.Code)
					assert.Equal(t, outcome.MayHaveRun, r.err.Outcome)
					assert.Empty(t, r.body)
					assert.False(t, r.complete)
				}
				assert.Positive(t, wrong)
			})
		}
	}
}

func TestTruncatedResponsesAreNotComplete(t *testing.T) {
	for _, stream := range []bool{false, true} {
		b := newHarness(t)
		s := b.start(engine.Config{Name: "e1", WarmCapacity: 4})
		s.Inject(engine.Faults{CutAfterTokens: 3, CutResponses: 1})
		r := b.run(t.Context(), b.chat(s, "x", 9, stream))
		require.NotNil(t, r.err)
		assert.Equal(t, outcome.TargetFailed, r.err.Code)
		assert.Equal(t, outcome.MayHaveRun, r.err.Outcome)
		assert.False(t, r.complete)
		assert.Empty(t, b.control.crashReports(), "one broken connection is no crash")
	}
}

// TestGatewayThatReadsNothingHoldsNoSlot lets a long response fill the flow-control
// window of a stream that the gateway does not read. The request must still end
// when the gateway closes the stream, or at its deadline.
func TestGatewayThatReadsNothingHoldsNoSlot(t *testing.T) {
	b := newHarness(t)
	s := b.start(serviceConfig("s1"))
	open := b.chat(s, "x", 1, false)
	open.Body = make([]byte, 4<<20)
	for i := range open.Body {
		open.Body[i] = 'x'
	}
	sendWithoutReading := func(ctx context.Context, open rpc.ExecuteOpen) *wire.Stream {
		stream, err := b.conn.Open(ctx, rpc.MethodExecute)
		require.NoError(t, err)
		require.NoError(t, stream.Send(&open))
		b.eventually(func() bool { return s.Stats().Completed[open.ID.RequestID] == 1 }, "the target answered")
		return stream
	}
	sendWithoutReading(t.Context(), open).Close()
	b.eventually(func() bool { return b.agent.activeRequests() == 0 }, "ended when the gateway closed the stream")
	open.ID.RequestID, open.TimeoutMS = "slow", 1000
	defer sendWithoutReading(t.Context(), open).Close()
	b.eventually(func() bool { return b.agent.activeRequests() == 0 }, "ended at the deadline")
}
