package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// burstWindow is the time over which crashes of other requests are counted, to
	// tell a burst of crashes from a request that causes them.
	burstWindow = 10 * time.Second
	// maxBurstCrashes is the number of crashes at which a request is quarantined
	// even during a burst.
	maxBurstCrashes = 5
	// maxRecordCrashes bounds the crashes kept with a record; more than
	// maxBurstCrashes, since runs at the same time may count as one.
	maxRecordCrashes = 16
)

// Run is a run of a request that ended with the crash of its target.
type Run struct {
	Ref
	// KnownCrashes is the number of the request's crashes that the sender knew of
	// when it sent the run. Runs that were sent in ignorance of each other's crash
	// are one piece of evidence, not several.
	KnownCrashes int `msgpack:"k"`
}

// runCrash is a crash reported by RecordRuns.
type runCrash struct {
	Crash
	AtMS int64 `msgpack:"m"`
	// MostCrashes is the highest number of crashes of a request that ran there.
	MostCrashes int `msgpack:"h"`
}

// RecordRuns records runs that ended with a crash, as one of several senders saw
// them: others may report further runs of the same crash. It reports whether any
// verdict changed.
//
// A request is quarantined at its third crash, unless at least as many targets
// crashed at that time without it: such a burst hits sound requests too. At the
// fifth it is quarantined in any case.
func (q *Verdicts) RecordRuns(index uint64, crash Crash, runs []Run, atMS int64) bool {
	at := q.findRunCrash(crash, atMS)
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(b.KnownCrashes, a.KnownCrashes) })
	change := false
	for _, run := range runs {
		if q.recordRun(index, at, run) {
			change = true
		}
	}
	q.evict(index)
	return change
}

// findRunCrash returns the position of a crash in runCrashes, to which it adds the
// crash if needed. Times never go back there, although the clocks of the proposers
// differ.
func (q *Verdicts) findRunCrash(crash Crash, atMS int64) int {
	if at := slices.IndexFunc(q.runCrashes, func(c runCrash) bool { return c.Crash == crash }); at >= 0 {
		return at
	}
	if n := len(q.runCrashes); n > 0 {
		atMS = max(atMS, q.runCrashes[n-1].AtMS)
	}
	q.runCrashes = append(q.runCrashes, runCrash{Crash: crash, AtMS: atMS})
	q.runCrashes = q.runCrashes[max(0, len(q.runCrashes)-maxCrashes):]
	return len(q.runCrashes) - 1
}

// recordRun records one run at the crash at a position of runCrashes and reports
// whether its verdict changed.
func (q *Verdicts) recordRun(index uint64, at int, run Run) bool {
	crash := &q.runCrashes[at]
	record, found := q.records[run.Ref]
	if slices.Contains(record.Crashes, crash.Crash) {
		return false
	}
	count := record.Verdict.Crashes
	if run.KnownCrashes >= count {
		count++
	}
	if crash.MostCrashes > 1 && crash.MostCrashes > count {
		return false // another request that ran there explains the crash
	}
	crash.MostCrashes = max(crash.MostCrashes, count)
	if !found {
		record.CrashIndex = index
	}
	record.Crashes = append(slices.Clone(record.Crashes), crash.Crash)
	record.Crashes = record.Crashes[max(0, len(record.Crashes)-maxRecordCrashes):]
	level := max(record.Verdict.Level, Suspect)
	if count >= maxBurstCrashes || count >= maxSuspectCrashes && !q.inBurst(&record, crash.AtMS) {
		level = Quarantined
	}
	q.records[run.Ref] = record
	q.set(index, run.Ref, level, count, record.CrashIndex, max(crash.AtMS, record.LastCrashMS))
	if count >= maxSuspectCrashes {
		q.explain(&record, count)
	}
	return true
}

// inBurst reports whether at least as many targets crashed without a request as
// with it.
func (q *Verdicts) inBurst(record *Record, nowMS int64) bool {
	with, without := 0, 0
	for _, crash := range q.runCrashes {
		switch {
		case nowMS-crash.AtMS > burstWindow.Milliseconds():
		case slices.Contains(record.Crashes, crash.Crash):
			with++
		case crash.MostCrashes < maxSuspectCrashes: // no other request explains it
			without++
		}
	}
	return without >= with
}

// explain marks the crashes of a request that is at count crashes, so that they no
// longer speak for a burst.
func (q *Verdicts) explain(record *Record, count int) {
	for i := range q.runCrashes {
		if slices.Contains(record.Crashes, q.runCrashes[i].Crash) {
			q.runCrashes[i].MostCrashes = max(q.runCrashes[i].MostCrashes, count)
		}
	}
}

// Complete clears the verdicts of requests that ran to a complete response, and
// reports whether there were any.
func (q *Verdicts) Complete(index uint64, refs []Ref) bool {
	change := false
	for _, ref := range refs {
		if _, found := q.records[ref]; found {
			q.clear(index, ref)
			change = true
		}
	}
	return change
}
