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
	// minVariants is the number of variants that must have crashed targets before
	// all of them are quarantined.
	minVariants = 2
	// minWorkspaces is the number of workspaces whose requests must have crashed targets
	// before a part is quarantined for all.
	minWorkspaces = 2
)

// Run is a run of a request that ended with the crash of its target.
type Run struct {
	Ref
	// KnownCrashes is the number of the request's crashes that the sender knew of
	// when it sent the run. Runs that were sent in ignorance of each other's crash
	// are one piece of evidence, not several.
	KnownCrashes int       `msgpack:"k"`
	Parts        []RunPart `msgpack:"p,omitempty"` // what it shares with other requests, as far as suspected
	Trial        bool      `msgpack:"t,omitempty"` // see Trial
}

// RunPart is something that a run shares with runs of other requests: a part of its
// prompt, or all but its query.
type RunPart struct {
	Digest       Digest `msgpack:"d"`
	KnownCrashes int    `msgpack:"c"`           // as in Run
	Kind         Kind   `msgpack:"n,omitempty"` // PromptPart if it is not set, as in reports of earlier builds
}

// Subjects returns what the run tells against: its request and what it shares with
// others.
func (r *Run) Subjects() []Ref {
	refs := []Ref{r.Ref}
	for i := range r.Parts {
		refs = append(refs, r.partRef(i))
	}
	return refs
}

func (r *Run) partRef(i int) Ref {
	kind := r.Parts[i].Kind
	switch kind {
	case Content:
		kind = PromptPart
	case SharedPart:
		return Ref{Digest: r.Parts[i].Digest, Kind: kind}
	}
	return Ref{Workspace: r.Workspace, Digest: r.Parts[i].Digest, Kind: kind}
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
// A subject is quarantined at its third crash, unless at least as many targets
// crashed at that time without it: such a burst hits sound requests too. At the
// fifth it is quarantined in any case.
//
// For a prompt part, the crashes of one request count once: they tell against that
// request. The parts of sound requests stand beside a bad one, but they also stand
// in responses that complete, which clears them.
//
// The same part of the prompts of several workspaces is a subject of its own, a SharedPart.
// It is quarantined, for all of them, only if the requests came from at least two.
//
// For variants, each crash counts, but they are quarantined only if at least two of
// them crashed targets: a single one is quarantined by itself.
func (q *Verdicts) RecordRuns(index uint64, crash Crash, runs []Run, atMS int64) bool {
	at := q.findRunCrash(crash, atMS)
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(b.KnownCrashes, a.KnownCrashes) })
	change := false
	for i := range runs {
		if q.recordParts(index, at, &runs[i]) {
			change = true
		}
	}
	for i := range runs {
		if q.recordContent(index, at, &runs[i]) {
			change = true
		}
	}
	q.evict(index)
	return change
}

// Adopt takes over a verdict of another table that counts more crashes than this
// one, so that further runs are counted on top of these.
func (q *Verdicts) Adopt(index uint64, v Verdict, atMS int64) {
	record, found := q.records[v.Ref()]
	if v.Crashes <= record.Verdict.Crashes {
		return
	}
	if !found {
		record.CrashIndex = index
	}
	record.Verdict.With, record.Verdict.Workspaces = v.With, v.Workspaces
	q.records[v.Ref()] = record
	q.set(index, v.Ref(), v.Level, v.Crashes, record.CrashIndex, atMS)
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

// recordContent records the request of one run at the crash at a position of
// runCrashes and reports whether its verdict changed.
func (q *Verdicts) recordContent(index uint64, at int, run *Run) bool {
	crash := &q.runCrashes[at]
	record := q.records[run.Ref]
	if slices.Contains(record.Crashes, crash.Crash) {
		return false
	}
	count := record.Verdict.Crashes
	if run.KnownCrashes >= count || run.Trial {
		count++
	}
	if crash.MostCrashes > 1 && crash.MostCrashes > count {
		return false // another subject that ran there explains the crash
	}
	if run.Trial {
		record.endTrial()
	}
	q.count(index, crash, run.Ref, record, count)
	return true
}

// recordParts records the prompt parts of one run at the crash at a position of
// runCrashes and reports whether any verdict changed.
func (q *Verdicts) recordParts(index uint64, at int, run *Run) bool {
	change := false
	for i := range run.Parts {
		part := &run.Parts[i]
		ref := run.partRef(i)
		record, found := q.records[ref]
		counted := slices.Contains(record.Contents, run.Digest)
		atCrash := slices.Contains(record.Crashes, q.runCrashes[at].Crash)
		if counted && (ref.Kind.IsPart() || atCrash) {
			continue
		}
		count := record.Verdict.Crashes
		alone := run.Trial && ref.Kind == Variants
		if (part.KnownCrashes >= count || alone) && !atCrash {
			count++
		}
		if !counted {
			record.Contents = append(slices.Clone(record.Contents), run.Digest)
			record.Contents = record.Contents[max(0, len(record.Contents)-maxRecordCrashes):]
		}
		if alone {
			record.endTrial()
		}
		if ref.Kind.IsPart() {
			record.Verdict.With = companions(&record, found, run, ref)
		}
		if ref.Kind == SharedPart && len(record.Workspaces) < minWorkspaces && !slices.Contains(record.Workspaces, run.Workspace) {
			record.Workspaces = append(slices.Clone(record.Workspaces), run.Workspace)
		}
		q.count(index, &q.runCrashes[at], ref, record, count)
		change = true
	}
	return change
}

// companions returns the prompt parts that stood in each request counted for a part,
// including that of the given run.
func companions(record *Record, found bool, run *Run, of Ref) []Digest {
	var with []Digest
	for i := range run.Parts {
		other := run.partRef(i)
		if other.Kind == of.Kind && other.Digest != of.Digest && (!found || slices.Contains(record.Verdict.With, other.Digest)) {
			with = append(with, other.Digest)
		}
	}
	return with
}

// count sets the number of crashes of a subject, one of which is the given one, and
// the level that follows from it.
func (q *Verdicts) count(index uint64, crash *runCrash, ref Ref, record Record, count int) {
	if _, found := q.records[ref]; !found {
		record.CrashIndex = index
	}
	if !slices.Contains(record.Crashes, crash.Crash) {
		record.Crashes = append(slices.Clone(record.Crashes), crash.Crash)
		record.Crashes = record.Crashes[max(0, len(record.Crashes)-maxRecordCrashes):]
	}
	level := max(record.Verdict.Level, Suspect)
	record.Verdict.Workspaces = max(record.Verdict.Workspaces, len(record.Workspaces))
	convictable := true
	switch ref.Kind {
	case Variants:
		convictable = len(record.Contents) >= minVariants
	case SharedPart:
		convictable = record.Verdict.Workspaces >= minWorkspaces
	}
	excused := record.TrialCrashes < maxTrialCrashes && q.inBurst(&record, crash.AtMS)
	if convictable && (count >= maxBurstCrashes || count >= maxSuspectCrashes && !excused) {
		level = Quarantined
	}
	q.records[ref] = record
	q.set(index, ref, level, count, record.CrashIndex, max(crash.AtMS, record.LastCrashMS))
	if ref.Kind != Content && level < Quarantined {
		return // what sound requests share too explains no crash
	}
	crash.MostCrashes = max(crash.MostCrashes, count)
	if count >= maxSuspectCrashes {
		q.explain(&record, count)
	}
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
