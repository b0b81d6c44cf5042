// Package quarantine finds the requests that crash targets. A Tracker follows the
// in-flight requests of one target and reports the suspects after a crash.
// Verdicts is the replicated table that convicts or clears them. It reads no clock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// suspectWindow is how long a request that ended without a complete response
	// is still a suspect, since a crash may be detected only later.
	suspectWindow = 2 * time.Second
	// suspicionWindow is how long the tracker's local suspicion applies. By then
	// the crash report is in the replicated log and the fleet's verdict applies.
	suspicionWindow = 5 * time.Second
	maxRecent       = 256
	// clearedWindow is how long a suspect that ran in isolation to a complete
	// response counts as cleared, unless the fleet's verdict is Quarantined.
	clearedWindow = 10 * time.Minute
	maxCleared    = 4096
)

// Report lists the suspects of one crash.
type Report struct {
	Suspects []Ref // without duplicates: those that ended shortly before the crash, then those in flight
	Isolated bool  // the only candidate was a known suspect that ran in isolation
}

// Tracker follows the requests at one target. Until the verdicts of the control
// plane have propagated, it treats the suspects of a crash as such by itself. It is not safe for concurrent
// use.
type Tracker struct {
	inFlight   []trackedRequest // in start order
	recent     []trackedRequest // ended without a complete response, in end order
	suspicions map[Ref]suspicion
	cleared    map[Ref]time.Duration // when each was cleared
	lastPruned time.Duration
}

type trackedRequest struct {
	id       uint64
	ref      Ref
	isolated bool // runs in isolation as a known suspect
	endedAt  time.Duration
}

type suspicion struct {
	level Suspicion
	at    time.Duration
}

// NewTracker returns a tracker of an idle target.
func NewTracker() *Tracker {
	return &Tracker{suspicions: make(map[Ref]suspicion), cleared: make(map[Ref]time.Duration)}
}

// Started records that a request is about to be sent to the target.
func (t *Tracker) Started(id uint64, ref Ref, isolated bool) {
	t.inFlight = append(t.inFlight, trackedRequest{id: id, ref: ref, isolated: isolated})
}

// Ended records the end of a request; complete reports whether a
// complete response arrived.
func (t *Tracker) Ended(now time.Duration, id uint64, complete bool) {
	i := slices.IndexFunc(t.inFlight, func(r trackedRequest) bool { return r.id == id })
	if i < 0 {
		return
	}
	r := t.inFlight[i]
	t.inFlight = slices.Delete(t.inFlight, i, i+1)
	if complete {
		t.markCleared(now, r)
		return
	}
	r.endedAt = now
	t.recent = append(t.recent, r)
	t.recent = t.recent[max(0, len(t.recent)-maxRecent):]
}

// NotSent undoes Started: the request was not sent to the target after all.
func (t *Tracker) NotSent(id uint64) {
	t.inFlight = slices.DeleteFunc(t.inFlight, func(r trackedRequest) bool { return r.id == id })
}

// markCleared marks a suspect that ran in isolation to a complete response as
// cleared.
func (t *Tracker) markCleared(now time.Duration, r trackedRequest) {
	if r.isolated && len(t.cleared) < maxCleared {
		t.cleared[r.ref] = now
		delete(t.suspicions, r.ref)
	}
}

// Crashed returns the report on a crash detected now. It returns false when there
// is no suspect. The tracker drops all requests in flight, so that a later Ended
// does not make them suspects of the next crash.
func (t *Tracker) Crashed(now time.Duration) (Report, bool) {
	t.prune(now)
	candidates := append(slices.Clone(t.recent), t.inFlight...)
	t.recent, t.inFlight = nil, nil
	var report Report
	for _, r := range candidates {
		if !slices.Contains(report.Suspects, r.ref) {
			report.Suspects = append(report.Suspects, r.ref)
		}
	}
	if len(report.Suspects) == 0 {
		return report, false
	}
	report.Isolated = len(report.Suspects) == 1 && slices.ContainsFunc(candidates, func(r trackedRequest) bool { return r.isolated })
	for _, ref := range report.Suspects {
		level := Suspect
		if report.Isolated || t.suspicions[ref].level == Quarantined {
			level = Quarantined
		}
		t.suspicions[ref] = suspicion{level: level, at: now}
		delete(t.cleared, ref)
	}
	return report, true
}

// EffectiveSuspicion combines the fleet's verdict on a request with the
// tracker's local knowledge of crashes that may not be in the replicated log
// yet.
func (t *Tracker) EffectiveSuspicion(now time.Duration, ref Ref, verdict Suspicion) Suspicion {
	t.prune(now)
	if _, cleared := t.cleared[ref]; cleared && verdict < Quarantined {
		return Cleared
	}
	return max(verdict, t.suspicions[ref].level)
}

func (t *Tracker) prune(now time.Duration) {
	t.recent = slices.DeleteFunc(t.recent, func(r trackedRequest) bool { return now-r.endedAt > suspectWindow })
	if now-t.lastPruned < suspectWindow {
		return
	}
	t.lastPruned = now
	for ref, at := range t.cleared {
		if now-at > clearedWindow {
			delete(t.cleared, ref)
		}
	}
	for ref, s := range t.suspicions {
		if now-s.at > suspicionWindow {
			delete(t.suspicions, ref)
		}
	}
}
