package quarantine

import "slices"

// TrialTargets is the number of targets that must have crashed under a subject before
// each run of it is a trial, also a retry within one attempt of its caller. A request
// that crashes targets then ends one at a time, however many copies of it are sent
// together.
const TrialTargets = 2

const (
	// trialShare is the number of targets of a service for each trial at a time.
	trialShare = 4
	// maxTrialCrashes is the number of crashes in trials from which on a burst of
	// crashes elsewhere does not excuse a request.
	maxTrialCrashes = 2
)

// Trial is the run of a suspect that is allowed while no other run of it is: its
// outcome is evidence by itself. Times are in milliseconds since 1970.
type Trial struct {
	Holder  string `msgpack:"h"` // the run, by the id of the attempt and its number there
	Service string `msgpack:"s"` // whose targets it may crash
	UntilMS int64  `msgpack:"u"` // the trial has ended by then, also without a report
}

// TrialResult is the decision about a trial.
type TrialResult struct {
	Allowed bool
	Crashes int  // of the subject that are known
	Changed bool // a verdict has changed
}

// BeginTrial allows a run of a subject. It does not while another run of it is on
// trial, or atOnce trials of the service are under way, or if the subject is
// quarantined. A subject without a verdict becomes a suspect without a crash, so that
// all senders ask for a trial of it.
func (q *Verdicts) BeginTrial(index uint64, ref Ref, trial Trial, atOnce int, nowMS int64) TrialResult {
	record, found := q.records[ref]
	result := TrialResult{Crashes: record.Verdict.Crashes}
	taken := record.Trial.UntilMS > nowMS && record.Trial.Holder != trial.Holder
	if record.Verdict.Level == Quarantined || taken || q.otherTrials(ref, trial.Service, nowMS) >= atOnce {
		return result
	}
	record.Trial = trial
	q.records[ref] = record
	result.Allowed = true
	if !found {
		q.set(index, ref, Suspect, 0, index, nowMS)
		q.evict(index)
		result.Changed = true
	}
	return result
}

// EndTrial ends the trial of a holder that showed nothing: the run did not begin, or
// the target lives on. It reports whether a verdict has changed.
func (q *Verdicts) EndTrial(index uint64, ref Ref, holder string) bool {
	record, found := q.records[ref]
	if !found || record.Trial.Holder != holder {
		return false
	}
	if record.Verdict.Crashes == 0 {
		q.clear(index, ref)
		return true
	}
	record.Trial = Trial{}
	q.records[ref] = record
	return false
}

// endTrial notes that the trial has ended with a crash.
func (r *Record) endTrial() {
	r.TrialCrashes++
	r.Trial = Trial{}
}

// otherTrials returns the number of trials under way at a service, except that of one
// subject.
func (q *Verdicts) otherTrials(except Ref, service string, nowMS int64) int {
	count := 0
	for ref, record := range q.records {
		if ref != except && record.Trial.Service == service && record.Trial.UntilMS > nowMS {
			count++
		}
	}
	return count
}

// TrialsAtOnce returns how many trials may be under way at a service with the given
// number of targets that are up, so that suspects leave most of them to sound requests.
func TrialsAtOnce(targetsUp int) int { return max(1, targetsUp/trialShare) }

// HasCrashed reports whether a process of a target is known to have crashed.
func (q *Verdicts) HasCrashed(target string, incarnation uint64) bool {
	return slices.ContainsFunc(q.runCrashes, func(c runCrash) bool { return c.Crash == Crash{Target: target, Incarnation: incarnation} })
}
