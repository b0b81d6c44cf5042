package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

const forever = time.Hour

// warmGate returns a gate that is warm from the start.
func warmGate(slots int) *Gate {
	return NewGate(Config{}, Capacity{Warm: slots, Cold: slots})
}

func online(id uint64, workspace string) Request {
	return Request{ID: id, Workspace: workspace, StartBy: forever}
}

func batch(id uint64) Request { return Request{ID: id, Workspace: "b", Class: Batch} }

func ids(actions []Action, kind ActionKind) []uint64 {
	var list []uint64
	for _, a := range actions {
		if a.Kind == kind {
			list = append(list, a.ID)
		}
	}
	return list
}

func TestOnlinePreemptsNewestBatchInOneStep(t *testing.T) {
	g := warmGate(2)
	require.Equal(t, []uint64{1}, ids(g.Offer(0, batch(1)), Start))
	require.Equal(t, []uint64{2}, ids(g.Offer(0, batch(2)), Start))
	actions := g.Offer(1, online(3, "w"))
	assert.Equal(t, []Action{{Kind: Preempt, ID: 2}, {Kind: Start, ID: 3}}, actions)
	assert.Zero(t, g.Spare(1), "no batch item starts within BatchHoldoff of a preemption")
	assert.Empty(t, g.Done(2, 2, Result{Ending: Cancelled}))
	assert.Equal(t, 0, g.Spare(2))
	assert.Equal(t, []uint64{1}, ids(g.Offer(3, online(4, "w")), Preempt))
}

func TestBatchFillsSpareSlots(t *testing.T) {
	g := warmGate(4)
	require.Len(t, g.Offer(0, online(1, "w")), 1)
	assert.Equal(t, 3, g.Spare(0))
	for id := uint64(2); id <= 4; id++ {
		require.Equal(t, []uint64{id}, ids(g.Offer(0, batch(id)), Start))
	}
	assert.Equal(t, []uint64{5}, ids(g.Offer(0, batch(5)), Refuse))
}

func TestForeignLoadIsNotSpare(t *testing.T) {
	g := warmGate(8)
	require.Len(t, g.Offer(0, batch(1)), 1)
	g.ReportLoad(0, 1)
	assert.Equal(t, 7, g.Spare(0))
	g.ReportLoad(0, 4)
	assert.Equal(t, 4, g.Spare(0))
	g.Done(time.Second, 1, Result{Ending: Succeeded})
	g.ReportLoad(time.Second, 1) // lagging report: still counts the ended item
	assert.Equal(t, 8, g.Spare(time.Second))
}

func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	g := warmGate(1)
	require.Len(t, g.Offer(0, online(1, "big")), 1)
	for id := uint64(2); id <= 9; id++ {
		assert.Empty(t, g.Offer(0, online(id, "big")))
	}
	// The queue is full: the small workspace displaces the newest of the big one.
	assert.Equal(t, []uint64{9}, ids(g.Offer(1, online(10, "small")), Refuse))
	// The big workspace cannot displace anyone.
	assert.Equal(t, []uint64{11}, ids(g.Offer(1, online(11, "big")), Refuse))
	// Neither has a running request: the one that has waited longest starts.
	assert.Equal(t, []uint64{2}, ids(g.Done(2, 1, Result{Ending: Succeeded}), Start))
}

func TestFewestRunningWorkspaceStartsFirst(t *testing.T) {
	g := warmGate(2)
	g.Offer(0, online(1, "big"))
	g.Offer(0, online(2, "big"))
	g.Offer(0, online(3, "big"))
	g.Offer(0, online(4, "small"))
	assert.Equal(t, []uint64{4}, ids(g.Done(1, 1, Result{Ending: Succeeded}), Start))
}

func TestWaitIsBounded(t *testing.T) {
	g := warmGate(1)
	g.Offer(0, online(1, "w"))
	g.Offer(0, Request{ID: 2, Workspace: "w", StartBy: 10})
	g.Offer(0, online(3, "w"))
	at, found := g.NextTick(0)
	require.True(t, found)
	assert.Equal(t, Time(10), at)
	assert.Equal(t, []Action{{Kind: Refuse, ID: 2, Code: outcome.TargetBusy, RetryAfter: time.Second}}, g.Tick(10))
	assert.Equal(t, []uint64{3}, ids(g.Tick(defaultMaxWait), Refuse))
}

func TestWithdraw(t *testing.T) {
	g := warmGate(1)
	g.Offer(0, online(1, "w"))
	g.Offer(0, online(2, "w"))
	_, found := g.Withdraw(1, 2)
	assert.True(t, found)
	_, found = g.Withdraw(1, 1)
	assert.False(t, found, "a running request is not waiting")
	assert.Empty(t, g.Done(2, 1, Result{Ending: Succeeded}))
}

func TestSuspectRunsAlone(t *testing.T) {
	g := warmGate(4)
	g.Offer(0, online(1, "w"))
	g.Offer(0, batch(2))
	suspect := Request{ID: 3, Workspace: "s", Isolated: true, StartBy: forever}
	assert.Equal(t, []Action{{Kind: Preempt, ID: 2}}, g.Offer(1, suspect))
	assert.Empty(t, g.Offer(2, online(4, "w")), "nothing starts while the suspect waits")
	assert.Empty(t, g.Done(3, 2, Result{Ending: Cancelled}))
	assert.Equal(t, []uint64{3}, ids(g.Done(4, 1, Result{Ending: Succeeded}), Start))
	assert.Empty(t, g.Offer(5, online(5, "w")), "nothing starts beside the suspect")
	assert.Zero(t, g.Spare(5))
	assert.Equal(t, []uint64{4, 5}, ids(g.Done(6, 3, Result{Ending: Succeeded}), Start))
}

func TestSuspectsDoNotBlockOthersForever(t *testing.T) {
	g := warmGate(4)
	g.Offer(0, Request{ID: 1, Isolated: true, StartBy: forever})
	g.Offer(0, Request{ID: 2, Isolated: true, StartBy: forever})
	g.Offer(1, online(3, "w"))
	assert.Equal(t, []uint64{3}, ids(g.Done(100, 1, Result{Ending: Succeeded}), Start))
	assert.Equal(t, []uint64{4}, ids(g.Offer(101, online(4, "w")), Start), "the second suspect may not block yet")
}

func TestCloseRefusesAndPreempts(t *testing.T) {
	g := warmGate(1)
	g.Offer(0, batch(1))
	g.Offer(0, Request{ID: 2, Isolated: true, StartBy: forever})
	g.Offer(0, online(3, "w"))
	actions := g.Close(outcome.TargetLeaving)
	assert.ElementsMatch(t, []uint64{2, 3}, ids(actions, Refuse))
	assert.Empty(t, g.Done(1, 1, Result{Ending: Cancelled}))
	assert.Equal(t, []uint64{4}, ids(g.Offer(2, online(4, "w")), Refuse))
	g.Reopen()
	assert.Equal(t, []uint64{5}, ids(g.Offer(3, online(5, "w")), Start))
}

func TestColdGrowth(t *testing.T) {
	tests := []struct {
		name     string
		capacity Capacity
		limits   []int // after each success, from 0
	}{
		{"announced", Capacity{Warm: 4, Cold: 1, Warmup: 6}, []int{1, 1, 2, 2, 3, 3, 4, 4}},
		{"unknown", Capacity{Warm: 3, Cold: 1}, append(append(repeat(1, 8), repeat(2, 8)...), 3)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(Config{}, test.capacity)
			for n, want := range test.limits {
				assert.Equal(t, want, g.Limit(), "after %d successes", n)
				id := uint64(n + 1)
				require.Len(t, g.Offer(0, online(id, "w")), 1)
				g.Done(0, id, Result{Ending: Succeeded})
			}
			g.ResetToCold(0, test.capacity)
			assert.Equal(t, test.capacity.Cold, g.Limit())
		})
	}
}

func TestSuccessFromBeforeTheCrashDoesNotWarm(t *testing.T) {
	capacity := Capacity{Warm: 2, Cold: 1, Warmup: 1}
	g := NewGate(Config{}, capacity)
	g.Offer(0, online(1, "w"))
	g.ResetToCold(1, capacity)
	g.Done(2, 1, Result{Ending: Succeeded})
	assert.Equal(t, 1, g.Limit())
}

func TestLimitToColdUntilIncarnationConfirmed(t *testing.T) {
	capacity := Capacity{Warm: 4, Cold: 1, Warmup: 1}
	g := NewGate(Config{}, capacity)
	g.Offer(0, online(1, "w"))
	g.Done(0, 1, Result{Ending: Succeeded})
	require.Equal(t, 4, g.Limit())
	g.LimitToCold(1)
	assert.Equal(t, 1, g.Limit())
	g.ConfirmIncarnation(2, capacity)
	assert.Equal(t, 4, g.Limit())
}

func TestFailuresAndSlowdownResetToCold(t *testing.T) {
	capacity := Capacity{Warm: 8, Cold: 2, Warmup: 4}
	finish := func(g *Gate, from, n int, r Result) {
		for i := range n {
			id := uint64(from + i)
			g.Offer(0, online(id, "w"))
			g.Done(0, id, r)
		}
	}
	fast := Result{Ending: Succeeded, TimePerUnit: 5 * time.Millisecond}
	slow := Result{Ending: Succeeded, TimePerUnit: 40 * time.Millisecond}

	g := NewGate(Config{}, capacity)
	finish(g, 1, 30, fast)
	require.True(t, g.Warm())
	finish(g, 100, 3, slow)
	assert.Equal(t, 2, g.Limit(), "a sudden rise in latency resets to the cold capacity")

	g = NewGate(Config{}, capacity)
	finish(g, 1, 30, fast)
	finish(g, 100, 3, Result{Ending: Failed})
	assert.Equal(t, 1, g.Limit(), "failures: one probe at a time")
	g.Tick(forever)
	finish(g, 200, 1, fast)
	assert.Equal(t, 3, g.Limit(), "the probe's success counts: 2 + 6 * 1/4")
}

func TestColdTargetKeepsSlotOfCancelledRequest(t *testing.T) {
	g := NewGate(Config{}, Capacity{Warm: 4, Cold: 1, Warmup: 100})
	g.Offer(0, online(1, "w"))
	g.Offer(0, online(2, "w"))
	assert.Empty(t, g.Done(0, 1, Result{Ending: Cancelled}))
	at := Time(0)
	for g.Waiting() > 0 {
		next, found := g.NextTick(at)
		require.True(t, found)
		at = next
		if at < defaultCancelGrace {
			assert.Empty(t, g.Tick(at))
			continue
		}
		assert.Equal(t, []uint64{2}, ids(g.Tick(at), Start))
	}
	assert.Equal(t, defaultCancelGrace, at)
}

func repeat(v, n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = v
	}
	return list
}

func BenchmarkOfferDone(b *testing.B) {
	for _, running := range []int{0, 15, 255} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			g := warmGate(256)
			for i := range running {
				g.Offer(0, online(uint64(1+i), "w"))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := uint64(1000 + i)
				g.Offer(0, online(id, "w"))
				g.Done(0, id, Result{Ending: Succeeded, TimePerUnit: time.Millisecond})
			}
		})
	}
}

func BenchmarkPreempt(b *testing.B) {
	g := warmGate(64)
	for i := range 63 {
		g.Offer(0, batch(uint64(1+i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := Time(i) * time.Second
		g.Offer(now, batch(uint64(1000+2*i)))
		g.Offer(now, online(uint64(1001+2*i), "w"))
		g.Done(now, uint64(1000+2*i), Result{Ending: Cancelled})
		g.Done(now, uint64(1001+2*i), Result{Ending: Succeeded})
	}
}

// A cold target keeps the slot of a preempted item until it ends, also when its
// cold and warm capacities are equal.
// Found by TestGateProperties with seed 5245050802431171267.
func TestColdTargetWithEqualCapacitiesIsNotOvercommitted(t *testing.T) {
	g := NewGate(Config{}, Capacity{Warm: 1, Cold: 1, Warmup: 1})
	g.Offer(0, batch(1))
	assert.Equal(t, []Action{{Kind: Preempt, ID: 1}}, g.Offer(0, online(2, "w")))
}

// An online request preempts a suspect batch item that runs in isolation.
// Found by TestGateProperties with seed 13747914260998359722.
func TestSuspectBatchItemIsPreempted(t *testing.T) {
	g := warmGate(2)
	item := batch(1)
	item.Isolated = true
	require.Len(t, g.Offer(0, item), 1)
	assert.Equal(t, []Action{{Kind: Preempt, ID: 1}}, g.Offer(0, online(2, "w")))
	assert.Equal(t, []uint64{2}, ids(g.Done(1, 1, Result{Ending: Cancelled}), Start))
}

func TestNonPreemptibleItemsAreLimitedAndNeverPreempted(t *testing.T) {
	g := warmGate(8)
	for id := uint64(1); id <= 2; id++ {
		require.Equal(t, []uint64{id}, ids(g.Offer(0, Request{ID: id, Class: Batch, NonPreemptible: true}), Start))
	}
	assert.Equal(t, []uint64{3}, ids(g.Offer(0, Request{ID: 3, Class: Batch, NonPreemptible: true}), Refuse))
	require.Equal(t, []uint64{4}, ids(g.Offer(0, batch(4)), Start))
	for id := uint64(10); id < 15; id++ {
		require.Equal(t, []uint64{id}, ids(g.Offer(0, online(id, "w")), Start))
	}
	assert.Equal(t, []Action{{Kind: Preempt, ID: 4}, {Kind: Start, ID: 15}}, g.Offer(0, online(15, "w")))
	assert.Empty(t, g.Offer(0, online(16, "w")))
	assert.Equal(t, []uint64{16}, ids(g.Close(outcome.TargetLeaving), Refuse))
	assert.Empty(t, g.Done(1, 1, Result{Ending: Succeeded}))
}

func TestSlowdownUnderLoadDoesNotResetToCold(t *testing.T) {
	g := warmGate(64)
	id := uint64(0)
	round := func(n int, timePerUnit time.Duration) {
		first := id + 1
		for range n {
			id++
			g.Offer(0, online(id, "w"))
		}
		for ; first <= id; first++ {
			g.Done(0, first, Result{Ending: Succeeded, TimePerUnit: timePerUnit})
		}
	}
	for range 40 {
		round(1, 5*time.Millisecond)
	}
	epoch := g.window.epoch
	round(64, 30*time.Millisecond)
	assert.Equal(t, epoch, g.window.epoch, "a full batch is slower than a single request: no slowdown")
	for range 3 {
		round(1, 30*time.Millisecond)
	}
	assert.Equal(t, epoch+1, g.window.epoch, "a single request that slow is a slowdown")
}
