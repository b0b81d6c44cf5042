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
	CrashIndex  uint64  `msgpack:"c"` // log index of the crash that made the request a suspect
	LastCrashMS int64   `msgpack:"a"` // time of the last crash
}

// Verdicts is the replicated table of verdicts. It infers from crash reports
// which requests crash targets. It is deterministic and not safe for concurrent
// use.
type Verdicts struct {
	records          map[Ref]Record
	crashes          []Crash   // already recorded, oldest first
	cleared          []Verdict // tombstones of cleared verdicts, oldest first
	minDeltaRevision uint64    // highest revision of a dropped tombstone; deltas from below it are incomplete
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

// Expire clears verdicts past their time to live and reports whether there
// were any.
func (q *Verdicts) Expire(index uint64, nowMS int64) bool {
	change := false
	for _, key := range q.sortedRefs() {
		record := q.records[key]
		ttl := suspectTTL
		if record.Verdict.Level == Quarantined {
			ttl = quarantineTTL
		}
		if nowMS-record.LastCrashMS > ttl.Milliseconds() {
			q.clear(index, key)
			change = true
		}
	}
	return change
}

// evict clears the oldest verdicts beyond maxVerdicts.
func (q *Verdicts) evict(index uint64) {
	if len(q.records) <= maxVerdicts {
		return
	}
	keys := q.sortedRefs()
	slices.SortStableFunc(keys, func(a, b Ref) int { return cmp.Compare(q.records[a].LastCrashMS, q.records[b].LastCrashMS) })
	for _, key := range keys[:len(keys)-maxVerdicts] {
		q.clear(index, key)
	}
}

func (q *Verdicts) set(index uint64, key Ref, level Suspicion, crashes int, crashIndex uint64, atMS int64) {
	q.records[key] = Record{
		Verdict:     Verdict{Workspace: key.Workspace, Digest: key.Digest, Level: level, Crashes: crashes, Revision: index},
		CrashIndex:  crashIndex,
		LastCrashMS: atMS,
	}
}

// clear removes a verdict and keeps a tombstone for subscribers.
func (q *Verdicts) clear(index uint64, key Ref) {
	delete(q.records, key)
	q.cleared = append(q.cleared, Verdict{Workspace: key.Workspace, Digest: key.Digest, Revision: index})
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

// HasExpired reports whether Expire at nowMS would change anything.
func (q *Verdicts) HasExpired(nowMS int64) bool {
	for _, record := range q.records {
		ttl := suspectTTL
		if record.Verdict.Level == Quarantined {
			ttl = quarantineTTL
		}
		if nowMS-record.LastCrashMS > ttl.Milliseconds() {
			return true
		}
	}
	return false
}

// MinDeltaRevision returns the revision below which ChangedSince may miss cleared
// verdicts.
func (q *Verdicts) MinDeltaRevision() uint64 { return q.minDeltaRevision }

// Snapshot is the complete state of a table.
type Snapshot struct {
	Records          []Record  `msgpack:"v"`
	Crashes          []Crash   `msgpack:"c"`
	Cleared          []Verdict `msgpack:"cl"`
	MinDeltaRevision uint64    `msgpack:"cf"`
}

// Snapshot returns the complete state.
func (q *Verdicts) Snapshot() Snapshot {
	s := Snapshot{Crashes: slices.Clone(q.crashes), Cleared: slices.Clone(q.cleared), MinDeltaRevision: q.minDeltaRevision}
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
	}
	q.crashes = slices.Clone(s.Crashes)
	q.cleared = slices.Clone(s.Cleared)
	q.minDeltaRevision = s.MinDeltaRevision
	return q
}
