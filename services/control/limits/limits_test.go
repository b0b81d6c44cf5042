package limits_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/control"
	"banyanwalk/services/control/limits"
	"banyanwalk/services/controlclient"
	"banyanwalk/services/gateway"
)

const (
	liveness = 60 * time.Second
	hosts    = 3
	gateways = 3
	source   = `
version: 1
data_centres: [{name: a, region: r}]
models: [{name: m, kind: model}]
routes: [{path: /v1/chat/completions}]
workspaces:
  - {name: good, rate: 100, burst: 40, weight: 1, keys: [{digest: "%064d"}]}
  - {name: flood, rate: 40, burst: 20, weight: 1, keys: [{digest: "%064d"}]}
limits: {max_body_bytes: 100000, max_batch_file_bytes: 100000, max_batch_items: 100, max_item_attempts: 3, max_attempts: 3, retry_ratio: 0.1, request_timeout: 20s, open_rate: 100, open_burst: 100}
`
)

type host struct {
	server *control.Server
	stop   func()
}

func startHosts(t *testing.T) (running []*host, addrs []string) {
	peers := make(map[uint64]string)
	var listeners []net.Listener
	for i := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		peers[uint64(i+1)] = l.Addr().String()
		addrs = append(addrs, l.Addr().String())
	}
	for i, l := range listeners {
		server, err := control.New(control.Config{
			ID: uint64(i + 1), Peers: peers, DataDir: t.TempDir(), DataCentre: "a", UnsignedBundles: true,
			Log: telemetry.Discard(), Metrics: metrics.NewRegistry(),
		})
		require.NoError(t, err)
		limits.Register(server)
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { _ = server.Run(ctx, l) })
		h := &host{server: server, stop: sync.OnceFunc(func() { cancel(); wg.Wait() })}
		t.Cleanup(h.stop)
		running = append(running, h)
	}
	return running, addrs
}

func leader(t *testing.T, running []*host, except int) int {
	found := -1
	require.Eventually(t, func() bool {
		for i, h := range running {
			if i != except && h.server.Leads(control.ConfigGroup) {
				found = i
				return true
			}
		}
		return false
	}, liveness, time.Millisecond)
	return found
}

func client(addrs []string, name string) *controlclient.Client {
	return controlclient.New(controlclient.Config{Name: name, Addrs: addrs, Log: telemetry.Discard()})
}

func roll(t *testing.T, addrs []string) {
	ctx, cancel := context.WithTimeout(context.Background(), liveness)
	defer cancel()
	request := &rpc.RollRequest{
		Key:    rpc.RequestKey{Client: "test", RequestID: "1"},
		Signed: bundle.Signed{Source: []byte(fmt.Sprintf(source, 1, 2))},
	}
	require.NoError(t, client(addrs, "operator").CallAgain(ctx, rpc.MethodRoll, request, &fleet.Result{}))
}

// Over three gateways, one workspace at ten times its rate gets no more than
// its limit; the other, inside its limit, is never refused, also while the
// leader of control is lost.
func TestLimitsOverFleetAndChangeOfOwner(t *testing.T) {
	running, addrs := startHosts(t)
	first := leader(t, running, -1)
	roll(t, addrs)
	ctx, cancel := context.WithCancel(context.Background())
	var runners, callers conc.WaitGroup
	limiters := make([]*gateway.RateLimiter, gateways)
	for i := range limiters {
		name := fmt.Sprint("g", i)
		limiters[i] = gateway.NewRateLimiter(name, client(addrs, name), telemetry.Discard(), metrics.NewRegistry())
		runners.Go(func() { _ = limiters[i].Run(ctx) })
	}
	var admitted, refused [2]atomic.Int64
	var wrong atomic.Pointer[outcome.Error]
	send := func(workspace string, index, n int) {
		callers.Go(func() {
			err := limiters[n%gateways].Admit(context.Background(), workspace)
			if err == nil {
				admitted[index].Add(1)
				return
			}
			refused[index].Add(1)
			if index == 0 {
				wrong.Store(outcome.From(err))
			}
		})
	}
	start := time.Now()
	const rounds = 400 // of 10 ms: good sends 75 a second, flood 400
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for n := range rounds {
		<-ticker.C
		if n%4 != 3 {
			send("good", 0, n)
		}
		for k := range 4 {
			send("flood", 1, n+k)
		}
		if n == rounds/3 {
			running[first].stop()
		}
	}
	callers.Wait()
	elapsed := time.Since(start)
	cancel()
	runners.Wait()
	t.Logf("%v: good admitted %d refused %d, flood admitted %d refused %d", elapsed,
		admitted[0].Load(), refused[0].Load(), admitted[1].Load(), refused[1].Load())
	require.Zero(t, refused[0].Load(), "%v", wrong.Load())
	require.EqualValues(t, rounds-rounds/4, admitted[0].Load())
	require.LessOrEqual(t, admitted[1].Load(), int64(20+40*elapsed.Seconds()))
	require.Positive(t, refused[1].Load())
	require.NotEqual(t, first, leader(t, running, first))
}
