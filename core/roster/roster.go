// Package roster keeps the newest status report of each target in the fleet:
// which process of a target is current, its address and whether it accepts
// requests. It reads no clock and does no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// State is the lifecycle state that a target reports.
type State uint8

// The states of a target.
const (
	Ready    State = iota + 1
	Draining       // finishes its running requests and accepts no new ones
	Gone           // has shut down
)

// String returns the name of the state as used in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Report is a status report of a target about itself.
type Report struct {
	ID          string        `msgpack:"i"`
	Incarnation int64         `msgpack:"b"` // start time of the process, Unix milliseconds of the target's clock; identifies the incarnation
	Sequence    uint64        `msgpack:"q"` // increases with each report of one process
	Service     string        `msgpack:"s"`
	Addr        string        `msgpack:"a"` // ip:port
	DataCentre  string        `msgpack:"d"`
	Version     string        `msgpack:"v"` // of the target's software
	Slots       int           `msgpack:"n"` // requests that it can run at once
	State       State         `msgpack:"t"`
	ColdFor     time.Duration `msgpack:"c"` // remaining cold time when the report was made
}

// Record is the newest report of a target.
type Record struct {
	Report
	ReceivedAt time.Time // when the report arrived, minus the time that it was held elsewhere before
	ColdUntil  time.Time // zero: warm
	Leaving    bool      // this process of the target is leaving; it never becomes ready again
}

// MergeResult tells whether a report was applied and what it changed.
type MergeResult uint8

// The possible results.
const (
	Stale   MergeResult = iota // not newer than the known report; ignored
	Renewed                    // newer, but nothing that routing depends on has changed
	Changed                    // newer, and the request path must be updated
)

// Roster is the set of known targets. It is not safe for concurrent use.
type Roster struct {
	byID    map[string]*Record
	byAddr  map[string]*Record
	leaving map[Leaving]time.Time // when it became known; also of targets without a record
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{byID: make(map[string]*Record), byAddr: make(map[string]*Record), leaving: make(map[Leaving]time.Time)}
}

// Merge applies a report that arrived at receivedAt.
//
// A higher Incarnation means that the target has restarted. An address may move
// to another target: it belongs to the one with the higher Incarnation, and a
// delayed report of the other one is stale.
func (r *Roster) Merge(receivedAt time.Time, report Report) MergeResult {
	known := r.byID[report.ID]
	if known != nil && report.State == Gone && report.Incarnation == 0 {
		return r.endKnown(receivedAt, known)
	}
	if known != nil && !supersedes(&report, known) {
		return Stale
	}
	if holder := r.byAddr[report.Addr]; holder != nil && holder.ID != report.ID && report.Addr != "" {
		if holder.State != Gone && holder.Incarnation > report.Incarnation {
			return Stale
		}
		delete(r.byID, holder.ID)
	}
	next := &Record{Report: report, ReceivedAt: receivedAt}
	if report.ColdFor > 0 {
		next.ColdUntil = receivedAt.Add(report.ColdFor)
	}
	r.applyLeaving(next)
	result := Changed
	if known != nil {
		if known.Incarnation == report.Incarnation {
			result = compare(known, next)
		}
		if known.Addr != report.Addr && r.byAddr[known.Addr] == known {
			delete(r.byAddr, known.Addr)
		}
	}
	r.byID[report.ID] = next
	r.byAddr[report.Addr] = next
	return result
}

// supersedes reports whether a report is newer than the known one of its id. A
// process that is Gone never returns to another state.
func supersedes(report *Report, known *Record) bool {
	if report.Incarnation != known.Incarnation {
		return report.Incarnation > known.Incarnation
	}
	if known.State == Gone {
		return false
	}
	return report.Sequence > known.Sequence || report.State == Gone
}

func compare(known, next *Record) MergeResult {
	same := known.State == next.State && known.Addr == next.Addr && known.Service == next.Service &&
		known.Slots == next.Slots && (known.ColdFor > 0) == (next.ColdFor > 0)
	if same {
		return Renewed
	}
	return Changed
}

// Deregister records that a process of a target has shut down. If incarnation is
// 0, it applies to the known process. An unknown id is stored as Gone, because other
// processes may know the target and because delayed reports of that process must be
// ignored.
func (r *Roster) Deregister(receivedAt time.Time, id string, incarnation int64) MergeResult {
	known := r.byID[id]
	if known == nil || incarnation > known.Incarnation {
		return r.Merge(receivedAt, Report{ID: id, Incarnation: incarnation, State: Gone})
	}
	if known.State == Gone || incarnation != 0 && incarnation < known.Incarnation {
		return Stale
	}
	return r.endKnown(receivedAt, known)
}

// endKnown marks the known process of a target as Gone, unless it has reported after
// that.
func (r *Roster) endKnown(receivedAt time.Time, known *Record) MergeResult {
	if known.State == Gone || known.ReceivedAt.After(receivedAt) {
		return Stale
	}
	next := *known
	next.State = Gone
	next.ReceivedAt = receivedAt
	r.byID[next.ID] = &next
	if r.byAddr[next.Addr] == known {
		r.byAddr[next.Addr] = &next
	}
	return Changed
}

// Get returns the record of a target, or nil. It must not be changed.
func (r *Roster) Get(id string) *Record { return r.byID[id] }

// Holder returns the record of the target at an address, or nil. It must not be
// changed.
func (r *Roster) Holder(addr string) *Record { return r.byAddr[addr] }

// Expire removes and returns the targets whose last report arrived before oldest.
func (r *Roster) Expire(oldest time.Time) []*Record {
	var expired []*Record
	for id, record := range r.byID {
		if record.ReceivedAt.Before(oldest) {
			expired = append(expired, record)
			delete(r.byID, id)
			if r.byAddr[record.Addr] == record {
				delete(r.byAddr, record.Addr)
			}
		}
	}
	r.expireLeaving(oldest)
	return expired
}

// All returns all records, sorted by id. They must not be changed.
func (r *Roster) All() []*Record {
	all := make([]*Record, 0, len(r.byID))
	for _, record := range r.byID {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
