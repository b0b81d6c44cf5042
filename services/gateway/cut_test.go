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

// cutter relays TCP connections to an address and cuts each after a number of
// bytes in one direction.
type cutter struct {
	addr       string
	toTarget   atomic.Int64 // bytes let through; negative: all
	fromTarget atomic.Int64
	passed     [2]atomic.Int64 // bytes of the newest connection
}

func startCutter(t *testing.T, backend string) *cutter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &cutter{addr: l.Addr().String()}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", backend)
			if err != nil {
				near.Close()
				continue
			}
			c.passed[0].Store(0)
			c.passed[1].Store(0)
			wg.Go(func() { relay(far, near, c.toTarget.Load(), &c.passed[0]) })
			wg.Go(func() { relay(near, far, c.fromTarget.Load(), &c.passed[1]) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return c
}

// relay copies until limit bytes have passed, then cuts both connections.
func relay(to, from net.Conn, limit int64, passed *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	var source io.Reader = from
	if limit >= 0 {
		source = io.LimitReader(from, limit)
	}
	_, _ = io.Copy(counting{to, passed}, source)
}

type counting struct {
	net.Conn
	passed *atomic.Int64
}

func (c counting) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.passed.Add(int64(n))
	return n, err
}

// cutResult is what the caller was told of one request.
type cutResult struct {
	whole   bool
	outcome string
	cut     int64
}

// A connection that is cut after any byte, in either direction, never makes
// the outcome a lie, never repeats a request that may not be repeated, and
// never hands on half an answer.
func TestOutcomeIsTrueUnderCutsAtEveryByte(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	a := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		mu.Lock()
		runs[open.ID.RequestID]++
		mu.Unlock()
		return echo(a, open, s)
	})
	c := startCutter(t, a.addr)
	c.toTarget.Store(-1)
	c.fromTarget.Store(-1)
	e := target("s1", "desk", a)
	e.AgentAddr = c.addr
	const path, body = "/v1/services/desk/pay", "amount=5"
	g := startGateway(t, Config{State: newFakeState(t, e)})
	require.Equal(t, body, g.do(t, "POST", path, keyA, body).body)
	total := [2]int64{c.passed[0].Load(), c.passed[1].Load()}
	results := make(map[string]cutResult)
	for direction, limit := range []*atomic.Int64{&c.toTarget, &c.fromTarget} {
		for n := range total[direction] + 1 {
			limit.Store(n)
			fresh := wire.NewPool(nil) // a new connection, cut anew
			g.cfg.Pool = fresh
			r := g.do(t, "POST", path, keyA, body)
			fresh.Close()
			result := cutResult{whole: r.status == http.StatusOK, cut: n}
			if result.whole {
				require.Equal(t, body, r.body)
			} else {
				var e httpapi.ErrorBody
				require.NoError(t, json.Unmarshal([]byte(r.body), &e))
				result.outcome = e.Error.Outcome
			}
			results[r.header.Get(requestHeader)] = result
		}
		limit.Store(-1)
	}
	require.Len(t, results, int(total[0]+total[1]+2))
	g.cfg.Pool = wire.NewPool(nil)
	defer g.cfg.Pool.Close()
	require.Equal(t, body, g.do(t, "POST", path, keyA, body).body)
	mu.Lock()
	defer mu.Unlock()
	counts := make(map[string]int)
	for id, r := range results {
		require.LessOrEqual(t, runs[id], 1)
		if runs[id] > 0 {
			require.NotEqual(t, outcome.NotRun.String(), r.outcome, "cut after %d bytes", r.cut)
		}
		if r.whole {
			require.Equal(t, 1, runs[id])
		}
		counts[r.outcome]++
	}
	require.Positive(t, counts[outcome.NotRun.String()])
	require.Positive(t, counts[outcome.MayHaveRun.String()])
	t.Logf("%d cuts towards and %d from the agent: %v", total[0]+1, total[1]+1, counts)
}

// An agent that restarts under the same address refuses attempts meant for its
// earlier life; the gateway goes elsewhere.
func TestAgentOfAnotherLifeRefuses(t *testing.T) {
	restarted := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		if open.ID.AgentIncarnation != 8 {
			return outcome.New(outcome.TargetLeaving, outcome.NotRun, "another life of this agent")
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

// A shutdown cuts off no request: running ones and streams end whole, readyz
// fails at once, and requests that still come are served.
func TestDrainCutsOffNothing(t *testing.T) {
	release, open := gate()
	a := startAgent(t, func(a *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		<-release
		if request.Path == chatPath {
			return generate(-1, nil)(a, request, s)
		}
		return echo(a, request, s)
	})
	state := newFakeState(t, target("e1", "m1", a), target("s1", "desk", a))
	g := startGateway(t, Config{State: state, DrainDelay: waitLimit / 40})
	t.Cleanup(open)
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
	require.Eventually(t, func() bool { return a.opens.Load() == 10 }, waitLimit, pollInterval)
	g.stop()
	require.Eventually(t, func() bool { return g.Ready() != nil }, waitLimit, pollInterval)
	late := g.do(t, "GET", "/readyz", "", "")
	require.Equal(t, http.StatusServiceUnavailable, late.status)
	open()
	for range 10 {
		r := <-results
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Contains(t, []string{"x", wholeStream()}, r.body)
	}
	require.NoError(t, <-g.done)
}
