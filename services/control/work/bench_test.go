package work

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/infra/rpc"
)

// largestJob is the number of items of the largest job to design for.
const largestJob = 82_000

// BenchmarkLargestJob runs a job of 82,000 items of 1 KB through three hosts
// with eight agents that answer at once.
func BenchmarkLargestJob(b *testing.B) {
	const agents, pull, padding = 8, 128, 900
	for b.Loop() {
		f := startFleet(b, 1)
		f.leader(1)
		contents, create := inputLines(largestJob, padding)
		began := time.Now()
		f.upload(0, create.InputFile, contents)
		uploaded := time.Now()
		var job batch.Job
		require.NoError(b, f.call(rpc.MethodJobCreate, create, &job))
		accepted := time.Now()
		done := make(chan int, agents)
		for i := range agents {
			go func() { done <- (&testAgent{f: f, name: string(rune('a' + i))}).work(pull) }()
		}
		total := 0
		for range agents {
			total += <-done
		}
		worked := time.Now()
		require.Equal(b, largestJob, total)
		ended := f.waitEnded()
		finished := time.Now()
		require.Equal(b, largestJob, ended.Counts.Succeeded)
		state, err := f.hosts[f.leader(1)].service.groups[0].Snapshot()
		require.NoError(b, err)
		b.ReportMetric(uploaded.Sub(began).Seconds(), "upload-s")
		b.ReportMetric(float64(accepted.Sub(uploaded).Milliseconds()), "accept-ms")
		b.ReportMetric(largestJob/worked.Sub(accepted).Seconds(), "items/s")
		b.ReportMetric(finished.Sub(worked).Seconds(), "finish-s")
		b.ReportMetric(float64(len(state)), "snapshot-B")
		f.stop()
	}
}

// work pulls and commits until nothing comes, and returns the number of items.
func (a *testAgent) work(pull int) int {
	n := 0
	for {
		items := a.pull(pull)
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
