// Package retry decides whether a failed attempt is retried. It does no I/O and
// reads no clock.
package retry

import (
	"time"

	"banyanwalk/core/outcome"
)

// MinAttemptTime is the least time left until the deadline for which another
// attempt is started.
const MinAttemptTime = 5 * time.Millisecond

// maxCrashes is the number of crashed targets after which a request is not sent
// again: it may be the cause.
const maxCrashes = 2

// Request is the state of a request after a failed attempt.
type Request struct {
	Idempotent  bool
	Crashed     int           // targets that crashed while they had the request
	MayHaveRun  int           // failed attempts that a target may have received and run
	MaxAttempts int           // bound on MayHaveRun
	TimeLeft    time.Duration // until the caller's deadline
	TargetsLeft int           // targets in service that this request may still try
}

// Decision tells whether and how a failed attempt is retried.
type Decision uint8

// The possible decisions.
const (
	GiveUp       Decision = iota // return the failure to the caller
	Unbudgeted                   // retry at once on another target, without using the budget
	WithinBudget                 // retry on another target if the retry budget allows it
)

// Decide returns what to do after a failed attempt.
func Decide(r Request, err *outcome.Error) Decision {
	if !retryable(err.Code) || r.TimeLeft < MinAttemptTime || r.TargetsLeft == 0 || r.Crashed >= maxCrashes {
		return GiveUp
	}
	if err.Outcome == outcome.NotRun {
		return Unbudgeted
	}
	if !r.Idempotent || r.MayHaveRun >= r.MaxAttempts {
		return GiveUp
	}
	return WithinBudget
}

// retryable reports whether the request may succeed on another target.
func retryable(code outcome.Code) bool {
	switch code {
	case outcome.StateStale, outcome.NoTarget, outcome.TargetBusy, outcome.TargetFailed, outcome.TargetCrashed,
		outcome.TargetLeaving, outcome.TargetCold, outcome.StreamBroken, outcome.BadTargetResponse,
		outcome.Preempted, outcome.Internal, outcome.Draining, outcome.Unreachable,
		outcome.BadFrame, outcome.Overloaded:
		return true
	default:
		return false
	}
}
