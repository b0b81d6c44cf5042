package limit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// BenchmarkSpend compares the designs considered for spending a token on the
// request path, each with tokens available: docs/design/0003-limits.md.
func BenchmarkSpend(b *testing.B) {
	start := time.Now()
	clock := func() int64 { return int64(time.Since(start)) }
	for _, threads := range []int{1, 4, 10} {
		b.Run(fmt.Sprintf("holder/%d", threads), func(b *testing.B) {
			h := NewHolder(GatewayID{Name: "g", Incarnation: 1})
			h.Begin(1, map[string]WaitingRequests{"a": {Count: 1}})
			h.Finish(1, &Response{Seq: 1, Grants: []Grant{{Workspace: "a", Tokens: 1 << 60}}})
			h.expires.Store(1 << 62)
			parallel(b, threads, func() bool { return h.Take("a") && h.Valid(clock()) })
		})
		b.Run(fmt.Sprintf("pointer/%d", threads), func(b *testing.B) {
			var pointer atomic.Int64
			parallel(b, threads, func() bool { return advance(&pointer, clock()) })
		})
		b.Run(fmt.Sprintf("lastSeen/%d", threads), func(b *testing.B) {
			var pointer, seen atomic.Int64
			seen.Store(clock())
			parallel(b, threads, func() bool {
				if advance(&pointer, seen.Load()) {
					return true
				}
				now := clock()
				seen.Store(now)
				return advance(&pointer, now)
			})
		})
		b.Run(fmt.Sprintf("mutex/%d", threads), func(b *testing.B) {
			var mu sync.Mutex
			bucket := newBucket(Rate{PerSecond: 1e9, Burst: 1 << 30}, 0)
			parallel(b, threads, func() bool {
				mu.Lock()
				defer mu.Unlock()
				now := clock()
				if bucket.available(now) == 0 {
					return false
				}
				bucket.spend(now, 1)
				return true
			})
		})
		b.Run(fmt.Sprintf("xtimerate/%d", threads), func(b *testing.B) {
			limiter := rate.NewLimiter(1e9, 1<<30)
			parallel(b, threads, limiter.Allow)
		})
	}
}

const (
	benchInterval = 1 // nanosecond between tokens
	benchBurst    = 1 << 40
)

// advance moves a GCRA theoretical arrival time by one token, as in the paper
// "Core Rate Limiter".
func advance(pointer *atomic.Int64, now int64) bool {
	for {
		at := pointer.Load()
		next := max(at, now) + benchInterval
		if next > now+benchBurst {
			return false
		}
		if pointer.CompareAndSwap(at, next) {
			return true
		}
	}
}

func parallel(b *testing.B, threads int, spend func() bool) {
	var wg sync.WaitGroup
	each := b.N/threads + 1
	b.ResetTimer()
	for range threads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range each {
				if !spend() {
					b.Error("no token")
					return
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkOwnerAcquire measures one exchange at an owner with 250 workspaces and
// 10 gateways.
func BenchmarkOwnerAcquire(b *testing.B) {
	rates := make(map[string]Rate)
	var wants []TokenRequest
	for i := range 250 {
		name := fmt.Sprint("w", i)
		rates[name] = Rate{PerSecond: 100, Burst: 1 << 20}
		if i < 13 {
			wants = append(wants, TokenRequest{Workspace: name, Waiting: 1})
		}
	}
	o := NewOwner(1, nil, 0)
	o.SetRates(rates, 0)
	now := int64(RebuildTimeout)
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		now += int64(ReportInterval)
		id := GatewayID{Name: "g", Incarnation: seq % 10}
		r := &Request{Gateway: id, Seq: seq, Ack: seq - 10, TokenRequests: wants, Report: &Report{}}
		for _, w := range wants {
			r.Entries = append(r.Entries, UsageEntry{Seq: seq, Workspace: w.Workspace, Spent: 1})
		}
		o.Acquire(now, r)
	}
}
