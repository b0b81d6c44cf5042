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

// shortAttempt lets an operator go on to the next host when one is cut off.
const shortAttempt = time.Second

// rollAnywhere rolls at one host after the other, under one request id, until
// there is a final answer.
func rollAnywhere(ctx context.Context, addrs []string, first int, request *rpc.RollRequest) (*fleet.Result, error) {
	pool := wire.NewPool(nil)
	defer pool.Close()
	for i := first; ; i++ {
		attempt, stop := context.WithTimeout(ctx, shortAttempt)
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

// witness records which digest a subscriber saw under which version, over
// reconnects to any host.
type witness struct {
	mu   sync.Mutex
	seen map[uint64]string
}

func (w *witness) follow(ctx context.Context, t *testing.T, addrs []string, first int) {
	view := &fleet.View{}
	for i := first; ctx.Err() == nil; i++ {
		pool := wire.NewPool(nil)
		stream, err := pool.Open(ctx, addrs[i%len(addrs)], rpc.MethodSubscribe)
		if err == nil {
			sub := &subscriber{stream: stream, view: view}
			for err == nil {
				w.note(t, view, sub.view)
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

func (w *witness) note(t *testing.T, before, after *fleet.View) {
	version := after.Bundle().Version()
	if version < before.Bundle().Version() {
		t.Errorf("version %d came after %d", version, before.Bundle().Version())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[version] = after.Bundle().Digest()
}

// TestRacingOperatorsUnderCuts lets two operators at different hosts race for
// each version while the leader of the moment is cut off and healed again and
// again. Each version has one winner, and no subscriber ever sees another
// bundle under it or an older one after it.
func TestRacingOperatorsUnderCuts(t *testing.T) {
	const versions, cutEvery = 24, 4
	random := rand.New(rand.NewPCG(20261204, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 2*liveness)
	defer cancel()
	f := startFleet(t)
	witnesses := make([]*witness, len(f.addrs))
	var watching conc.WaitGroup
	for i := range f.addrs {
		witnesses[i] = &witness{seen: make(map[uint64]string)}
		watching.Go(func() { witnesses[i].follow(ctx, t, f.addrs, i) })
	}
	winners := make(map[uint64]string)
	cut := -1
	for version := 1; version <= versions; version++ {
		hosts := []int{random.IntN(fleetSize), random.IntN(fleetSize)}
		if version%cutEvery == 0 {
			cut = f.leader()
			f.links.isolate(cut, true)
		} else if cut >= 0 {
			f.links.isolate(cut, false)
			cut = -1
		}
		winners[uint64(version)] = race(t, ctx, f.addrs, hosts, version)
	}
	if cut >= 0 {
		f.links.isolate(cut, false)
	}
	for _, addr := range f.addrs {
		var err error
		for sub := subscribe(t, ctx, addr, &fleet.View{}); ; sub = subscribe(t, ctx, addr, &fleet.View{}) {
			if err = sub.confirm(1); err == nil || ctx.Err() != nil {
				require.Equal(t, winners[versions], sub.view.Bundle().Digest())
				break
			}
		}
		require.NoError(t, err)
	}
	cancel()
	watching.Wait()
	for _, w := range witnesses {
		for version, digest := range w.seen {
			if version > 0 {
				require.Equal(t, winners[version], digest, "version %d", version)
			}
		}
	}
}

// race rolls two bundles under one version and returns the winner's digest.
func race(t *testing.T, ctx context.Context, addrs []string, hosts []int, version int) string {
	t.Helper()
	results := make([]*fleet.Result, len(hosts))
	errs := make([]error, len(hosts))
	var wg conc.WaitGroup
	for i, host := range hosts {
		request := rollRequest(fmt.Sprint("operator", i), fmt.Sprint(version), version, i)
		wg.Go(func() { results[i], errs[i] = rollAnywhere(ctx, addrs, host, request) })
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	require.NoError(t, errs[winner], "version %d", version)
	require.True(t, outcome.IsCode(errs[1-winner], outcome.BundleConflict), "version %d: %v", version, errs[1-winner])
	digest := bundle.Digest(source(version, winner))
	require.Equal(t, digest, results[winner].Digest)
	require.Contains(t, errs[1-winner].Error(), digest)
	return digest
}
