package roster

import "time"

// leavingRetention is how long it stays known that a process leaves of which no report
// has come. Delayed reports of it may still say that it is ready.
const leavingRetention = 10 * time.Minute

// Leaving identifies a process of a target that has said that it leaves.
type Leaving struct {
	Target      string `msgpack:"t"`
	Incarnation int64  `msgpack:"i"`
}

// MarkLeaving records that a process of a target leaves. It counts as draining whatever
// its reports say, also those that arrive later. A former process of the target counts as
// draining until it reports again: the clocks of targets may be set back.
func (r *Roster) MarkLeaving(at time.Time, id string, incarnation int64) MergeResult {
	process := Leaving{Target: id, Incarnation: incarnation}
	if _, found := r.leaving[process]; found {
		return Stale
	}
	record := r.byID[id]
	if record != nil && record.Incarnation > incarnation {
		return Stale
	}
	r.leaving[process] = at
	if record == nil {
		return Stale // counts once a report of the process arrives
	}
	next := *record
	next.Leaving = record.Incarnation == incarnation
	if next.State == Ready {
		next.State = Draining
	}
	r.byID[id] = &next
	if r.byAddr[next.Addr] == record {
		r.byAddr[next.Addr] = &next
	}
	return Changed
}

// IsLeaving reports whether a process of a target is known to leave.
func (r *Roster) IsLeaving(id string, incarnation int64) bool {
	_, found := r.leaving[Leaving{Target: id, Incarnation: incarnation}]
	return found
}

// AllLeaving returns the leaving processes that have a record.
func (r *Roster) AllLeaving() []Leaving {
	var all []Leaving
	for process := range r.leaving {
		if record := r.byID[process.Target]; record != nil && record.Incarnation == process.Incarnation {
			all = append(all, process)
		}
	}
	return all
}

// applyLeaving makes a new record draining if its process leaves.
func (r *Roster) applyLeaving(next *Record) {
	if !r.IsLeaving(next.ID, next.Incarnation) {
		return
	}
	next.Leaving = true
	if next.State == Ready {
		next.State = Draining
	}
}

// expireLeaving forgets the processes that were recorded long ago and have no record.
func (r *Roster) expireLeaving(oldest time.Time) {
	for process, at := range r.leaving {
		record := r.byID[process.Target]
		hasRecord := record != nil && record.Incarnation == process.Incarnation
		if !hasRecord && at.Before(oldest.Add(-leavingRetention)) {
			delete(r.leaving, process)
		}
	}
}
