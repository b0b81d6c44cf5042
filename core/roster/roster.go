// Package roster keeps what the targets of a fleet say of themselves: which
// process of a target is the current one, which report is the newest, and
// which targets take requests. It reads no clock and does no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// State is what a target last said of itself.
type State uint8

// The states of a target.
const (
	Ready    State = iota + 1
	Draining       // finishes what it has and takes nothing new
	Gone           // has left for good
)

// String returns the name of the state as it stands in logs.
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

// Report is one report of a target about itself.
type Report struct {
	ID         string        `msgpack:"i"`
	Born       int64         `msgpack:"b"` // start of the process, Unix milliseconds of the target's clock
	Sequence   uint64        `msgpack:"q"` // rises with each report of one process
	Service    string        `msgpack:"s"`
	Addr       string        `msgpack:"a"` // ip:port
	DataCentre string        `msgpack:"d"`
	Version    string        `msgpack:"v"` // of the target's software
	Slots      int           `msgpack:"n"` // requests that it runs at once
	State      State         `msgpack:"t"`
	ColdFor    time.Duration `msgpack:"c"` // how much longer it is cold, at the time of the report
}

// Record is the newest report of a target.
type Record struct {
	Report
	Heard     time.Time // when the report arrived here, or as much earlier as it had waited elsewhere
	ColdUntil time.Time // zero: warm
}

// Verdict tells what became of a report.
type Verdict uint8

// The verdicts.
const (
	Stale   Verdict = iota // older than what is known
	Renewed                // newer, and nothing but its time has changed
	Changed                // newer, and the request path must know
)

// Roster is the set of known targets. It is not safe for concurrent use.
type Roster struct {
	byID   map[string]*Record
	byAddr map[string]*Record
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{byID: make(map[string]*Record), byAddr: make(map[string]*Record)}
}

// Merge takes a report that arrived at heard.
//
// An id may start again, which a later birth tells. An address may pass to
// another target: the one born later holds it, and a report of the other, held
// up on its way, is stale.
func (r *Roster) Merge(heard time.Time, report Report) Verdict {
	known := r.byID[report.ID]
	if known != nil && !supersedes(&report, known) {
		return Stale
	}
	if holder := r.byAddr[report.Addr]; holder != nil && holder.ID != report.ID && report.Addr != "" {
		if holder.State != Gone && holder.Born > report.Born {
			return Stale
		}
		delete(r.byID, holder.ID)
	}
	next := &Record{Report: report, Heard: heard}
	if report.ColdFor > 0 {
		next.ColdUntil = heard.Add(report.ColdFor)
	}
	verdict := Changed
	if known != nil {
		if known.Born == report.Born {
			verdict = compare(known, next)
		}
		if known.Addr != report.Addr && r.byAddr[known.Addr] == known {
			delete(r.byAddr, known.Addr)
		}
	}
	r.byID[report.ID] = next
	r.byAddr[report.Addr] = next
	return verdict
}

// supersedes reports whether a report is newer than what is known of its id.
// A process that has gone stays gone.
func supersedes(report *Report, known *Record) bool {
	if report.Born != known.Born {
		return report.Born > known.Born
	}
	if known.State == Gone {
		return false
	}
	return report.Sequence > known.Sequence || report.State == Gone
}

func compare(known, next *Record) Verdict {
	same := known.State == next.State && known.Addr == next.Addr && known.Service == next.Service &&
		known.Slots == next.Slots && (known.ColdFor > 0) == (next.ColdFor > 0)
	if same {
		return Renewed
	}
	return Changed
}

// Leave notes that a process of a target has left. Born is 0 when the target
// did not say which process that was: it is then the one that is known. An
// unknown id is kept as one that has gone, since others may know more of it.
func (r *Roster) Leave(heard time.Time, id string, born int64) Verdict {
	known := r.byID[id]
	if known == nil || born > known.Born {
		if born == 0 {
			return Stale
		}
		return r.Merge(heard, Report{ID: id, Born: born, State: Gone})
	}
	if known.State == Gone || born != 0 && born < known.Born {
		return Stale
	}
	next := *known
	next.State = Gone
	next.Heard = heard
	r.byID[id] = &next
	if r.byAddr[next.Addr] == known {
		r.byAddr[next.Addr] = &next
	}
	return Changed
}

// Get returns the record of a target, or nil. It must not be changed.
func (r *Roster) Get(id string) *Record { return r.byID[id] }

// Expire forgets targets that have been silent since before oldest, and
// returns them.
func (r *Roster) Expire(oldest time.Time) []*Record {
	var expired []*Record
	for id, record := range r.byID {
		if record.Heard.Before(oldest) {
			expired = append(expired, record)
			delete(r.byID, id)
			if r.byAddr[record.Addr] == record {
				delete(r.byAddr, record.Addr)
			}
		}
	}
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
