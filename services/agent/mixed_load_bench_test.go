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
	besideSlots  = 8
	besideTokens = 20
	besideToken  = 2 * time.Millisecond
	besideLoad   = 0.4 // share of the slots that online work takes
)

// BenchmarkOnlineBesideBatch measures the latency of online generations that
// arrive at random beside no batch work and beside batch work at full supply,
// and which share of the idle slots the batch work fills. One operation is one
// online request; run it with -benchtime 3000x.
func BenchmarkOnlineBesideBatch(b *testing.B) {
	for _, mode := range []struct {
		name      string
		producers int
	}{{"alone", 0}, {"beside", 2 * besideSlots}} {
		b.Run(mode.name, func(b *testing.B) { besideBatch(b, mode.producers) })
	}
}

func besideBatch(b *testing.B, producers int) {
	x := newBench(b)
	s := x.start(engine.Config{Name: "e1", Warm: besideSlots, TokenTime: besideToken})
	guard, _ := x.agent.target(s.id)
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
			guard.mu.Lock()
			online := guard.gate.RunningOnline()
			batch := guard.gate.Running() - online
			guard.mu.Unlock()
			idle += max(0, besideSlots-online)
			filled += min(batch, max(0, besideSlots-online))
		}
	})
	gap := float64(besideTokens*besideToken) / (besideLoad * besideSlots)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var times []time.Duration
	failed := 0
	for b.Loop() {
		pause.For(ctx, time.Duration(random.ExpFloat64()*gap))
		requests.Go(func() {
			began := time.Now()
			r := x.run(ctx, x.chat(s, x.prompt(), besideTokens, true))
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

// supplyBatch keeps one item running whenever there is a slot for it.
func supplyBatch(ctx context.Context, x *bench, s *standIn, preempted *atomic.Int64) {
	for ctx.Err() == nil {
		_, err := x.agent.RunBatch(ctx, x.chat(s, x.prompt(), 10*besideTokens, true))
		if err == nil {
			continue
		}
		if outcome.IsCode(err, outcome.Preempted) {
			preempted.Add(1)
		}
		pause.For(ctx, time.Millisecond)
	}
}
