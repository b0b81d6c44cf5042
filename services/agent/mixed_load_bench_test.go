package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/pause"
	"banyanwalk/services/engine"
)

const (
	benchSlots     = 8
	benchTokens    = 20
	benchTokenTime = 2 * time.Millisecond
	onlineShare    = 0.4 // average share of the slots that online requests occupy
)

// BenchmarkOnlineBesideBatch measures the latency of online generations with
// random arrivals, without batch work and with a constant backlog of batch work,
// and the share of the idle slots that batch work fills. One operation is one
// online request. Run it with -benchtime 3000x.
func BenchmarkOnlineBesideBatch(b *testing.B) {
	for _, mode := range []struct {
		name      string
		producers int
	}{{"alone", 0}, {"beside", 2 * benchSlots}} {
		b.Run(mode.name, func(b *testing.B) { benchmarkOnlineLatency(b, mode.producers) })
	}
}

func benchmarkOnlineLatency(b *testing.B, producers int) {
	x := newHarness(b)
	s := x.start(engine.Config{Name: "e1", WarmCapacity: benchSlots, TokenTime: benchTokenTime})
	tgt, _ := x.agent.findTarget(s.id)
	ctx, stop := context.WithCancel(context.Background())
	var background, requests conc.WaitGroup
	var preempted atomic.Int64
	for range producers {
		background.Go(func() { supplyBatch(ctx, x, s, &preempted) })
	}
	var idle, filled int
	background.Go(func() {
		for ctx.Err() == nil {
			pause.For(ctx, time.Millisecond)
			tgt.mu.Lock()
			online := tgt.gate.RunningOnline()
			batch := tgt.gate.Running() - online
			tgt.mu.Unlock()
			idle += max(0, benchSlots-online)
			filled += min(batch, max(0, benchSlots-online))
		}
	})
	gap := float64(benchTokens*benchTokenTime) / (onlineShare * benchSlots)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var times []time.Duration
	failed := 0
	for b.Loop() {
		pause.For(ctx, time.Duration(random.ExpFloat64()*gap))
		requests.Go(func() {
			began := time.Now()
			r := x.run(ctx, x.chat(s, x.prompt(), benchTokens, true))
			mu.Lock()
			defer mu.Unlock()
			if r.err != nil {
				failed++
				return
			}
			times = append(times, time.Since(began))
		})
	}
	requests.Wait()
	stop()
	background.Wait()
	slices.Sort(times)
	quantile := func(q float64) float64 { return times[int(q*float64(len(times)-1))].Seconds() * 1e3 }
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(float64(preempted.Load()), "preempted")
	b.ReportMetric(float64(filled)/float64(max(1, idle)), "idle-filled")
}

// supplyBatch runs batch items one after the other until ctx ends.
func supplyBatch(ctx context.Context, x *harness, s *testEngine, preempted *atomic.Int64) {
	for ctx.Err() == nil {
		_, err := x.agent.RunBatch(ctx, x.chat(s, x.prompt(), 10*benchTokens, true))
		if err == nil {
			continue
		}
		if outcome.IsCode(err, outcome.Preempted) {
			preempted.Add(1)
		}
		pause.For(ctx, time.Millisecond)
	}
}
