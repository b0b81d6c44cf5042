// Package catalog is the replicated state of the control group of a site: the
// routing document in force, the data centres that are out of service, and
// the hosts that store jobs. It is a deterministic state machine without I/O.
package catalog

import (
	"bytes"
	"slices"

	"banyanwalk/core/outcome"
)

// Command is one entry of the control group's log. Exactly one pointer is set.
type Command struct {
	Put    *PutDocument  `msgpack:"p,omitempty"`
	Centre *SetCentre    `msgpack:"z,omitempty"`
	Found  *FoundStorage `msgpack:"f,omitempty"`
	Retire *RetireHost   `msgpack:"r,omitempty"`
}

// PutDocument puts a routing document in force if its version is the highest.
// The proposer has checked it.
type PutDocument struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"` // canonical encoding of the whole document
}

// SetCentre takes a data centre out of service or back.
type SetCentre struct {
	DataCentre string `msgpack:"n"`
	Out        bool   `msgpack:"o"`
}

// FoundStorage names the replicas that form the job group. The first one wins.
type FoundStorage struct {
	Hosts []uint64 `msgpack:"h"` // replica ids, sorted
}

// RetireHost marks a storage host as one to be emptied, or as empty.
type RetireHost struct {
	Host uint64 `msgpack:"h"`
	Name string `msgpack:"n"`
	Done bool   `msgpack:"d"`
}

// Retirement is the state of a storage host that is being emptied.
type Retirement struct {
	Host uint64 `msgpack:"h"`
	Name string `msgpack:"n"`
	Done bool   `msgpack:"d"`
}

// State is the whole replicated state.
type State struct {
	Revision uint64       `msgpack:"r"` // log index of the last change
	Version  uint64       `msgpack:"v"` // of the document; 0: none yet
	Body     []byte       `msgpack:"b"`
	Out      []string     `msgpack:"o"` // data centres out of service, sorted
	Founders []uint64     `msgpack:"f"` // of the job group; empty: not founded
	Retired  []Retirement `msgpack:"t"`
}

// IsOut reports whether a data centre is out of service.
func (s *State) IsOut(dataCentre string) bool { return slices.Contains(s.Out, dataCentre) }

// Retirement returns the retirement of a storage host by its name.
func (s *State) Retirement(name string) (Retirement, bool) {
	for _, r := range s.Retired {
		if r.Name == name {
			return r, true
		}
	}
	return Retirement{}, false
}

// Result answers a command.
type Result struct {
	Changed bool
	Error   *outcome.Error // the command was refused
}

// Machine applies commands in the order of the log. It is not safe for
// concurrent use. Each change replaces the state, so that a state which was
// handed out stays as it is.
type Machine struct {
	state *State
}

// New returns the machine before the first command.
func New() *Machine { return &Machine{state: &State{}} }

// Restore returns the machine with a given state.
func Restore(s State) *Machine { return &Machine{state: &s} }

// State returns the current state, which must not be changed.
func (m *Machine) State() *State { return m.state }

// Apply executes the command at a log index.
func (m *Machine) Apply(index uint64, c Command) Result {
	next := *m.state
	result := next.execute(c)
	if result.Changed {
		next.Revision = index
		m.state = &next
	}
	return result
}

func (s *State) execute(c Command) Result {
	switch {
	case c.Put != nil:
		return s.put(c.Put)
	case c.Centre != nil:
		return s.setCentre(c.Centre)
	case c.Found != nil:
		return s.found(c.Found)
	case c.Retire != nil:
		return s.retire(c.Retire)
	default:
		return Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "empty command")}
	}
}

// put keeps the highest version. An older one was overtaken and changes
// nothing; other content under the version in force is refused.
func (s *State) put(p *PutDocument) Result {
	switch {
	case p.Version < s.Version:
		return Result{}
	case p.Version == s.Version && bytes.Equal(p.Body, s.Body):
		return Result{}
	case p.Version == s.Version:
		return Result{Error: outcome.New(outcome.BundleConflict, outcome.NotRun, "version %d is in force with other content", p.Version)}
	}
	s.Version = p.Version
	s.Body = p.Body
	return Result{Changed: true}
}

func (s *State) setCentre(c *SetCentre) Result {
	at, found := slices.BinarySearch(s.Out, c.DataCentre)
	if found == c.Out {
		return Result{}
	}
	out := slices.Clone(s.Out)
	if c.Out {
		s.Out = slices.Insert(out, at, c.DataCentre)
	} else {
		s.Out = slices.Delete(out, at, at+1)
	}
	return Result{Changed: true}
}

func (s *State) found(f *FoundStorage) Result {
	if len(s.Founders) > 0 || len(f.Hosts) == 0 {
		return Result{}
	}
	s.Founders = slices.Clone(f.Hosts)
	return Result{Changed: true}
}

// retire notes the retirement of a host. One that is done stays done.
func (s *State) retire(r *RetireHost) Result {
	retired := slices.Clone(s.Retired)
	at := slices.IndexFunc(retired, func(known Retirement) bool { return known.Host == r.Host })
	switch {
	case at < 0:
		retired = append(retired, Retirement{Host: r.Host, Name: r.Name, Done: r.Done})
	case retired[at].Done || !r.Done:
		return Result{}
	default:
		retired[at].Done = true
	}
	s.Retired = retired
	return Result{Changed: true}
}
