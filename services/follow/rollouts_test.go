package follow

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const (
	stubGrantTTL = 400 * time.Millisecond
	newTargets   = 4
)

// stubLeader is a control host that grants requests within an exposure.
type stubLeader struct {
	addr   string
	silent atomic.Bool // there is no leader

	mu       sync.Mutex
	evidence map[uint64][]rollout.Evidence // newest, by process
	granted  int
	calls    map[string]int
}

func startStubLeader(t *testing.T) *stubLeader {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stubLeader{addr: l.Addr().String(), evidence: make(map[uint64][]rollout.Evidence), calls: make(map[string]int)}
	server := wire.NewServer(telemetry.Discard(), nil)
	wire.HandleUnary(server, rpc.MethodRolloutGrant, s.report)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return s
}

// exposure is the number of requests that may go to the new version so far.
func (s *stubLeader) exposure() int {
	total := 0
	for _, evidence := range s.evidence {
		for _, e := range evidence {
			total += int(e.Answers)
		}
	}
	return total/10 + 10
}

func (s *stubLeader) report(_ context.Context, r *rpc.RolloutReport) (*rpc.RolloutGrants, error) {
	if s.silent.Load() {
		return nil, outcome.New(outcome.NoQuorum, outcome.NotRun, "no leader")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.Member]++
	s.evidence[r.Incarnation] = r.Evidence
	response := &rpc.RolloutGrants{}
	for _, w := range r.Wanted {
		n := min(w.Requests, s.exposure()-s.granted)
		if n > 0 {
			s.granted += n
			response.Grants = append(response.Grants, rpc.RolloutGrant{Service: w.Service, Version: w.Version, Requests: n, TTLMS: stubGrantTTL.Milliseconds()})
		}
	}
	return response, nil
}

// testGateway places requests as a gateway does that chooses targets by itself.
type testGateway struct {
	*Follower
	addr    string // of the control host that it hears from
	cutOff  atomic.Bool
	sentOld atomic.Int64
	sentNew atomic.Int64
}

func startTestGateway(t *testing.T, name, control string, phase rollout.Phase) *testGateway {
	g := &testGateway{Follower: newFollower(false), addr: control}
	g.cfg.Member.Name = name
	g.push(phase)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = g.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			if !g.cutOff.Load() {
				g.ApplyPush(time.Now(), g.addr, &rpc.FollowPush{})
			}
			g.place()
			time.Sleep(2 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return g
}

// push delivers the catalog of a phase, with the targets of both versions.
func (g *testGateway) push(phase rollout.Phase) {
	state := &catalog.State{Revision: uint64(phase) + 1, Version: 1, Body: []byte{1}}
	if phase != 0 {
		state.Rollouts = []rollout.Rollout{{Service: "llm", Version: "v2", Phase: phase}}
	}
	push := &rpc.FollowPush{Catalog: rpc.PackCatalog(state, nil)}
	for n := range 2 * newTargets {
		version := []string{"v1", "v2"}[n%2]
		push.Targets = append(push.Targets, rpc.TargetReport{Report: roster.Report{ID: fmt.Sprint("t", n), Incarnation: 1, Sequence: uint64(phase) + 1,
			Service: "llm", Addr: fmt.Sprint("10.0.0.1:", n+1), DataCentre: "a", Version: version, Slots: 8, State: roster.Ready}})
	}
	g.ApplyPush(time.Now(), g.addr, push)
}

// place places a request that ends at once.
func (g *testGateway) place() {
	target, _ := g.Targets.Acquire(time.Now(), placement.Query{Service: "llm", Rollout: g.Gate.Service("llm")})
	if target == nil {
		return
	}
	g.Targets.Release(target.ID, false)
	if target.Version == "v2" {
		g.sentNew.Add(1)
	} else {
		g.sentOld.Add(1)
	}
	g.Gate.Observe("llm", target.Version, "r", rollout.Answer{Latency: time.Millisecond})
}

// Guards against a bad version that gets more than its exposure from all gateways
// together: also from one that is cut off from control, one that starts anew, and all of
// them while there is no leader; and against one that still gets requests once it is
// reverted.
func TestExposureOverSeveralGateways(t *testing.T) {
	leader := startStubLeader(t)
	var gateways []*testGateway
	start := func() *testGateway {
		g := startTestGateway(t, fmt.Sprint("g", len(gateways)), leader.addr, rollout.Canary)
		gateways = append(gateways, g)
		return g
	}
	sent := func() (fresh, old int) {
		for _, g := range gateways {
			fresh += int(g.sentNew.Load())
			old += int(g.sentOld.Load())
		}
		return fresh, old
	}
	cut := start()
	for range 3 {
		start()
	}
	time.Sleep(1200 * time.Millisecond)
	cut.cutOff.Store(true)
	start()
	time.Sleep(primaryTimeout + stubGrantTTL + 2*rolloutInterval)
	whenExpired := cut.sentNew.Load()
	assert.Positive(t, whenExpired, "it had grants")
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, whenExpired, cut.sentNew.Load(), "the grants of the cut-off gateway have expired")
	assert.Positive(t, gateways[4].sentNew.Load(), "the gateway that started anew gets grants")

	leader.silent.Store(true)
	time.Sleep(stubGrantTTL + rolloutInterval)
	before, _ := sent()
	time.Sleep(500 * time.Millisecond)
	fresh, _ := sent()
	assert.Equal(t, before, fresh, "no grants without a leader")
	leader.silent.Store(false)
	require.Eventually(t, func() bool { now, _ := sent(); return now > fresh }, 5*time.Second, 10*time.Millisecond)

	fresh, old := sent()
	leader.mu.Lock()
	granted, calls := leader.granted, leader.calls["g1"]
	leader.mu.Unlock()
	t.Logf("%d requests to the new version and %d to the old one; %d granted; %d reports of one gateway", fresh, old, granted, calls)
	assert.LessOrEqual(t, fresh, granted+len(gateways))
	assert.LessOrEqual(t, float64(fresh), 0.1*float64(fresh+old)+10)
	assert.Greater(t, float64(fresh), 0.03*float64(fresh+old), "the grants are used")

	for _, g := range gateways {
		g.push(rollout.Reverted)
	}
	time.Sleep(10 * time.Millisecond) // for requests that were being placed
	before, _ = sent()
	time.Sleep(300 * time.Millisecond)
	fresh, _ = sent()
	assert.Equal(t, before, fresh, "a reverted version gets nothing")
}

// Guards against a process that learns of a rollout with its targets and uses these
// before, and against targets of two versions that are not used as before without one.
func TestRolloutBindsWithItsCatalog(t *testing.T) {
	f := &testGateway{Follower: newFollower(false), addr: "c"}
	f.push(0)
	versions := map[string]int{}
	for range 2 * newTargets {
		target, _ := f.Targets.Acquire(time.Now(), placement.Query{Service: "llm", Rollout: f.Gate.Service("llm")})
		versions[target.Version]++
	}
	assert.Equal(t, map[string]int{"v1": newTargets, "v2": newTargets}, versions)
	assert.False(t, f.Gate.Active())
	f.push(rollout.Canary)
	placed := f.sentNew.Load()
	for range 100 {
		f.place()
	}
	assert.Equal(t, placed, f.sentNew.Load())
	f.push(rollout.Finishing)
	old := f.sentOld.Load()
	for range 100 {
		f.place()
	}
	assert.Equal(t, old, f.sentOld.Load())
}
