package workgroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/infra/rpc"
)

// largestJobItems is the size of the largest job that the system is designed for.
const largestJobItems = 82_000

// BenchmarkLargestJob runs a job of 82,000 items of 1 KB on three hosts, with eight agents
// that answer immediately.
func BenchmarkLargestJob(b *testing.B) {
	const agents, itemsPerPull, padding = 8, 128, 900
	for b.Loop() {
		f := startFleet(b, 1)
		f.leader(1)
		contents, create := inputLines(largestJobItems, padding)
		began := time.Now()
		f.upload(0, create.InputFile, contents)
		uploaded := time.Now()
		var job batch.Job
		require.NoError(b, f.call(rpc.MethodJobCreate, create, &job))
		accepted := time.Now()
		done := make(chan int, agents)
		for i := range agents {
			go func() { done <- (&testAgent{f: f, name: string(rune('a' + i))}).pullUntilEmpty(itemsPerPull) }()
		}
		total := 0
		for range agents {
			total += <-done
		}
		committed := time.Now()
		require.Equal(b, largestJobItems, total)
		ended := f.waitEnded()
		finished := time.Now()
		require.Equal(b, largestJobItems, ended.Counts.Succeeded)
		state, err := f.hosts[f.leader(1)].service.groups[0].Snapshot()
		require.NoError(b, err)
		b.ReportMetric(uploaded.Sub(began).Seconds(), "upload-s")
		b.ReportMetric(float64(accepted.Sub(uploaded).Milliseconds()), "accept-ms")
		b.ReportMetric(largestJobItems/committed.Sub(accepted).Seconds(), "items/s")
		b.ReportMetric(finished.Sub(committed).Seconds(), "finish-s")
		b.ReportMetric(float64(len(state)), "snapshot-B")
		f.stop()
	}
}

// pullUntilEmpty pulls and commits items until a pull returns none. It returns the number
// of accepted results.
func (a *testAgent) pullUntilEmpty(maxItems int) int {
	n := 0
	for {
		items := a.pull(maxItems)
		if len(items) == 0 {
			return n
		}
		for _, v := range a.commit(items) {
			if v.Code == 0 {
				n++
			}
		}
	}
}
