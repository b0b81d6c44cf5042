package targetcall

import (
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
)

const (
	// minTimedEvents is how many events a response needs so that the time between them
	// tells something of the target.
	minTimedEvents = 4
	// callerDelayDivisor is the part of the time from the first event to the last, as a
	// divisor, that may pass without waiting for the target: beyond it the caller has
	// slowed the response down.
	callerDelayDivisor = 4
)

// Timing measures how fast a target answers one request.
type Timing struct {
	sent, first, last time.Time
	events            int
	waited            time.Duration // for events after the first
}

// Begin starts the measurement when the request is sent.
func (t *Timing) Begin(now time.Time) { *t = Timing{sent: now} }

// Event records an event that arrived at now, after a wait that began at waitedSince.
func (t *Timing) Event(waitedSince, now time.Time) {
	if t.events++; t.events == 1 {
		t.first = now
	} else {
		t.waited += now.Sub(waitedSince)
	}
	t.last = now
}

// Plain records that a plain response has arrived.
func (t *Timing) Plain(now time.Time) { t.first, t.last = now, now }

// Latency returns the time until the first event, or until now if there was none.
func (t *Timing) Latency(now time.Time) time.Duration {
	if t.events > 0 {
		now = t.first
	}
	return now.Sub(t.sent)
}

// MeanGap returns the mean time between two events, or 0 if there were fewer than two.
func (t *Timing) MeanGap() time.Duration {
	if t.events < 2 {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(t.events-1)
}

// SilentFor returns the time since the last event, or 0 if there was none.
func (t *Timing) SilentFor(now time.Time) time.Duration {
	if t.events == 0 {
		return 0
	}
	return now.Sub(t.last)
}

// Report returns what was seen of a target that had fill requests and named a pace (0:
// none), or nil if that tells nothing of its speed.
func (t *Timing) Report(target *roster.Record, fill, pacePercent int) *placement.RunReport {
	if t.sent.IsZero() || t.first.IsZero() {
		return nil
	}
	run := &placement.RunReport{Target: target.ID, Incarnation: target.Incarnation, Fill: fill,
		FirstMS: t.first.Sub(t.sent).Milliseconds(), RanMS: t.last.Sub(t.sent).Milliseconds(), PacePercent: pacePercent}
	if t.events == 0 {
		return run
	}
	between := t.last.Sub(t.first)
	if t.events < minTimedEvents || between-t.waited > between/callerDelayDivisor {
		return nil
	}
	run.EventUS = max(1, (between / time.Duration(t.events-1)).Microseconds())
	return run
}
