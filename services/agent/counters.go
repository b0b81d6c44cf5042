package agent

import "github.com/rcrowley/go-metrics"

// counters holds the agent's metrics.
type counters struct {
	started          metrics.Counter // requests sent to a target
	completed        metrics.Counter // complete responses
	failed           metrics.Counter // failures after a request was sent
	refused          metrics.Counter // requests that were not sent to a target
	preempted        metrics.Counter
	crashes          metrics.Counter
	invalidResponses metrics.Counter // invalid responses, such as one that belongs to another request
	slotWait         metrics.Timer   // time from arrival until a slot is granted
}

func newCounters(r metrics.Registry) counters {
	return counters{
		started:          metrics.NewRegisteredCounter("agent.started", r),
		completed:        metrics.NewRegisteredCounter("agent.completed", r),
		failed:           metrics.NewRegisteredCounter("agent.failed", r),
		refused:          metrics.NewRegisteredCounter("agent.refused", r),
		preempted:        metrics.NewRegisteredCounter("agent.preempted", r),
		crashes:          metrics.NewRegisteredCounter("agent.crashes", r),
		invalidResponses: metrics.NewRegisteredCounter("agent.bad_answer", r),
		slotWait:         metrics.NewRegisteredTimer("agent.wait", r),
	}
}
