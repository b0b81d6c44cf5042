package replica

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// BenchmarkPropose measures proposals by concurrent callers, spread over groups
// of three replicas each. All replicas run in this process and share one disk.
func BenchmarkPropose(b *testing.B) {
	for _, load := range []struct{ groups, callers int }{{1, 1}, {1, 64}, {1, 512}, {4, 512}, {16, 512}} {
		b.Run(fmt.Sprintf("groups=%d/callers=%d", load.groups, load.callers), func(b *testing.B) {
			leaders := make([]*Replica, load.groups)
			syncs := int64(0)
			for i := range leaders {
				leaders[i] = newCluster(b, Config{SnapshotEvery: 1 << 30}).leader().replica
				syncs -= leaders[i].wal.Stats().Syncs
			}
			command := make([]byte, 128)
			b.ResetTimer()
			work := make(chan struct{}, load.callers)
			var wg conc.WaitGroup
			for i := range load.callers {
				leader := leaders[i%load.groups]
				wg.Go(func() {
					for range work {
						if _, err := leader.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			wg.Wait()
			b.StopTimer()
			for _, leader := range leaders {
				syncs += leader.wal.Stats().Syncs
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(b.N)/float64(syncs), "proposals/fsync")
		})
	}
}

func BenchmarkReadIndex(b *testing.B) {
	for _, callers := range []int{1, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newCluster(b, Config{})
			leader := c.leader().replica
			b.SetParallelism(callers)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.ReadIndex(context.Background()); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleGroups reports the CPU and memory use of groups without proposals,
// which only send heartbeats. Each operation is one heartbeat interval.
func BenchmarkIdleGroups(b *testing.B) {
	for _, groups := range []int{1, 32, 128} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			clusters := make([]*cluster, groups)
			for i := range clusters {
				clusters[i] = newCluster(b, Config{})
			}
			for _, c := range clusters {
				c.leader()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			start := cpuTime(b)
			for range b.N {
				time.Sleep(DefaultHeartbeatInterval)
			}
			used := cpuTime(b) - start
			replicas := float64(3 * groups)
			b.ReportMetric(100*float64(used)/float64(b.Elapsed())/replicas, "core-%/replica")
			memory := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
			b.ReportMetric(float64(memory)/replicas/1024, "KiB/replica")
		})
	}
}

// largeSnapshotStateMachine has a snapshot of 32 MiB.
type largeSnapshotStateMachine struct{ recordingStateMachine }

func (l *largeSnapshotStateMachine) Snapshot() ([]byte, error) { return make([]byte, 32<<20), nil }

// BenchmarkSnapshotStall proposes commands one at a time, with a snapshot after
// every 64th. It reports the longest proposal latency and the leader changes.
func BenchmarkSnapshotStall(b *testing.B) {
	c := newClusterWith(b, Config{SnapshotEvery: 64}, func() StateMachine { return &largeSnapshotStateMachine{} })
	leader := c.leader().replica
	term := leader.Status().Term
	var longest time.Duration
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		if _, err := leader.Propose(context.Background(), []byte("command")); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(float64(longest)/float64(time.Millisecond), "max-ms")
	b.ReportMetric(float64(leader.Status().Term-term), "leader-changes")
}
