package batch

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

// largestJob is the number of items of the largest supported job.
const largestJob = 82_000

// TestLargestJobIsFinished runs a job of 82,000 items to completion while agents
// restart and the machine is restored from snapshots, and reads back every line.
func TestLargestJobIsFinished(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", largestJob, chatTemplate), largestJob)
	a := &testAgent{name: "a1", incarnation: 1}
	requests := 0
	for now := int64(2); jobState(t, m, "batch_1").SettledMS == 0; now += 10 {
		requests++
		leases := a.lease(m, now, 64, "bell-lm").Leases
		switch {
		case requests%100 == 99:
			a.incarnation++
			a.request = 0
		case requests%500 == 250:
			restored := New()
			require.NoError(t, restored.Restore(clone(t, m.State())))
			m = restored
			fallthrough
		default:
			for _, v := range a.commit(m, now, ResultSucceeded, outcome.Ran, idsOf(leases)...) {
				require.Zero(t, v.Code)
			}
		}
	}
	j := jobState(t, m, "batch_1")
	require.Equal(t, Counts{Total: largestJob, Succeeded: largestJob}, j.Counts)
	results, failures := settledLines(t, m, "batch_1")
	require.Len(t, results, largestJob)
	require.Empty(t, failures)
}

// BenchmarkLeaseAndCommit measures the cost of one item, leased and committed in
// groups of 16 from a job of 82,000 items.
func BenchmarkLeaseAndCommit(b *testing.B) {
	const groupSize = 16
	a := &testAgent{name: "a1", incarnation: 1}
	var m *Machine
	left := 0
	now := int64(1)
	b.ReportAllocs()
	for i := 0; i < b.N; i += groupSize {
		if left < groupSize {
			b.StopTimer()
			m = New()
			a.request = 0
			mustCreate(b, m, now, jobOf("lab", "batch_1", "file-1", largestJob, chatTemplate), largestJob)
			left = largestJob
			b.StartTimer()
		}
		now++
		leases := a.lease(m, now, groupSize, "bell-lm").Leases
		left -= len(leases)
		a.commit(m, now, ResultSucceeded, outcome.Ran, idsOf(leases)...)
	}
}

// BenchmarkPullOfOne measures the cost of leasing one item with many workspaces
// and jobs queued.
func BenchmarkPullOfOne(b *testing.B) {
	const workspaces, jobs, items = 250, 4, 200
	build := func() *Machine {
		m := New()
		for w := range workspaces {
			for k := range jobs {
				id := string(rune('A'+k)) + string(rune(0x100+w))
				mustCreate(b, m, 1, jobOf("w"+string(rune(0x100+w)), "batch_"+id, "file-"+id, items, chatTemplate), items)
			}
		}
		return m
	}
	a := &testAgent{name: "a1", incarnation: 1}
	m := build()
	b.ResetTimer()
	for i := range b.N {
		if i%(workspaces*jobs*items) == workspaces*jobs*items-1 {
			b.StopTimer()
			m, a.request = build(), 0
			b.StartTimer()
		}
		a.lease(m, 2, 1, "bell-lm")
	}
}

// BenchmarkCreateLargestJob measures the cost of creating a job of 82,000 items
// and reports the heap memory per item.
func BenchmarkCreateLargestJob(b *testing.B) {
	c := jobOf("lab", "batch_1", "file-1", largestJob, chatTemplate)
	var before, after runtime.MemStats
	machines := make([]*Machine, 0, b.N)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range b.N {
		m := New()
		mustCreate(b, m, 1, c, largestJob)
		machines = append(machines, m)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*largestJob), "heap-B/item")
	b.ReportMetric(float64(len(c.Index)), "index-B/job")
	runtime.KeepAlive(machines)
}

// BenchmarkSnapshotOfLargestJob measures a snapshot of a settled job of 82,000
// items and reports the encoded size of its items and record references.
func BenchmarkSnapshotOfLargestJob(b *testing.B) {
	m := New()
	mustCreate(b, m, 1, jobOf("lab", "batch_1", "file-1", largestJob, chatTemplate), largestJob)
	a := &testAgent{name: "a1", incarnation: 1}
	for now := int64(2); jobState(b, m, "batch_1").SettledMS == 0; now++ {
		a.commit(m, now, ResultSucceeded, outcome.Ran, idsOf(a.lease(m, now, 16, "bell-lm").Leases)...)
	}
	var s State
	for b.Loop() {
		s = m.State()
	}
	b.ReportMetric(float64(len(s.Jobs[0].Items)), "items-B")
	b.ReportMetric(float64(len(s.Jobs[0].Records)*36), "records-B")
}
