// Package catalog is the replicated state machine of a site's control group. It
// holds the routing document in force, the data centres that are out of
// service, the hosts that store jobs, the verdicts on requests that crash
// targets, the processes of targets that leave and the rollouts of software versions. It is deterministic and does no I/O.
package catalog

import (
	"bytes"
	"slices"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/rollout"
)

// Command is one entry of the control group's log. Exactly one field is set.
type Command struct {
	Put        *PutDocument      `msgpack:"p,omitempty"`
	DataCentre *SetDataCentre    `msgpack:"z,omitempty"`
	Bootstrap  *BootstrapStorage `msgpack:"f,omitempty"`
	Retire     *RetireHost       `msgpack:"r,omitempty"`
	Runs       *ReportRuns       `msgpack:"q,omitempty"`
	Expire     *ExpireVerdicts   `msgpack:"e,omitempty"`
	Trial      *BeginTrial       `msgpack:"y,omitempty"`
	Rollout    *rollout.Command  `msgpack:"o,omitempty"`
	Leaving    *MarkLeaving      `msgpack:"l,omitempty"`
}

// PutDocument puts a routing document in force if its version is higher than
// the current one. The proposer has validated the document.
type PutDocument struct {
	Version uint64 `msgpack:"v"`
	Body    []byte `msgpack:"b"` // canonical encoding of the document
}

// SetDataCentre takes a data centre out of service or returns it to service.
type SetDataCentre struct {
	DataCentre string `msgpack:"n"`
	Out        bool   `msgpack:"o"`
}

// BootstrapStorage sets the initial replicas of the job group. Only the first such
// command has an effect.
type BootstrapStorage struct {
	Hosts []uint64 `msgpack:"h"` // replica ids, sorted
}

// RetireHost marks a storage host as being decommissioned, or its
// decommissioning as done.
type RetireHost struct {
	Host uint64 `msgpack:"h"`
	Name string `msgpack:"n"`
	Done bool   `msgpack:"d"`
}

// ReportRuns reports how requests ended that may crash targets.
type ReportRuns struct {
	AtMS      int64            `msgpack:"a"`           // time of the proposer's group clock, milliseconds since 1970
	Crashes   []CrashReport    `msgpack:"c,omitempty"` // runs that ended with a crash
	Completed []quarantine.Ref `msgpack:"d,omitempty"` // suspects that ran to a complete response
	Ended     []EndedTrial     `msgpack:"e,omitempty"` // trials that showed nothing
}

// EndedTrial names a trial that ended without a crash or a complete response.
type EndedTrial struct {
	Ref    quarantine.Ref `msgpack:"r"`
	Holder string         `msgpack:"h"`
}

// CrashReport names the runs that ended with one crash.
type CrashReport struct {
	Crash quarantine.Crash `msgpack:"c"`
	Runs  []quarantine.Run `msgpack:"r"`
}

// ExpireVerdicts applies the times to live of verdicts.
type ExpireVerdicts struct {
	AtMS int64 `msgpack:"a"` // time of the proposer's group clock, milliseconds since 1970
}

// BeginTrial asks for the only run of a suspect.
type BeginTrial struct {
	AtMS  int64            `msgpack:"a"` // time of the proposer's group clock, milliseconds since 1970
	Ref   quarantine.Ref   `msgpack:"r"`
	Trial quarantine.Trial `msgpack:"t"`
	// AtOnce is how many trials of the service may be under way.
	AtOnce int `msgpack:"n"`
}

// AtMS returns the time of a command that carries one, else 0, in milliseconds
// since 1970.
func (c *Command) AtMS() int64 {
	switch {
	case c.Runs != nil:
		return c.Runs.AtMS
	case c.Expire != nil:
		return c.Expire.AtMS
	case c.Trial != nil:
		return c.Trial.AtMS
	case c.Rollout != nil:
		return c.Rollout.AtMS()
	case c.Leaving != nil:
		return c.Leaving.AtMS
	default:
		return 0
	}
}

// Retirement is the state of a storage host that is being decommissioned: its
// data moves to other hosts.
type Retirement struct {
	Host uint64 `msgpack:"h"`
	Name string `msgpack:"n"`
	Done bool   `msgpack:"d"`
}

// State is the complete replicated state.
type State struct {
	Revision       uint64       `msgpack:"r"` // log index of the last change
	Version        uint64       `msgpack:"v"` // of the document; 0: there is none yet
	Body           []byte       `msgpack:"b"`
	DataCentresOut []string     `msgpack:"o"` // sorted
	InitialHosts   []uint64     `msgpack:"f"` // initial replicas of the job group; empty: the group does not exist yet
	Retired        []Retirement `msgpack:"t"`
	// Rollouts holds the newest rollout of each service, sorted by service. Grants and
	// counts, which change several times a second, don't change Revision: followers would
	// get the whole catalog each time.
	Rollouts []rollout.Rollout `msgpack:"w,omitempty"`
}

// IsOut reports whether a data centre is out of service.
func (s *State) IsOut(dataCentre string) bool { return slices.Contains(s.DataCentresOut, dataCentre) }

// Retirement returns the retirement of a storage host by its name.
func (s *State) Retirement(name string) (Retirement, bool) {
	for _, r := range s.Retired {
		if r.Name == name {
			return r, true
		}
	}
	return Retirement{}, false
}

// Result is the result of a command.
type Result struct {
	Changed         bool           // the State has changed
	VerdictsChanged bool           // the verdicts have changed
	LeavingChanged  bool           // a process of a target was recorded that leaves
	CountsChanged   bool           // grants or counts of a rollout have changed, and nothing else
	TrialAllowed    bool           // result of BeginTrial
	TrialCrashes    int            // known crashes of its subject
	Error           *outcome.Error // set if the command was rejected
}

// Machine applies commands in log order. It is not safe for concurrent use.
// Each change replaces the state (copy on write), so readers may keep a state
// that State returned.
//
// The verdicts and the processes that leave are not part of State, which followers get
// as a whole.
type Machine struct {
	state    *State
	verdicts *quarantine.Verdicts
	leaving  leavingProcesses
}

// New returns a machine with an empty state.
func New() *Machine {
	return &Machine{state: &State{}, verdicts: quarantine.NewVerdicts(), leaving: leavingProcesses{}}
}

// Snapshot is the complete state of a machine. Snapshots of earlier builds have no
// verdicts, or no processes that leave.
type Snapshot struct {
	State    `msgpack:",inline"`
	Verdicts quarantine.Snapshot `msgpack:"q"`
	Leaving  []LeavingProcess    `msgpack:"l,omitempty"` // sorted by target and incarnation
}

// Snapshot returns the complete state.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{State: *m.state, Verdicts: m.verdicts.Snapshot(), Leaving: m.leaving.since(0)}
}

// Restore returns a machine with the state of a snapshot.
func Restore(s Snapshot) *Machine {
	m := &Machine{state: &s.State, verdicts: quarantine.Restore(s.Verdicts), leaving: leavingProcesses{}}
	for _, process := range s.Leaving {
		m.leaving[process.Leaving] = process
	}
	return m
}

// Verdicts returns the verdicts on requests that may crash targets.
func (m *Machine) Verdicts() *quarantine.Verdicts { return m.verdicts }

// State returns the current state. The caller must not modify it.
func (m *Machine) State() *State { return m.state }

// Apply executes the command at the given log index.
func (m *Machine) Apply(index uint64, c Command) Result {
	switch {
	case c.Runs != nil:
		return Result{VerdictsChanged: m.recordRuns(index, c.Runs)}
	case c.Expire != nil:
		return Result{VerdictsChanged: m.verdicts.Expire(index, c.Expire.AtMS)}
	case c.Trial != nil:
		trial := m.verdicts.BeginTrial(index, c.Trial.Ref, c.Trial.Trial, c.Trial.AtOnce, c.Trial.AtMS)
		return Result{VerdictsChanged: trial.Changed, TrialAllowed: trial.Allowed, TrialCrashes: trial.Crashes}
	case c.Leaving != nil:
		return Result{LeavingChanged: m.leaving.mark(index, c.Leaving)}
	}
	next := *m.state
	result := next.execute(c)
	if result.Changed {
		next.Revision = index
	}
	if result.Changed || result.CountsChanged {
		m.state = &next
	}
	return result
}

func (m *Machine) recordRuns(index uint64, r *ReportRuns) bool {
	change := false
	for _, report := range r.Crashes {
		if m.verdicts.RecordRuns(index, report.Crash, report.Runs, r.AtMS) {
			change = true
		}
	}
	for _, ended := range r.Ended {
		if m.verdicts.EndTrial(index, ended.Ref, ended.Holder) {
			change = true
		}
	}
	// Most suspects complete on their next target, within the same report.
	return m.verdicts.Complete(index, r.Completed) || change
}

func (s *State) execute(c Command) Result {
	switch {
	case c.Put != nil:
		return s.putDocument(c.Put)
	case c.DataCentre != nil:
		return s.setDataCentre(c.DataCentre)
	case c.Bootstrap != nil:
		return s.bootstrapStorage(c.Bootstrap)
	case c.Retire != nil:
		return s.retire(c.Retire)
	case c.Rollout != nil:
		return s.changeRollout(c.Rollout)
	default:
		return Result{Error: outcome.New(outcome.Internal, outcome.NotRun, "empty command")}
	}
}

// putDocument keeps the document with the highest version. An older version or
// a resend changes nothing; other content under the current version is an
// error.
func (s *State) putDocument(p *PutDocument) Result {
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

func (s *State) setDataCentre(c *SetDataCentre) Result {
	at, found := slices.BinarySearch(s.DataCentresOut, c.DataCentre)
	if found == c.Out {
		return Result{}
	}
	out := slices.Clone(s.DataCentresOut)
	if c.Out {
		s.DataCentresOut = slices.Insert(out, at, c.DataCentre)
	} else {
		s.DataCentresOut = slices.Delete(out, at, at+1)
	}
	return Result{Changed: true}
}

func (s *State) bootstrapStorage(b *BootstrapStorage) Result {
	if len(s.InitialHosts) > 0 || len(b.Hosts) == 0 {
		return Result{}
	}
	s.InitialHosts = slices.Clone(b.Hosts)
	return Result{Changed: true}
}

// retire starts or completes the decommissioning of a host. Once completed, it
// cannot start again.
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

func (s *State) changeRollout(c *rollout.Command) Result {
	next, change, err := rollout.Apply(s.Rollouts, c)
	if err != nil {
		return Result{Error: err}
	}
	s.Rollouts = next
	return Result{Changed: change == rollout.PhaseChange, CountsChanged: change == rollout.CountsChange}
}
