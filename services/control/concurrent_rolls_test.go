package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// hostAttemptTimeout limits the time an operator spends on a partitioned host
// before trying the next one.
const hostAttemptTimeout = time.Second

// rollWithFailover sends a roll to one host after the other, with the same
// request id, until the response is final.
func rollWithFailover(ctx context.Context, addrs []string, first int, request *rpc.RollRequest) (*fleet.Result, error) {
	pool := wire.NewPool(nil)
	defer pool.Close()
	for i := first; ; i++ {
		attempt, stop := context.WithTimeout(ctx, hostAttemptTimeout)
		result := new(fleet.Result)
		err := pool.Call(attempt, addrs[i%len(addrs)], rpc.MethodRoll, request, result)
		stop()
		if err == nil {
			return result, nil
		}
		if outcome.IsCode(err, outcome.BundleConflict) || outcome.IsCode(err, outcome.BundleOutdated) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// bundleObserver records the bundle digest that a subscriber sees for each
// version, while it reconnects to one host after the other.
type bundleObserver struct {
	mu      sync.Mutex
	digests map[uint64]string
}

func (o *bundleObserver) watch(ctx context.Context, t *testing.T, addrs []string, first int) {
	view := &fleet.View{}
	for i := first; ctx.Err() == nil; i++ {
		pool := wire.NewPool(nil)
		stream, err := pool.Open(ctx, addrs[i%len(addrs)], rpc.MethodSubscribe)
		if err == nil {
			sub := &subscriber{stream: stream, view: view}
			for err == nil {
				o.record(t, view, sub.view)
				view = sub.view
				err = sub.confirm(1)
			}
			if outcome.IsCode(err, outcome.BundleOutdated) {
				t.Errorf("the view refused an update: %v", err)
			}
		}
		pool.Close()
	}
}

func (o *bundleObserver) record(t *testing.T, before, after *fleet.View) {
	version := after.Bundle().Version()
	if version < before.Bundle().Version() {
		t.Errorf("version %d came after %d", version, before.Bundle().Version())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.digests[version] = after.Bundle().Digest()
}

// TestConcurrentRollsUnderLeaderPartitions has two operators concurrently roll
// out different bundles under each version, while the current leader is
// repeatedly partitioned and healed. Exactly one bundle wins per version, and
// no subscriber ever sees another bundle under that version, or an older
// version after it.
func TestConcurrentRollsUnderLeaderPartitions(t *testing.T) {
	const versions, isolateEvery = 24, 4
	random := rand.New(rand.NewPCG(20261204, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	f := startFleet(t)
	observers := make([]*bundleObserver, len(f.addrs))
	var watchers conc.WaitGroup
	for i := range f.addrs {
		observers[i] = &bundleObserver{digests: make(map[uint64]string)}
		watchers.Go(func() { observers[i].watch(ctx, t, f.addrs, i) })
	}
	winnerDigests := make(map[uint64]string)
	isolated := -1
	for version := 1; version <= versions; version++ {
		hosts := []int{random.IntN(fleetSize), random.IntN(fleetSize)}
		if version%isolateEvery == 0 {
			isolated = f.leader()
			f.relays.setIsolated(isolated, true)
		} else if isolated >= 0 {
			f.relays.setIsolated(isolated, false)
			isolated = -1
		}
		winnerDigests[uint64(version)] = rollConcurrently(t, ctx, f.addrs, hosts, version)
	}
	if isolated >= 0 {
		f.relays.setIsolated(isolated, false)
	}
	for _, addr := range f.addrs {
		var err error
		for sub := subscribe(t, ctx, addr, &fleet.View{}); ; sub = subscribe(t, ctx, addr, &fleet.View{}) {
			if err = sub.confirm(1); err == nil || ctx.Err() != nil {
				require.Equal(t, winnerDigests[versions], sub.view.Bundle().Digest())
				break
			}
		}
		require.NoError(t, err)
	}
	cancel()
	watchers.Wait()
	for _, w := range observers {
		for version, digest := range w.digests {
			if version > 0 {
				require.Equal(t, winnerDigests[version], digest, "version %d", version)
			}
		}
	}
}

// rollConcurrently rolls out two bundles under one version and returns the
// winner's digest.
func rollConcurrently(t *testing.T, ctx context.Context, addrs []string, hosts []int, version int) string {
	t.Helper()
	results := make([]*fleet.Result, len(hosts))
	errs := make([]error, len(hosts))
	var wg conc.WaitGroup
	for i, host := range hosts {
		request := rollRequest(fmt.Sprint("operator", i), fmt.Sprint(version), version, i)
		wg.Go(func() { results[i], errs[i] = rollWithFailover(ctx, addrs, host, request) })
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	require.NoError(t, errs[winner], "version %d", version)
	require.True(t, outcome.IsCode(errs[1-winner], outcome.BundleConflict), "version %d: %v", version, errs[1-winner])
	digest := bundle.Digest(bundleSource(version, winner))
	require.Equal(t, digest, results[winner].Digest)
	require.Contains(t, errs[1-winner].Error(), digest)
	return digest
}
