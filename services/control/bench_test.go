package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
)

// BenchmarkRollInForce measures the time from an operator's command until
// the new bundle has reached all subscribers of three hosts.
func BenchmarkRollInForce(b *testing.B) {
	for _, count := range []int{3, 300} {
		b.Run(fmt.Sprintf("subscribers=%d", count), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			f := startFleet(b)
			f.leader()
			received := make(chan struct{}, count)
			var wg conc.WaitGroup
			defer wg.Wait()
			defer cancel()
			for i := range count {
				sub := subscribe(b, ctx, f.addrs[i%fleetSize], &fleet.View{})
				require.NoError(b, sub.confirm(1))
				wg.Go(func() { reportNewBundles(ctx, sub, received) })
			}
			version := 0
			for b.Loop() {
				version++
				_, err := callUntilAnswered[fleet.Result](b, f.addrs[0], rpc.MethodRoll, rollRequest("ilze", fmt.Sprint(version), version, 0))
				require.NoError(b, err)
				for range count {
					<-received
				}
			}
		})
	}
}

// reportNewBundles pings and reads until ctx ends, and sends to received for
// each new bundle.
func reportNewBundles(ctx context.Context, sub *subscriber, received chan<- struct{}) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for ctx.Err() == nil {
			if sub.stream.Send(&rpc.SubscribePing{SentAt: 1, Revision: 1}) != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
	version := sub.view.Bundle().Version()
	for {
		if _, err := sub.read(); err != nil {
			return
		}
		if now := sub.view.Bundle().Version(); now != version {
			version = now
			received <- struct{}{}
		}
	}
}

// BenchmarkConfirmedPing measures confirmed pings with one subscriber, and with
// many that share quorum rounds.
func BenchmarkConfirmedPing(b *testing.B) {
	for _, count := range []int{1, 300} {
		b.Run(fmt.Sprintf("subscribers=%d", count), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := startFleet(b)
			host := (f.leader() + 1) % fleetSize // a follower
			subs := make([]*subscriber, count)
			for i := range subs {
				subs[i] = subscribe(b, ctx, f.addrs[host], &fleet.View{})
				require.NoError(b, subs[i].confirm(1))
			}
			b.ResetTimer()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var wg sync.WaitGroup
			for _, sub := range subs {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						if err := sub.confirm(2); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
