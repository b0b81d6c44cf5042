package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/control"
)

// TestRestartAfterManyChanges rolls out hundreds of versions while the hosts
// are restarted in turn, and checks that a retry of an early request still gets
// its first response.
func TestRestartAfterManyChanges(t *testing.T) {
	const versions = 300
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	var fifthResult *fleet.Result
	for version := 1; version <= versions; version++ {
		request := rollRequest("ilze", fmt.Sprint(version), version, 0)
		result, err := callUntilAnswered[fleet.Result](t, f.addrs[version%fleetSize], rpc.MethodRoll, request)
		require.NoError(t, err)
		if version == 5 {
			fifthResult = result
		}
		if version%40 == 0 {
			i := version / 40 % fleetSize
			f.hosts[i].stop()
			f.start(i, nil)
		}
	}
	for _, addr := range f.addrs {
		sub := subscribe(t, ctx, addr, &fleet.View{})
		require.NoError(t, sub.confirm(1))
		require.Equal(t, uint64(versions), sub.view.Bundle().Version())
	}
	again, err := callUntilAnswered[fleet.Result](t, f.addrs[0], rpc.MethodRoll, rollRequest("ilze", "5", 5, 0))
	require.NoError(t, err)
	require.Equal(t, fifthResult, again)
}

// TestLargeSnapshotReachesLaggingHost checks that a lagging host catches up
// from a snapshot so large that it is sent in several parts.
func TestLargeSnapshotReachesLaggingHost(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	lagging := (f.leader() + 1) % fleetSize
	f.hosts[lagging].stop()
	comment := bytes.Repeat([]byte("# padding\n"), 180_000) // 1.8 MB
	request := rollRequest("ilze", "1", 1, 0)
	request.Signed.Source = append(comment, request.Signed.Source...)
	_, err := callUntilAnswered[fleet.Result](t, f.addrs[(lagging+1)%fleetSize], rpc.MethodRoll, request)
	require.NoError(t, err)
	for i := range 2 * snapshotEvery {
		mark := &rpc.MarkRequest{
			Key:  rpc.RequestKey{Client: "ilze", RequestID: fmt.Sprint("mark", i)},
			Mark: fleet.SetMark{DataCentre: "a", Out: i%2 == 0},
		}
		_, err := callUntilAnswered[fleet.Result](t, f.addrs[(lagging+1)%fleetSize], rpc.MethodMark, mark)
		require.NoError(t, err)
	}
	f.start(lagging, nil)
	sub := subscribe(t, ctx, f.addrs[lagging], &fleet.View{})
	for sub.view.Bundle().Version() < 1 {
		if sub.confirm(1) != nil { // the host may not know the leader yet
			require.NoError(t, ctx.Err())
			sub = subscribe(t, ctx, f.addrs[lagging], sub.view)
		}
	}
	require.Equal(t, bundle.Digest(request.Signed.Source), sub.view.Bundle().Digest())
}

// TestSlowSubscriberDoesNotBlockOthers checks that a subscriber that never
// reads does not block other subscribers.
func TestSlowSubscriberDoesNotBlockOthers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f := startFleet(t)
	slow := subscribe(t, ctx, f.addrs[0], &fleet.View{})
	require.NoError(t, slow.stream.Send(&rpc.SubscribePing{Subscriber: "slow", SentAt: 1}))
	sub := subscribe(t, ctx, f.addrs[0], &fleet.View{})
	require.NoError(t, sub.confirm(1))
	padding := bytes.Repeat([]byte("# padding\n"), 50_000) // 0.5 MB
	for version := 1; version <= 10; version++ {
		request := rollRequest("ilze", fmt.Sprint(version), version, 0)
		request.Signed.Source = append(padding, request.Signed.Source...)
		_, err := callUntilAnswered[fleet.Result](t, f.addrs[1], rpc.MethodRoll, request)
		require.NoError(t, err)
		require.NoError(t, sub.confirm(int64(version+1)))
		require.Equal(t, uint64(version), sub.view.Bundle().Version())
	}
}

// TestShutdownCompletesCallsInFlight checks that a host that is shut down
// rejects new calls but completes a call in flight.
func TestShutdownCompletesCallsInFlight(t *testing.T) {
	const method wire.Method = 9000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	server, err := control.New(control.Config{ID: 1, Peers: map[uint64]string{1: addr}, DataDir: t.TempDir()})
	require.NoError(t, err)
	entered, release := make(chan struct{}), make(chan struct{})
	control.HandleForwarded(server, method, func(context.Context, *rpc.Ack) (*rpc.Ack, error) {
		close(entered)
		<-release
		return &rpc.Ack{}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = server.Run(ctx, l) })
	answered := make(chan error, 1)
	wg.Go(func() {
		_, err := callUntilAnswered[rpc.Ack](t, addr, method, &rpc.Ack{})
		answered <- err
	})
	<-entered
	cancel()
	pool := wire.NewPool(nil)
	defer pool.Close()
	require.Eventually(t, func() bool {
		err := pool.Call(context.Background(), addr, rpc.MethodLeases, &rpc.LeasesRequest{}, &rpc.LeasesResponse{})
		return outcome.IsCode(err, outcome.Draining)
	}, waitTimeout, time.Millisecond, "new calls are refused")
	close(release)
	require.NoError(t, <-answered)
}
