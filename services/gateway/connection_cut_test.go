package gateway

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// cuttingProxy relays TCP connections to an address and cuts each after a number of
// bytes in one direction.
type cuttingProxy struct {
	addr             string
	toBackendLimit   atomic.Int64 // bytes let through; negative: all
	fromBackendLimit atomic.Int64
	relayed          [2]atomic.Int64 // bytes of the newest connection
}

func startCuttingProxy(t *testing.T, backend string) *cuttingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &cuttingProxy{addr: l.Addr().String()}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", backend)
			if err != nil {
				client.Close()
				continue
			}
			c.relayed[0].Store(0)
			c.relayed[1].Store(0)
			wg.Go(func() { copyAndCut(upstream, client, c.toBackendLimit.Load(), &c.relayed[0]) })
			wg.Go(func() { copyAndCut(client, upstream, c.fromBackendLimit.Load(), &c.relayed[1]) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return c
}

// copyAndCut copies until limit bytes have passed, then cuts both connections.
func copyAndCut(to, from net.Conn, limit int64, relayed *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	var source io.Reader = from
	if limit >= 0 {
		source = io.LimitReader(from, limit)
	}
	_, _ = io.Copy(countingConn{to, relayed}, source)
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// cutResult is what the caller received for one request.
type cutResult struct {
	complete bool
	outcome  string
	cutAfter int64
}

// Cuts the connection to the agent after each byte in either direction. The
// reported outcome must be correct, a request that is not idempotent must run at
// most once, and a partial response must never reach the caller.
func TestOutcomeIsCorrectForConnectionCutAtEveryByte(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	a := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		mu.Lock()
		runs[open.ID.RequestID]++
		mu.Unlock()
		return echo(a, open, s)
	})
	proxy := startCuttingProxy(t, a.addr)
	proxy.toBackendLimit.Store(-1)
	proxy.fromBackendLimit.Store(-1)
	e := target("s1", "desk", a)
	e.AgentAddr = proxy.addr
	const path, body = "/v1/services/desk/pay", "amount=5"
	g := startGateway(t, Config{State: newFakeState(t, e)})
	require.Equal(t, body, g.do(t, "POST", path, keyA, body).body)
	relayed := [2]int64{proxy.relayed[0].Load(), proxy.relayed[1].Load()}
	results := make(map[string]cutResult)
	for direction, limit := range []*atomic.Int64{&proxy.toBackendLimit, &proxy.fromBackendLimit} {
		for n := range relayed[direction] + 1 {
			limit.Store(n)
			pool := wire.NewPool(nil) // a new connection, with the new limit
			g.cfg.Pool = pool
			r := g.do(t, "POST", path, keyA, body)
			pool.Close()
			result := cutResult{complete: r.status == http.StatusOK, cutAfter: n}
			if result.complete {
				require.Equal(t, body, r.body)
			} else {
				var e httpapi.ErrorBody
				require.NoError(t, json.Unmarshal([]byte(r.body), &e))
				result.outcome = e.Error.Outcome
			}
			results[r.header.Get(requestIDHeader)] = result
		}
		limit.Store(-1)
	}
	require.Len(t, results, int(relayed[0]+relayed[1]+2))
	g.cfg.Pool = wire.NewPool(nil)
	defer g.cfg.Pool.Close()
	require.Equal(t, body, g.do(t, "POST", path, keyA, body).body)
	mu.Lock()
	defer mu.Unlock()
	counts := make(map[string]int)
	for id, r := range results {
		require.LessOrEqual(t, runs[id], 1)
		if runs[id] > 0 {
			require.NotEqual(t, outcome.NotRun.String(), r.outcome, "cut after %d bytes", r.cutAfter)
		}
		if r.complete {
			require.Equal(t, 1, runs[id])
		}
		counts[r.outcome]++
	}
	require.Positive(t, counts[outcome.NotRun.String()])
	require.Positive(t, counts[outcome.MayHaveRun.String()])
	t.Logf("%d cuts to the agent and %d cuts from it: %v", relayed[0]+1, relayed[1]+1, counts)
}

// An agent that restarts at the same address refuses attempts addressed to its
// earlier incarnation; the gateway retries them on another target.
func TestAgentRefusesOtherIncarnation(t *testing.T) {
	restarted := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		if open.ID.AgentIncarnation != 8 {
			return outcome.New(outcome.TargetLeaving, outcome.NotRun, "another incarnation of this agent")
		}
		return echo(a, open, s)
	})
	other := startAgent(t, echo)
	g := startGateway(t, Config{State: newFakeState(t, target("s1", "desk", restarted), target("s2", "desk", other))})
	for range 10 {
		require.Equal(t, http.StatusOK, g.do(t, "POST", "/v1/services/desk/pay", keyA, "x").status)
	}
	require.Zero(t, restarted.runs.Load())
	require.EqualValues(t, 10, other.runs.Load())
}

// During a drain in-flight requests and streams complete, /readyz fails at once and
// new requests are still answered.
func TestDrainFinishesInFlightRequests(t *testing.T) {
	release, releaseAgent := newRelease()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		if request.Path == chatPath {
			return streamGeneration(-1, nil)(a, request, s)
		}
		return echo(a, request, s)
	})
	state := newFakeState(t, target("e1", "m1", a), target("s1", "desk", a))
	g := startGateway(t, Config{State: state, DrainDelay: testTimeout / 40})
	t.Cleanup(releaseAgent)
	results := make(chan reply, 20)
	send := func(path, body string) {
		go func() {
			r, err := g.try("POST", path, keyA, body)
			if err != nil {
				r = reply{body: err.Error()}
			}
			results <- r
		}()
	}
	for range 5 {
		send(chatPath, streamBody)
		send("/v1/services/desk/pay", "x")
	}
	require.Eventually(t, func() bool { return a.received.Load() == 10 }, testTimeout, pollInterval)
	g.stop()
	require.Eventually(t, func() bool { return g.Ready() != nil }, testTimeout, pollInterval)
	readiness := g.do(t, "GET", "/readyz", "", "")
	require.Equal(t, http.StatusServiceUnavailable, readiness.status)
	releaseAgent()
	for range 10 {
		r := <-results
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Contains(t, []string{"x", completeStream()}, r.body)
	}
	require.NoError(t, <-g.serveResult)
}
