// Package outcome defines the error type of all processes: a numbered result
// code and what is known about the execution of the request. It implements no
// retries; callers decide on the basis of these values.
package outcome

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a request reached a target.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that no target ever received the request. It is reported
	// only if that is certain, so that any request may be retried after it.
	NotRun Outcome = iota
	// MayHaveRun means that a target may have received the request.
	MayHaveRun
	// Ran means that a target executed the request.
	Ran
)

// String returns the wire name of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
}

// Error is a rejection or a failure with its code and outcome.
type Error struct {
	Code       Code          `msgpack:"c"`
	Outcome    Outcome       `msgpack:"o"`
	Message    string        `msgpack:"m"`
	RetryAfter time.Duration `msgpack:"r,omitempty"` // zero if waiting does not help
}

// Error returns the code, its name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Name(), e.Message)
}

// New returns an error with a message formatted as by fmt.Sprintf.
func New(code Code, o Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: o, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that asks the caller to wait d before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	dup := *e
	dup.RetryAfter = d
	return &dup
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	dup := *e
	dup.Outcome = o
	return &dup
}

// From returns the Error that err wraps. Any other error becomes Internal with
// outcome MayHaveRun, which claims nothing about the execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, MayHaveRun, "%v", err)
}

// IsCode reports whether err wraps an Error with the given code.
func IsCode(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
