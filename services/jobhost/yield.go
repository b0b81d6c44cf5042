package jobhost

import (
	"slices"
	"time"
)

// makeRoom gives slots to online requests that have come to full targets, and
// keeps them free until the gateways' reports show the requests.
func (r *runner) makeRoom(now time.Time, requests map[string]int) {
	for id, count := range requests {
		for range count {
			r.follower.Targets.ReserveSlot(id, now.Add(holdFor))
		}
	}
	r.take(requests)
}

// yield takes batch items away from targets where online requests wait.
func (r *runner) yield() {
	if crowded := r.follower.Targets.BatchToPreempt(0); len(crowded) > 0 {
		r.take(crowded)
	}
}

// take ends so many runs at each target, the youngest first. They go on later.
func (r *runner) take(crowded map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTarget := make(map[string][]*run)
	for _, running := range r.running {
		if !running.ending {
			byTarget[running.target.ID] = append(byTarget[running.target.ID], running)
		}
	}
	for id, over := range crowded {
		runs := byTarget[id]
		slices.SortFunc(runs, func(a, b *run) int { return b.began.Compare(a.began) })
		for _, victim := range runs[:min(over, len(runs))] {
			r.yielded.Inc(1)
			victim.ending = true
			victim.cancel(errYielded)
		}
	}
}
