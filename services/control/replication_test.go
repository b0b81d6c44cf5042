package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const tokenDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" // of "test"

// bundleSource returns a valid bundle; variant makes its digest differ.
func bundleSource(version, variant int) []byte {
	return fmt.Appendf(nil, "# variant %d\nversion: %d\ndata_centres: [{name: a, region: r}]\nworkspaces: []\nmodels: [{name: m, kind: model}]\nroutes: []\n"+
		"limits: {max_body_bytes: 1, max_batch_file_bytes: 1, max_batch_items: 1, max_item_attempts: 1, max_attempts: 1, retry_ratio: 0, request_timeout: 1s, open_rate: 1, open_burst: 1}\n", variant, version)
}

func rollRequest(operator, id string, version, variant int) *rpc.RollRequest {
	return &rpc.RollRequest{
		Key:    rpc.RequestKey{Client: operator, RequestID: id},
		Signed: bundle.Signed{Source: bundleSource(version, variant)},
	}
}

// attemptTimeout limits one attempt of callUntilAnswered, since a partitioned
// host does not respond.
const attemptTimeout = 10 * time.Second

// callUntilAnswered retries a request at a host until its outcome is known.
func callUntilAnswered[Resp any](t testing.TB, addr string, method wire.Method, request any) (*Resp, error) {
	t.Helper()
	pool := wire.NewPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		response := new(Resp)
		attemptCtx, stop := context.WithTimeout(ctx, attemptTimeout)
		err := pool.Call(attemptCtx, addr, method, request, response)
		stop()
		if err == nil {
			return response, nil
		}
		switch e := outcome.From(err); e.Code {
		case outcome.NotLeader, outcome.Unreachable, outcome.NoQuorum, outcome.DeadlineExceeded:
			require.NoError(t, ctx.Err(), "no answer: %v", err)
		default:
			return nil, err
		}
	}
}

// subscriber applies the updates of one subscription stream to a view.
type subscriber struct {
	stream *wire.Stream
	view   *fleet.View
}

func subscribe(t testing.TB, ctx context.Context, addr string, view *fleet.View) *subscriber {
	t.Helper()
	pool := wire.NewPool(nil)
	t.Cleanup(pool.Close)
	stream, err := pool.Open(ctx, addr, rpc.MethodSubscribe)
	require.NoError(t, err)
	t.Cleanup(func() { stream.Close() })
	return &subscriber{stream: stream, view: view}
}

// confirm sends a ping and reads until it is confirmed.
func (s *subscriber) confirm(sentAt int64) error {
	if err := s.stream.Send(&rpc.SubscribePing{Subscriber: "s", SentAt: sentAt, Revision: s.view.Revision}); err != nil {
		return err
	}
	for {
		pong, err := s.read()
		if err != nil {
			return err
		}
		if pong.Confirmed && pong.SentAt == sentAt {
			return nil
		}
	}
}

func (s *subscriber) read() (*rpc.SubscribePong, error) {
	var pong rpc.SubscribePong
	if err := s.stream.Recv(&pong); err != nil {
		return nil, err
	}
	view, err := s.view.Apply(pong.Update)
	if err != nil {
		return nil, err
	}
	s.view = view
	return &pong, nil
}

func TestRollReachesAllSubscribers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	subs := make([]*subscriber, len(f.addrs))
	for i, addr := range f.addrs {
		subs[i] = subscribe(t, ctx, addr, &fleet.View{})
		require.NoError(t, subs[i].confirm(1))
	}
	result, err := callUntilAnswered[fleet.Result](t, f.addrs[0], rpc.MethodRoll, rollRequest("ilze", "1", 1, 0))
	require.NoError(t, err)
	require.Equal(t, uint64(1), result.Version)
	for _, sub := range subs {
		for sub.view.Bundle().Version() < 1 { // pushed without another ping
			_, err := sub.read()
			require.NoError(t, err)
		}
		require.Equal(t, result.Digest, sub.view.Bundle().Digest())
	}
	again, err := callUntilAnswered[fleet.Result](t, f.addrs[2], rpc.MethodRoll, rollRequest("ilze", "1", 1, 0))
	require.NoError(t, err)
	require.Equal(t, result, again, "a retry at another host gets the first response")
}

// TestConcurrentRollsWithPartitionedLeader rolls out two bundles under one
// version: one through a leader that has just been partitioned, one through the
// other hosts. Only the latter may succeed.
func TestConcurrentRollsWithPartitionedLeader(t *testing.T) {
	f := startFleet(t)
	_, err := callUntilAnswered[fleet.Result](t, f.addrs[0], rpc.MethodRoll, rollRequest("ilze", "1", 1, 0))
	require.NoError(t, err)
	isolated := f.leader()
	other := (isolated + 1) % fleetSize
	f.relays.setIsolated(isolated, true)

	attemptCtx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	pool := wire.NewPool(nil)
	defer pool.Close()
	var rejected fleet.Result
	err = pool.Call(attemptCtx, f.addrs[isolated], rpc.MethodRoll, rollRequest("ilze", "2", 2, 1), &rejected)
	require.Error(t, err, "a leader without a quorum accepts nothing")

	winner, err := callUntilAnswered[fleet.Result](t, f.addrs[other], rpc.MethodRoll, rollRequest("moussa", "2", 2, 2))
	require.NoError(t, err)
	require.Equal(t, bundle.Digest(bundleSource(2, 2)), winner.Digest)

	f.relays.setIsolated(isolated, false)
	_, err = callUntilAnswered[fleet.Result](t, f.addrs[isolated], rpc.MethodRoll, rollRequest("ilze", "2", 2, 1))
	require.True(t, outcome.IsCode(err, outcome.BundleConflict), "%v", err)
	require.Contains(t, err.Error(), winner.Digest)
	again, err := callUntilAnswered[fleet.Result](t, f.addrs[isolated], rpc.MethodRoll, rollRequest("moussa", "2", 2, 2))
	require.NoError(t, err)
	require.Equal(t, winner, again)

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, addr := range f.addrs {
		sub := subscribe(t, ctx, addr, &fleet.View{})
		require.NoError(t, sub.confirm(1))
		require.Equal(t, winner.Digest, sub.view.Bundle().Digest())
	}
}

// TestPartitionedHostConfirmsNoPings checks that a subscriber of a partitioned
// host gets an error instead of a confirmation, and a confirmation from another
// host.
func TestPartitionedHostConfirmsNoPings(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	follower := (f.leader() + 1) % fleetSize
	sub := subscribe(t, ctx, f.addrs[follower], &fleet.View{})
	require.NoError(t, sub.confirm(1))
	f.relays.setIsolated(follower, true)
	var err error
	for ping := int64(2); err == nil && ctx.Err() == nil; ping++ {
		// A ping may still be confirmed until the host detects the partition.
		err = sub.confirm(ping)
	}
	require.True(t, outcome.IsCode(err, outcome.NoQuorum), "%v", err)
	other := subscribe(t, ctx, f.addrs[f.leader(follower)], sub.view)
	require.NoError(t, other.confirm(1))
}

func TestMembershipLeases(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	heartbeat := func(host int, agent string) {
		target := fleet.Target{ID: fleet.TargetID(agent + "/m"), Model: "m", DataCentre: "a"}
		_, err := callUntilAnswered[rpc.AgentHeartbeatAck](t, f.addrs[host], rpc.MethodAgentHeartbeat,
			&rpc.AgentHeartbeat{Agent: agent, Incarnation: 7, Targets: []fleet.Target{target}})
		require.NoError(t, err)
	}
	heartbeat(0, "kept")
	heartbeat(1, "lost")
	sub := subscribe(t, ctx, f.addrs[2], &fleet.View{})
	require.NoError(t, sub.confirm(1))
	require.Len(t, sub.view.TargetsFor("m"), 2)
	for ping := int64(2); len(sub.view.TargetsFor("m")) > 1; ping++ {
		heartbeat(0, "kept")
		require.NoError(t, sub.confirm(ping))
	}
	require.Equal(t, fleet.TargetID("kept/m"), sub.view.TargetsFor("m")[0].ID)

	_, err := callUntilAnswered[rpc.Ack](t, f.addrs[1], rpc.MethodReportCrash, &rpc.CrashReport{Agent: "kept", Target: "kept/m",
		Incarnation: 1, Suspects: []rpc.SuspectRef{{Workspace: "w", Digest: quarantine.Digest{1}}}})
	require.NoError(t, err)
	require.NoError(t, sub.confirm(1000))
	require.Equal(t, quarantine.Suspect, sub.view.Verdict("w", quarantine.Digest{1}))
}
