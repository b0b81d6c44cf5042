// Package balance chooses the target of a request and orders the requests that
// wait for one. It does no I/O and reads no clock.
package balance

import "banyanwalk/core/fleet"

// Candidate is a target that may serve a request.
type Candidate struct {
	ID          fleet.TargetID
	Local       bool // in the data centre of this process
	InFlight    int  // requests of this process on the target
	Capacity    int  // estimated number of requests that the target can run at once
	Unavailable bool // takes no requests now, such as in backoff after a refusal
}

// free reports whether the target can take one more request.
func (c *Candidate) free() bool { return !c.Unavailable && c.InFlight < c.Capacity }

// lessLoaded reports whether a would have a lower utilization than b after one
// more request.
func lessLoaded(a, b *Candidate) bool {
	return (a.InFlight+1)*max(1, b.Capacity) < (b.InFlight+1)*max(1, a.Capacity)
}

// Choose returns the index of the target for a new request: the less loaded of
// two random candidates with a free slot. Candidates in other data centres are
// used only when no local one is free. It returns false when no candidate has a
// free slot. draw returns a random number in [0, n).
func Choose(candidates []Candidate, draw func(n int) int) (int, bool) {
	if i, ok := chooseTier(candidates, true, draw); ok {
		return i, true
	}
	return chooseTier(candidates, false, draw)
}

func chooseTier(candidates []Candidate, local bool, draw func(n int) int) (int, bool) {
	count := 0
	for i := range candidates {
		if candidates[i].Local == local && candidates[i].free() {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	first := nthFree(candidates, local, draw(count))
	if count == 1 {
		return first, true
	}
	second := nthFree(candidates, local, draw(count))
	if lessLoaded(&candidates[second], &candidates[first]) {
		return second, true
	}
	return first, true
}

func nthFree(candidates []Candidate, local bool, n int) int {
	for i := range candidates {
		if candidates[i].Local != local || !candidates[i].free() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
