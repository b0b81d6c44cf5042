package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// fakeControl keeps idempotency records in memory. Their leases never expire.
type fakeControl struct {
	mu      sync.Mutex
	records map[string]*fakeRecord
}

type fakeRecord struct {
	claim    rpc.IdempotentBegin
	response *rpc.StoredResponse
}

func (f *fakeControl) Call(ctx context.Context, m wire.Method, request, response any) error {
	return f.CallIdempotent(ctx, m, request, response)
}

func (f *fakeControl) CallIdempotent(_ context.Context, _ wire.Method, request, response any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r := request.(type) {
	case *rpc.IdempotentBegin:
		*response.(*rpc.IdempotentBeginResponse) = f.begin(r)
	case *rpc.IdempotentEnd:
		record := f.records[r.Workspace+"/"+r.Key]
		if record == nil || record.claim.ClaimID != r.ClaimID {
			return nil
		}
		if r.Abandon {
			delete(f.records, r.Workspace+"/"+r.Key)
			return nil
		}
		record.response = &r.Response
	}
	return nil
}

func (f *fakeControl) begin(r *rpc.IdempotentBegin) rpc.IdempotentBeginResponse {
	record, known := f.records[r.Workspace+"/"+r.Key]
	switch {
	case !known:
		f.records[r.Workspace+"/"+r.Key] = &fakeRecord{claim: *r}
		return rpc.IdempotentBeginResponse{State: rpc.IdempotentClaimed}
	case record.claim.RequestDigest != r.RequestDigest:
		return rpc.IdempotentBeginResponse{State: rpc.IdempotentMismatch}
	case record.response != nil:
		return rpc.IdempotentBeginResponse{State: rpc.IdempotentDone, Response: *record.response}
	case record.claim.ClaimID == r.ClaimID:
		return rpc.IdempotentBeginResponse{State: rpc.IdempotentClaimed}
	default:
		return rpc.IdempotentBeginResponse{State: rpc.IdempotentPending, RetryAfterMS: 1}
	}
}

func TestResendsShareOneRunAcrossGateways(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		return echo(a, request, s)
	})
	control := &fakeControl{records: make(map[string]*fakeRecord)}
	state := newFakeState(t, target("s1", "desk", a))
	gateways := []*testGateway{
		startGateway(t, Config{State: state, Control: control}),
		startGateway(t, Config{State: state, Control: control}),
	}
	t.Cleanup(releaseAgent)
	const resends = 6
	results := make(chan reply, resends)
	for i := range resends {
		go func() {
			r, err := gateways[i%2].try("POST", "/v1/services/desk/pay", keyA, "amount=5", idempotencyHeader, "k1")
			if err != nil {
				r = reply{body: err.Error()}
			}
			results <- r
		}()
	}
	releaseAgent()
	for range resends {
		r := <-results
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, "amount=5", r.body)
	}
	require.EqualValues(t, 1, a.runs.Load())
	r := gateways[1].do(t, "POST", "/v1/services/desk/pay", keyA, "amount=6", idempotencyHeader, "k1")
	requireCode(t, r, outcome.IdempotencyMismatch, outcome.NotRun)
	require.EqualValues(t, 1, a.runs.Load())
}

func TestIdempotencyKeyIsReusableAfterNotRun(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		if refuse.Load() {
			return outcome.New(outcome.TargetLeaving, outcome.NotRun, "leaving")
		}
		return echo(a, request, s)
	})
	control := &fakeControl{records: make(map[string]*fakeRecord)}
	g := startGateway(t, Config{State: newFakeState(t, target("s1", "desk", a)), Control: control})
	pay := func() reply {
		return g.do(t, "POST", "/v1/services/desk/pay", keyA, "x", idempotencyHeader, "k1")
	}
	requireCode(t, pay(), outcome.TargetLeaving, outcome.NotRun)
	refuse.Store(false)
	require.Equal(t, http.StatusOK, pay().status)
	require.Equal(t, http.StatusOK, pay().status)
	require.EqualValues(t, 1, a.runs.Load())
}

func TestResendAfterMayHaveRunDoesNotRunAgain(t *testing.T) {
	a := startAgent(t, refuseWith(outcome.TargetFailed, outcome.MayHaveRun))
	control := &fakeControl{records: make(map[string]*fakeRecord)}
	g := startGateway(t, Config{State: newFakeState(t, target("s1", "desk", a)), Control: control})
	for range 3 {
		r := g.do(t, "POST", "/v1/services/desk/pay", keyA, "x", idempotencyHeader, "k1")
		requireCode(t, r, outcome.TargetFailed, outcome.MayHaveRun)
	}
	require.EqualValues(t, 1, a.received.Load())
}

func TestStreamIsReplayedToResends(t *testing.T) {
	a := startAgent(t, streamGeneration(-1, nil))
	control := &fakeControl{records: make(map[string]*fakeRecord)}
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a)), Control: control})
	for range 3 {
		r := g.do(t, "POST", chatPath, keyA, streamBody, idempotencyHeader, "k1")
		require.Equal(t, completeStream(), r.body)
	}
	require.EqualValues(t, 1, a.runs.Load())
	long := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	requireCode(t, g.do(t, "POST", chatPath, keyA, chatBody, idempotencyHeader, long), outcome.BadRequest, outcome.NotRun)
}
