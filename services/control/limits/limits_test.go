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
	eventualTimeout = 60 * time.Second
	hosts           = 3
	gateways        = 3
	bundleSource    = `
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
			ID: uint64(i + 1), Peers: peers, DataDir: t.TempDir(), DataCentre: "a", AllowUnsignedBundles: true,
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

func waitForLeader(t *testing.T, running []*host, except int) int {
	found := -1
	require.Eventually(t, func() bool {
		for i, h := range running {
			if i != except && h.server.Leads(control.ConfigGroup) {
				found = i
				return true
			}
		}
		return false
	}, eventualTimeout, time.Millisecond)
	return found
}

func newClient(addrs []string, name string) *controlclient.Client {
	return controlclient.New(controlclient.Config{Name: name, Addrs: addrs, Log: telemetry.Discard()})
}

func rollBundle(t *testing.T, addrs []string) {
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	request := &rpc.RollRequest{
		Key:    rpc.RequestKey{Client: "test", RequestID: "1"},
		Signed: bundle.Signed{Source: []byte(fmt.Sprintf(bundleSource, 1, 2))},
	}
	require.NoError(t, newClient(addrs, "operator").CallIdempotent(ctx, rpc.MethodRoll, request, &fleet.Result{}))
}

// Two workspaces send through three gateways while the control leader, which owns
// the limits, is stopped. The workspace at ten times its rate must not exceed its
// limit, and the one within its limit must never be refused.
func TestLimitsHoldAcrossOwnerFailover(t *testing.T) {
	running, addrs := startHosts(t)
	firstLeader := waitForLeader(t, running, -1)
	rollBundle(t, addrs)
	ctx, cancel := context.WithCancel(context.Background())
	var runners, callers conc.WaitGroup
	limiters := make([]*gateway.RateLimiter, gateways)
	for i := range limiters {
		name := fmt.Sprint("g", i)
		limiters[i] = gateway.NewRateLimiter(name, newClient(addrs, name), telemetry.Discard(), metrics.NewRegistry())
		runners.Go(func() { _ = limiters[i].Run(ctx) })
	}
	var admitted, refused [2]atomic.Int64
	var unexpectedRefusal atomic.Pointer[outcome.Error]
	admit := func(workspace string, index, n int) {
		callers.Go(func() {
			err := limiters[n%gateways].Admit(context.Background(), workspace)
			if err == nil {
				admitted[index].Add(1)
				return
			}
			refused[index].Add(1)
			if index == 0 {
				unexpectedRefusal.Store(outcome.From(err))
			}
		})
	}
	start := time.Now()
	const rounds = 400 // of 10 ms each: good sends 75 requests per second, flood 400
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for n := range rounds {
		<-ticker.C
		if n%4 != 3 {
			admit("good", 0, n)
		}
		for k := range 4 {
			admit("flood", 1, n+k)
		}
		if n == rounds/3 {
			running[firstLeader].stop()
		}
	}
	callers.Wait()
	elapsed := time.Since(start)
	cancel()
	runners.Wait()
	t.Logf("%v: good admitted %d refused %d, flood admitted %d refused %d", elapsed,
		admitted[0].Load(), refused[0].Load(), admitted[1].Load(), refused[1].Load())
	require.Zero(t, refused[0].Load(), "%v", unexpectedRefusal.Load())
	require.EqualValues(t, rounds-rounds/4, admitted[0].Load())
	require.LessOrEqual(t, admitted[1].Load(), int64(20+40*elapsed.Seconds()))
	require.Positive(t, refused[1].Load())
	require.NotEqual(t, firstLeader, waitForLeader(t, running, firstLeader))
}
