// Package dedupe deduplicates attempts at an agent: no attempt runs twice, and
// no request that is not idempotent reaches a target more than once. Attempts
// are remembered for a bounded time. That is enough because a frame cannot
// arrive later: the connection that carries it has timed out long before. The
// package reads no clock.
package dedupe

import (
	"slices"
	"time"
)

// Defaults for NewTable.
const (
	DefaultWindow     = 10 * time.Minute
	DefaultMaxEntries = 1 << 18 // requests in each of the two generations of a Table
)

// Verdict tells whether an attempt may run.
type Verdict uint8

// The verdicts.
const (
	Fresh     Verdict = iota // the attempt was not seen before and may run
	Duplicate                // the same attempt was seen before
	Repeated                 // another attempt may have run and the request is not idempotent
	Full                     // the table has no room to record the attempt, so it must not run
)

// Table records attempts by request. Entries live in two generations: after
// each window, current becomes previous and previous is dropped, so that an
// entry is kept for one to two windows after its last use. Table is not safe
// for concurrent use.
type Table struct {
	window    time.Duration
	maximum   int
	current   map[string]*entry // by request id
	previous  map[string]*entry
	rotatedAt time.Duration
}

// entry holds the recorded attempts of one request.
type entry struct {
	attempts []int // attempt numbers seen
	sent     bool  // an attempt may have reached the target
}

// NewTable returns an empty table that keeps each attempt for at least window
// and refuses new requests while the current generation holds maximum or more.
func NewTable(window time.Duration, maximum int) *Table {
	return &Table{
		window:   window,
		maximum:  maximum,
		current:  make(map[string]*entry),
		previous: make(map[string]*entry),
	}
}

// Begin records an attempt of a request and returns whether it may run. Attempts
// are numbered from 1. now is the time on any monotonic clock.
func (t *Table) Begin(now time.Duration, requestID string, attempt int, idempotent bool) Verdict {
	t.rotate(now)
	e, found := t.touch(requestID)
	switch {
	case !found && len(t.current) >= t.maximum:
		return Full
	case !found:
		t.current[requestID] = &entry{attempts: []int{attempt}}
		return Fresh
	case slices.Contains(e.attempts, attempt):
		return Duplicate
	case e.sent && !idempotent:
		return Repeated
	}
	e.attempts = append(e.attempts, attempt)
	return Fresh
}

// MarkSent records that an attempt is about to be sent to the target. If it returns
// false, the attempt must not be sent: another attempt of a request that is not
// idempotent was sent first, or the request is unknown.
func (t *Table) MarkSent(requestID string, idempotent bool) bool {
	e, found := t.touch(requestID)
	if !found {
		return false
	}
	if e.sent && !idempotent {
		return false
	}
	e.sent = true
	return true
}

// Len returns the number of recorded requests.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

// touch finds a request and moves it to the current generation.
func (t *Table) touch(requestID string) (*entry, bool) {
	if e, found := t.current[requestID]; found {
		return e, true
	}
	e, found := t.previous[requestID]
	if found {
		delete(t.previous, requestID)
		t.current[requestID] = e
	}
	return e, found
}

// rotate starts a new generation if the window has passed, and drops the entries
// that were not used for at least one window.
func (t *Table) rotate(now time.Duration) {
	if now-t.rotatedAt < t.window {
		return
	}
	if now-t.rotatedAt < 2*t.window {
		t.previous = t.current
	} else {
		t.previous = make(map[string]*entry)
	}
	t.current = make(map[string]*entry)
	t.rotatedAt = now
}
