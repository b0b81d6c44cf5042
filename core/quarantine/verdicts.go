package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times to live of verdicts, and the number of crashes at which a request is
// quarantined even if it never ran without other suspects.
const (
	suspectTTL        = 10 * time.Minute
	quarantineTTL     = 24 * time.Hour
	maxSuspectCrashes = 3
	// probationAfter is the time after its last crash at which a quarantined
	// request becomes a suspect again, which one more crash quarantines.
	probationAfter = time.Hour
)

// Bounds on the state, so that it does not grow with the age of the fleet.
const (
	maxTombstones = 4096 // of cleared verdicts
	maxCrashes    = 1024 // recorded crashes, to ignore repeated reports
	maxVerdicts   = 8192
)

// Record is a verdict with the data that later decisions need.
type Record struct {
	Verdict     Verdict `msgpack:"v"`
	CrashIndex  uint64  `msgpack:"c"`           // log index of the crash that made the request a suspect
	LastCrashMS int64   `msgpack:"a"`           // time of the last crash
	Convicted   bool    `msgpack:"q,omitempty"` // is or was quarantined
	Crashes     []Crash `msgpack:"n,omitempty"` // the newest crashes at which it ran, of RecordRuns only
	// Contents are the requests counted in the verdict on a prompt part or on variants.
	Contents []Digest `msgpack:"o,omitempty"`
	// Workspaces are those that the requests counted for a SharedPart came from, up to
	// minWorkspaces.
	Workspaces []string `msgpack:"w,omitempty"`
	Trial      Trial    `msgpack:"t,omitempty"`
	// TrialCrashes is the number of crashes in trials of the subject.
	TrialCrashes int `msgpack:"u,omitempty"`
}

// Verdicts is the replicated table of verdicts. It infers from crash reports
// which requests crash targets. It is deterministic and not safe for concurrent
// use.
type Verdicts struct {
	records          map[Ref]Record
	crashes          []Crash    // already recorded, oldest first
	runCrashes       []runCrash // crashes of RecordRuns, oldest first
	revision         uint64     // log index of the last change
	cleared          []Verdict  // tombstones of cleared verdicts, oldest first
	minDeltaRevision uint64     // highest revision of a dropped tombstone; deltas from below it are incomplete
}

// NewVerdicts returns an empty table.
func NewVerdicts() *Verdicts { return &Verdicts{records: make(map[Ref]Record)} }

// RecordCrash updates the verdicts after a crash and reports whether any
// changed. suspects are all requests that were at the target; isolated means that
// the only one was a known suspect. A report of a crash that is already recorded is ignored.
func (q *Verdicts) RecordCrash(index uint64, crash Crash, suspects []Ref, isolated bool, atMS int64) bool {
	if len(suspects) == 0 || slices.Contains(q.crashes, crash) {
		return false
	}
	q.crashes = append(q.crashes, crash)
	q.crashes = q.crashes[max(0, len(q.crashes)-maxCrashes):]
	unseen, known := q.partition(suspects)
	if q.quarantineSuspects(index, known, isolated, atMS) {
		return true // a known suspect explains the crash: the others are not suspected
	}
	for _, key := range unseen {
		q.set(index, key, Suspect, 1, index, atMS)
	}
	q.evict(index)
	return true
}

// partition separates the requests without a verdict from those with one.
func (q *Verdicts) partition(refs []Ref) (unseen, known []Ref) {
	for _, ref := range refs {
		if _, found := q.records[ref]; found {
			known = append(known, ref)
		} else {
			unseen = append(unseen, ref)
		}
	}
	return unseen, known
}

// quarantineSuspects counts a further crash for requests that have a verdict and
// reports whether any of them is quarantined now. A single request is quarantined.
// Of several, each is quarantined only at its maxSuspectCrashes-th crash, since
// most likely just one of them causes the crashes.
func (q *Verdicts) quarantineSuspects(index uint64, known []Ref, isolated bool, atMS int64) bool {
	quarantined := false
	for _, key := range known {
		record, found := q.records[key]
		if !found {
			continue // cleared in this loop, when another request was quarantined
		}
		crashes := record.Verdict.Crashes + 1
		level := record.Verdict.Level
		if isolated || len(known) == 1 || crashes >= maxSuspectCrashes {
			level = Quarantined
		}
		q.set(index, key, level, crashes, record.CrashIndex, atMS)
		if level == Quarantined {
			quarantined = true
			q.clearCoSuspects(index, record.CrashIndex)
		}
	}
	return quarantined
}

// clearCoSuspects clears the requests whose only reason for suspicion is the
// crash at crashIndex, which the quarantined request caused.
func (q *Verdicts) clearCoSuspects(index, crashIndex uint64) {
	for _, key := range q.sortedRefs() {
		record := q.records[key]
		if record.CrashIndex == crashIndex && record.Verdict.Level == Suspect && record.Verdict.Crashes == 1 {
			q.clear(index, key)
		}
	}
}

// Expire clears verdicts past their time to live, puts quarantined requests on
// probation and reports whether there were any.
func (q *Verdicts) Expire(index uint64, nowMS int64) bool {
	change := false
	for _, key := range q.sortedRefs() {
		record := q.records[key]
		switch {
		case record.expired(nowMS):
			q.clear(index, key)
		case record.probationDue(nowMS):
			q.startProbation(index, key)
		default:
			continue
		}
		change = true
	}
	return change
}

// LatestMS returns the time of the latest crash that is known, or 0, in
// milliseconds since 1970.
func (q *Verdicts) LatestMS() int64 {
	latest := int64(0)
	for _, record := range q.records {
		latest = max(latest, record.LastCrashMS)
	}
	if n := len(q.runCrashes); n > 0 {
		latest = max(latest, q.runCrashes[n-1].AtMS)
	}
	return latest
}

// HasExpired reports whether Expire at nowMS would change anything.
func (q *Verdicts) HasExpired(nowMS int64) bool {
	for _, record := range q.records {
		if record.expired(nowMS) || record.probationDue(nowMS) {
			return true
		}
	}
	return false
}

func (r *Record) expired(nowMS int64) bool {
	if r.Verdict.Crashes == 0 {
		return nowMS > r.Trial.UntilMS
	}
	ttl := suspectTTL
	if r.Convicted || r.Verdict.Level == Quarantined {
		ttl = quarantineTTL
	}
	return nowMS-r.LastCrashMS > ttl.Milliseconds()
}

func (r *Record) probationDue(nowMS int64) bool {
	return r.Verdict.Level == Quarantined && nowMS-r.LastCrashMS > probationAfter.Milliseconds()
}

func (q *Verdicts) startProbation(index uint64, key Ref) {
	record := q.records[key]
	record.Verdict.Level = Suspect
	record.Verdict.Crashes = maxSuspectCrashes - 1
	record.Verdict.Revision = index
	record.Convicted = true
	q.records[key] = record
	q.revision = index
}

// evict clears verdicts beyond maxVerdicts, those of the workspace that has most
// of them. Suspects with the fewest crashes go first, the oldest of them before
// the others.
func (q *Verdicts) evict(index uint64) {
	for len(q.records) > maxVerdicts {
		counts := make(map[string]int)
		most := ""
		for _, key := range q.sortedRefs() {
			if counts[key.Workspace]++; counts[key.Workspace] > counts[most] {
				most = key.Workspace
			}
		}
		q.clear(index, q.leastImportant(most))
	}
}

// leastImportant returns the verdict of a workspace that is evicted first.
func (q *Verdicts) leastImportant(workspace string) Ref {
	keys := slices.DeleteFunc(q.sortedRefs(), func(key Ref) bool { return key.Workspace != workspace })
	return slices.MinFunc(keys, func(a, b Ref) int {
		recordA, recordB := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(recordA.Verdict.Level, recordB.Verdict.Level),
			cmp.Compare(recordA.Verdict.Crashes, recordB.Verdict.Crashes), cmp.Compare(recordA.LastCrashMS, recordB.LastCrashMS))
	})
}

func (q *Verdicts) set(index uint64, key Ref, level Suspicion, crashes int, crashIndex uint64, atMS int64) {
	record := q.records[key]
	record.Verdict = Verdict{Workspace: key.Workspace, Digest: key.Digest, Kind: key.Kind, Level: level, Crashes: crashes, Revision: index,
		Targets: len(record.Crashes), With: record.Verdict.With, Workspaces: record.Verdict.Workspaces}
	record.CrashIndex = crashIndex
	record.LastCrashMS = atMS
	record.Convicted = record.Convicted || level == Quarantined
	q.records[key] = record
	q.revision = index
}

// clear removes a verdict and keeps a tombstone for subscribers.
func (q *Verdicts) clear(index uint64, key Ref) {
	delete(q.records, key)
	q.revision = index
	q.cleared = append(q.cleared, Verdict{Workspace: key.Workspace, Digest: key.Digest, Kind: key.Kind, Revision: index})
	if excess := len(q.cleared) - maxTombstones; excess > 0 {
		q.minDeltaRevision = max(q.minDeltaRevision, q.cleared[excess-1].Revision)
		q.cleared = slices.Clone(q.cleared[excess:])
	}
}

func (q *Verdicts) sortedRefs() []Ref {
	return slices.SortedFunc(maps.Keys(q.records), CompareRefs)
}

// ChangedSince returns the verdicts changed after a revision. Cleared ones come
// first, so that a request that became a suspect again after it was cleared
// ends up as a suspect.
func (q *Verdicts) ChangedSince(revision uint64) []Verdict {
	var list []Verdict
	for _, v := range q.cleared {
		if v.Revision > revision {
			list = append(list, v)
		}
	}
	for _, key := range q.sortedRefs() {
		if v := q.records[key].Verdict; v.Revision > revision {
			list = append(list, v)
		}
	}
	return list
}

// All returns all verdicts in force, sorted by request.
func (q *Verdicts) All() []Verdict {
	list := make([]Verdict, 0, len(q.records))
	for _, ref := range q.sortedRefs() {
		list = append(list, q.records[ref].Verdict)
	}
	return list
}

// Lookup returns the record of a request.
func (q *Verdicts) Lookup(ref Ref) (Record, bool) {
	record, found := q.records[ref]
	return record, found
}

// Len returns the number of verdicts in force.
func (q *Verdicts) Len() int { return len(q.records) }

// UpdateSince returns the changes after a revision, or all verdicts if a delta
// could miss one that was cleared.
func (q *Verdicts) UpdateSince(revision uint64) Update {
	if revision == 0 || revision < q.minDeltaRevision {
		return Update{Revision: q.revision, Full: true, Verdicts: q.All()}
	}
	return Update{Revision: q.revision, Verdicts: q.ChangedSince(revision)}
}

// Revision returns the log index of the last change.
func (q *Verdicts) Revision() uint64 { return q.revision }

// MinDeltaRevision returns the revision below which ChangedSince may miss cleared
// verdicts.
func (q *Verdicts) MinDeltaRevision() uint64 { return q.minDeltaRevision }

// Snapshot is the complete state of a table.
type Snapshot struct {
	Records          []Record   `msgpack:"v"`
	Crashes          []Crash    `msgpack:"c"`
	Cleared          []Verdict  `msgpack:"cl"`
	MinDeltaRevision uint64     `msgpack:"cf"`
	RunCrashes       []runCrash `msgpack:"rc,omitempty"`
}

// Snapshot returns the complete state.
func (q *Verdicts) Snapshot() Snapshot {
	s := Snapshot{Crashes: slices.Clone(q.crashes), Cleared: slices.Clone(q.cleared), MinDeltaRevision: q.minDeltaRevision,
		RunCrashes: slices.Clone(q.runCrashes)}
	for _, ref := range q.sortedRefs() {
		s.Records = append(s.Records, q.records[ref])
	}
	return s
}

// Restore returns a table with the state of a snapshot.
func Restore(s Snapshot) *Verdicts {
	q := NewVerdicts()
	for _, record := range s.Records {
		q.records[record.Verdict.Ref()] = record
		q.revision = max(q.revision, record.Verdict.Revision)
	}
	for _, verdict := range s.Cleared {
		q.revision = max(q.revision, verdict.Revision)
	}
	q.runCrashes = slices.Clone(s.RunCrashes)
	q.crashes = slices.Clone(s.Crashes)
	q.cleared = slices.Clone(s.Cleared)
	q.minDeltaRevision = s.MinDeltaRevision
	return q
}
