package replica

import (
	"sync/atomic"
	"time"
)

// readCall is one caller of ReadIndex.
type readCall struct {
	done      chan readResult // capacity one
	abandoned atomic.Bool     // the caller no longer waits
}

// readResult is the outcome of a call: the applied index, or an error.
type readResult struct {
	index uint64
	err   error
}

func (c *readCall) complete(result readResult) { c.done <- result }

// readRound is a set of calls that share one read-index request to the leader.
type readRound struct {
	token  uint64
	sentAt time.Time
	calls  []*readCall
}

// requestReads starts one round for all queued calls.
func (r *Replica) requestReads(now time.Time) {
	calls := r.readCalls.take()
	if len(calls) == 0 {
		return
	}
	r.lastReadToken++
	r.readRounds = append(r.readRounds, &readRound{token: r.lastReadToken, sentAt: now, calls: calls})
	r.core.ReadIndex(r.lastReadToken)
}

// retryReads repeats requests that have had no response for two heartbeat
// intervals, and drops the rounds that have no waiting call any more.
func (r *Replica) retryReads(now time.Time) {
	kept := r.readRounds[:0]
	for _, round := range r.readRounds {
		if !round.hasWaitingCall() {
			continue
		}
		kept = append(kept, round)
		if now.Sub(round.sentAt) >= 2*r.cfg.HeartbeatInterval {
			round.sentAt = now
			r.core.ReadIndex(round.token)
		}
	}
	r.readRounds = kept
}

// retryReadsOnNextTick makes retryReads repeat all requests on the next tick. It
// is used after a leader change.
func (r *Replica) retryReadsOnNextTick() {
	for _, round := range r.readRounds {
		round.sentAt = time.Time{}
	}
}

func (r *readRound) hasWaitingCall() bool {
	for _, c := range r.calls {
		if !c.abandoned.Load() {
			return true
		}
	}
	return false
}

// confirmRead passes the calls of a confirmed round to the applier, which
// completes them once index is applied.
func (r *Replica) confirmRead(token, index uint64) {
	for i, round := range r.readRounds {
		if round.token != token {
			continue
		}
		r.readRounds = append(r.readRounds[:i], r.readRounds[i+1:]...)
		r.applier.add(task{read: &confirmedRead{index: index, calls: round.calls}})
		return
	}
}

// failReads fails the calls that wait for a confirmation.
func (r *Replica) failReads(err error) {
	calls := r.readCalls.take()
	for _, round := range r.readRounds {
		calls = append(calls, round.calls...)
	}
	r.readRounds = nil
	for _, call := range calls {
		call.complete(readResult{err: err})
	}
}
