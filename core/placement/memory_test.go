package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/roster"
)

const testMemory = 72_000

// heldRequest is one request in TestTargetNeverHoldsMoreThanItsMemory.
type heldRequest struct {
	by     int // process; 0 and 1: brokers
	target string
	tokens int64
}

// A broker, its successor and 21 gateways without a broker place requests of any size
// at the same time, and know of each other only from reports up to 400 ms old, or from
// none. Guards against a target that crashes because it holds more than its memory.
func TestTargetNeverHoldsMoreThanItsMemory(t *testing.T) {
	const gateways = 21
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"t0", "t1"}
		processes := make([]*Targets, 0, gateways+2)
		for p := range gateways + 2 {
			targets := New("a")
			targets.SetRecords([]*roster.Record{record("t0", "a"), record("t1", "a")})
			if p > 1 {
				targets.ShareLimits(fmt.Sprint("g", p))
				targets.SetGateways(gateways)
			}
			processes = append(processes, targets)
		}
		now := start
		handover := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "handover")) * time.Millisecond)
		var held []heldRequest
		sums := map[string]int64{}
		leads := 0
		silent := rapid.IntRange(0, gateways+1).Draw(t, "silent") // gets no report at all
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
			if leads == 0 && now.After(handover) {
				leads = 1
				processes[1].DrainLimits(now)
			}
			if now.UnixMilli()%400 < 10 { // reports
				for p, targets := range processes {
					if p == silent && p > 1 {
						continue
					}
					peers := map[string]Load{}
					for _, h := range held {
						if h.by != p {
							load := peers[h.target]
							load.Online++
							load.Tokens += h.tokens
							peers[h.target] = load
						}
					}
					targets.SetPeerLoads(peers, gateways+2)
				}
			}
			if len(held) > 0 && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				h := held[i]
				held = append(held[:i:i], held[i+1:]...)
				processes[h.by].Release(h.target, false)
				processes[h.by].ReleaseTokens(h.target, false, h.tokens)
				sums[h.target] -= h.tokens
				continue
			}
			by := rapid.IntRange(-30, gateways-1).Draw(t, "by") + 2
			if by < 2 {
				by = leads
			}
			q := Query{Service: "llm", Tokens: rapid.Int64Range(1, 15_000).Draw(t, "tokens"), Memory: testMemory}
			r, _ := processes[by].Acquire(now, q)
			if r == nil {
				continue
			}
			held = append(held, heldRequest{by, r.ID, q.HeldTokens()})
			sums[r.ID] += q.HeldTokens()
			for _, id := range ids {
				require.LessOrEqual(t, sums[id], int64(0.9*testMemory))
			}
		}
	})
}

// Guards against refusing usual requests, or the largest ones for ever.
func TestMemoryLeavesRoomForUsualRequests(t *testing.T) {
	q := func(tokens int64) Query { return Query{Service: "llm", Tokens: tokens, Memory: testMemory} }
	broker := newTargets("a")
	placed := 0
	for {
		if r, _ := broker.Acquire(start, q(2800)); r == nil {
			break
		}
		placed++
	}
	assert.Equal(t, 10, placed, "all slots and the queue, at almost six times the usual size")
	whole := newTargets("a")
	r, _ := whole.Acquire(start, q(100_000))
	require.NotNil(t, r, "a request that is larger than the memory goes to an empty target")
	r, _ = whole.Acquire(start, q(1))
	assert.Nil(t, r)
	r, _ = whole.Acquire(start, q(0))
	assert.NotNil(t, r, "a request without a size counts as nothing")
	whole.ReleaseTokens("a", false, 100_000)
	whole.Release("a", false)
	r, _ = whole.Acquire(start, q(50_000))
	assert.Nil(t, r, "the target is not empty")
	whole.Release("a", false)
	r, _ = whole.Acquire(start, q(50_000))
	assert.NotNil(t, r)
	absurd := q(11 * testMemory)
	assert.True(t, absurd.IsAbsurd())
	assert.Zero(t, absurd.HeldTokens())
	gateway := newTargets("a")
	gateway.ShareLimits("g")
	gateway.SetGateways(21)
	r, _ = gateway.Acquire(start, q(1300))
	assert.NotNil(t, r, "a large one of the usual requests, without a broker")
	r, _ = gateway.Acquire(start, q(478))
	assert.Nil(t, r)
}
