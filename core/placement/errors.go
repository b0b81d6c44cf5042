package placement

import "time"

const (
	// errorWeight is the weight of the newest response in the moving average of a
	// target's share of server errors.
	errorWeight = 0.15
	// ejectShare is the share of server errors at which a target is avoided. Two errors in
	// a row reach it.
	ejectShare = 0.25
	// retryShare is the share with which it is tried again: one more error is enough to
	// avoid it again, for twice as long.
	retryShare = 0.2
	// usualDivisor is the part of a target's share, as a divisor, that the mean share of the
	// service's other targets may have: when many targets answer with errors, it is the
	// requests, and avoiding targets would only move them.
	usualDivisor = 3
	// recoveredShare is the share below which a target counts as sound again.
	recoveredShare = 0.05
)

// errorState is what a target's responses say about its health. It answers a target that
// fails requests while its health checks are good: such a target is fast, so it would
// get more requests than the others.
type errorState struct {
	share     float64 // of server errors, moving average
	ejections int     // since it was sound
	until     time.Time
}

// Responded records whether a response of a target was a server error, and reports
// whether the target is avoided from now on because of it.
func (t *Targets) Responded(now time.Time, id string, serverError bool) (ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.errors[id]
	r := t.byID[id]
	if r == nil || state == nil && !serverError {
		return false
	}
	if state == nil {
		state = &errorState{}
		t.errors[id] = state
	}
	newest := 0.0
	if serverError {
		newest = 1
	}
	state.share += errorWeight * (newest - state.share)
	if state.share < recoveredShare {
		delete(t.errors, id)
		return false
	}
	if !serverError || state.share < ejectShare || now.Before(state.until) || state.share < usualDivisor*t.errorShareOfOthers(r.Service, id) {
		return false
	}
	state.until = now.Add(min(initialBackoff<<min(state.ejections, 10), maxBackoff))
	state.ejections++
	state.share = retryShare
	return true
}

// errorShareOfOthers returns the mean share of server errors of the other targets of a
// service. The caller holds the lock.
func (t *Targets) errorShareOfOthers(service, except string) float64 {
	sum, count := 0.0, 0
	for _, r := range t.services[service] {
		if r.ID == except {
			continue
		}
		count++
		if state := t.errors[r.ID]; state != nil {
			sum += state.share
		}
	}
	return sum / float64(max(1, count))
}

// isEjected reports whether a target is avoided because of its responses. The caller
// holds the lock.
func (t *Targets) isEjected(now time.Time, id string) bool {
	state := t.errors[id]
	return state != nil && now.Before(state.until)
}
