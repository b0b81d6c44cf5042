package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/infra/telemetry"
)

const (
	// loadLogInterval is the time between two log lines about the load of a leader.
	loadLogInterval = 1 * time.Second
	// wakeInterval is the time between two measurements of how late this process gets the
	// processor.
	wakeInterval = 50 * time.Millisecond
)

// loadLog logs what takes the time of a leader, and what its items wait for. It is safe
// for concurrent use.
type loadLog struct {
	server    *Server
	wakeDelay metrics.Histogram // by how much timers fire late, ms
	events    atomic.Int64      // events of items that were read
	passes    atomic.Int64
	looked    atomic.Int64 // items that the passes have looked at
	waiting   atomic.Int64 // items that may run and have no slot, at the last pass
	passTime  atomic.Int64 // of all passes, nanoseconds
}

func newLoadLog(s *Server) *loadLog {
	return &loadLog{server: s, wakeDelay: telemetry.NewLatency("jobhost.wake_delay_ms", s.cfg.Metrics)}
}

// passed counts a pass over the items that may run.
func (l *loadLog) passed(waiting, looked int, took time.Duration) {
	l.passes.Add(1)
	l.looked.Add(int64(looked))
	l.waiting.Store(int64(waiting))
	l.passTime.Add(int64(took))
}

// run measures and logs until ctx ends, while this host leads.
func (l *loadLog) run(ctx context.Context) {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	loggedAt, latest := time.Now(), time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			delay := time.Since(due)
			if l.server.broker.id.Load() == 0 {
				loggedAt, latest = time.Now(), 0
				continue
			}
			l.wakeDelay.Update(delay.Milliseconds())
			latest = max(latest, delay)
		}
		if elapsed := time.Since(loggedAt); elapsed >= loadLogInterval {
			l.log(elapsed, latest)
			loggedAt, latest = time.Now(), 0
		}
	}
}

// log logs the counts since the last line.
func (l *loadLog) log(elapsed, latest time.Duration) {
	s := l.server
	slots, taken := 0, 0
	for _, service := range s.services() {
		serviceSlots, serviceTaken, _ := s.cfg.Follower.Targets.Free(service)
		slots += serviceSlots
		taken += serviceTaken
	}
	s.log.Info("leader_load", "elapsed_ms", elapsed.Milliseconds(), "woken_late_ms", latest.Milliseconds(), "items_waiting", l.waiting.Load(),
		"items_running", s.runner.runningCount(), "item_events", l.events.Swap(0), "passes", l.passes.Swap(0), "items_looked_at", l.looked.Swap(0),
		"pass_ms", time.Duration(l.passTime.Swap(0)).Milliseconds(), "slots", slots, "slots_taken", taken,
		"granted", s.broker.granted.Count(), "refused", s.broker.refused.Count(), "yielded", s.runner.preempted.Count())
}

// services returns the services that have model engines.
func (s *Server) services() []string {
	table := s.cfg.Follower.Table()
	if table == nil {
		return nil
	}
	return table.EngineServices()
}
