package jobhost

import (
	"slices"
	"time"
)

// reserveSlots preempts batch items for online requests that have arrived at full
// targets, and reserves the slots until the gateways' load reports include these
// requests.
func (r *runner) reserveSlots(now time.Time, requests map[string]int) {
	for id, count := range requests {
		for range count {
			r.follower.Targets.ReserveSlot(id, now.Add(holdDuration))
		}
	}
	r.preempt(requests)
}

// preemptAtFullTargets preempts batch items at targets where online requests wait.
func (r *runner) preemptAtFullTargets() {
	if counts := r.follower.Targets.BatchToPreempt(0); len(counts) > 0 {
		r.preempt(counts)
	}
}

// preempt cancels the given number of runs at each target, the youngest first.
// Their items resume later.
func (r *runner) preempt(counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTarget := make(map[string][]*itemRun)
	for _, running := range r.running {
		if !running.preempted {
			byTarget[running.target.ID] = append(byTarget[running.target.ID], running)
		}
	}
	for id, count := range counts {
		runs := byTarget[id]
		slices.SortFunc(runs, func(a, b *itemRun) int { return b.startedAt.Compare(a.startedAt) })
		for _, victim := range runs[:min(count, len(runs))] {
			r.preempted.Inc(1)
			victim.preempted = true
			victim.cancel(errPreempted)
		}
	}
}
