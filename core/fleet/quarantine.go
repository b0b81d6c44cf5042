package fleet

import (
	"bytes"
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

// verdictRecord is a verdict with the data that later decisions need.
type verdictRecord struct {
	Verdict     Verdict `msgpack:"v"`
	CrashIndex  uint64  `msgpack:"c"` // log index of the crash that made the request a suspect
	LastCrashMS int64   `msgpack:"a"` // time of the last crash
}

// crashID identifies a crash: a target process crashes at most once.
type crashID struct {
	Target      TargetID `msgpack:"t"`
	Incarnation uint64   `msgpack:"i"`
}

// quarantine infers from crash reports which requests crash targets.
type quarantine struct {
	verdicts         map[requestKey]verdictRecord
	crashes          []crashID // already recorded, oldest first
	cleared          []Verdict // tombstones of cleared verdicts, oldest first
	minDeltaRevision uint64    // highest revision of a dropped tombstone; deltas from below it are incomplete
}

func newQuarantine() quarantine {
	return quarantine{verdicts: make(map[requestKey]verdictRecord)}
}

func (m *Machine) crash(index uint64, r *ReportCrash, atMS int64) Result {
	expired := m.quarantine.expire(index, atMS)
	recorded := m.quarantine.recordCrash(index, r, atMS)
	return m.recordChange(index, expired || recorded)
}

// recordCrash updates the verdicts after a crash and reports whether any
// changed. A report of a crash that is already recorded is ignored.
func (q *quarantine) recordCrash(index uint64, r *ReportCrash, atMS int64) bool {
	id := crashID{Target: r.Target, Incarnation: r.Incarnation}
	if len(r.Requests) == 0 || slices.Contains(q.crashes, id) {
		return false
	}
	q.crashes = append(q.crashes, id)
	q.crashes = q.crashes[max(0, len(q.crashes)-maxCrashes):]
	unseen, known := q.partition(r.Requests)
	if q.quarantineSuspects(index, known, r.Isolated, atMS) {
		return true // a known suspect explains the crash: the others are not suspected
	}
	for _, key := range unseen {
		q.set(index, key, Suspect, 1, index, atMS)
	}
	q.evict(index)
	return true
}

// partition separates the requests without a verdict from those with one.
func (q *quarantine) partition(refs []RequestRef) (unseen, known []requestKey) {
	for _, ref := range refs {
		key := requestKey{ref.Workspace, ref.Digest}
		if _, found := q.verdicts[key]; found {
			known = append(known, key)
		} else {
			unseen = append(unseen, key)
		}
	}
	return unseen, known
}

// quarantineSuspects counts a further crash for requests that have a verdict and
// reports whether any of them is quarantined now. A single request is quarantined.
// Of several, each is quarantined only at its maxSuspectCrashes-th crash, since
// most likely just one of them causes the crashes.
func (q *quarantine) quarantineSuspects(index uint64, known []requestKey, isolated bool, atMS int64) bool {
	quarantined := false
	for _, key := range known {
		record, found := q.verdicts[key]
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
func (q *quarantine) clearCoSuspects(index, crashIndex uint64) {
	for _, key := range q.sortedKeys() {
		record := q.verdicts[key]
		if record.CrashIndex == crashIndex && record.Verdict.Level == Suspect && record.Verdict.Crashes == 1 {
			q.clear(index, key)
		}
	}
}

// expire clears verdicts past their time to live and reports whether there
// were any.
func (q *quarantine) expire(index uint64, nowMS int64) bool {
	change := false
	for _, key := range q.sortedKeys() {
		record := q.verdicts[key]
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
func (q *quarantine) evict(index uint64) {
	if len(q.verdicts) <= maxVerdicts {
		return
	}
	keys := q.sortedKeys()
	slices.SortStableFunc(keys, func(a, b requestKey) int { return cmp.Compare(q.verdicts[a].LastCrashMS, q.verdicts[b].LastCrashMS) })
	for _, key := range keys[:len(keys)-maxVerdicts] {
		q.clear(index, key)
	}
}

func (q *quarantine) set(index uint64, key requestKey, level Suspicion, crashes int, crashIndex uint64, atMS int64) {
	q.verdicts[key] = verdictRecord{
		Verdict:     Verdict{Workspace: key.workspace, Digest: key.digest, Level: level, Crashes: crashes, Revision: index},
		CrashIndex:  crashIndex,
		LastCrashMS: atMS,
	}
}

// clear removes a verdict and keeps a tombstone for subscribers.
func (q *quarantine) clear(index uint64, key requestKey) {
	delete(q.verdicts, key)
	q.cleared = append(q.cleared, Verdict{Workspace: key.workspace, Digest: key.digest, Revision: index})
	if excess := len(q.cleared) - maxTombstones; excess > 0 {
		q.minDeltaRevision = max(q.minDeltaRevision, q.cleared[excess-1].Revision)
		q.cleared = slices.Clone(q.cleared[excess:])
	}
}

func (q *quarantine) sortedKeys() []requestKey {
	return slices.SortedFunc(maps.Keys(q.verdicts), compareKeys)
}

func compareKeys(a, b requestKey) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), bytes.Compare(a.digest[:], b.digest[:]))
}

// changedSince returns the verdicts changed after a revision. Cleared ones come
// first, so that a request that became a suspect again after it was cleared
// ends up as a suspect.
func (q *quarantine) changedSince(revision uint64) []Verdict {
	var list []Verdict
	for _, v := range q.cleared {
		if v.Revision > revision {
			list = append(list, v)
		}
	}
	for _, key := range q.sortedKeys() {
		if v := q.verdicts[key].Verdict; v.Revision > revision {
			list = append(list, v)
		}
	}
	return list
}

// Verdicts returns all verdicts in force, sorted by request.
func (m *Machine) Verdicts() []Verdict {
	list := make([]Verdict, 0, len(m.quarantine.verdicts))
	for _, key := range m.quarantine.sortedKeys() {
		list = append(list, m.quarantine.verdicts[key].Verdict)
	}
	return list
}

// HasExpiredVerdicts reports whether an ExpireVerdicts command at nowMS would
// change anything.
func (m *Machine) HasExpiredVerdicts(nowMS int64) bool {
	for _, record := range m.quarantine.verdicts {
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
