package fleet

import (
	"slices"

	"banyanwalk/core/bundle"
	"banyanwalk/core/quarantine"
)

// State is the encodable snapshot of a Machine. Equal machines have equal
// snapshots, element by element.
type State struct {
	Revision            uint64             `msgpack:"r"`
	Floor               uint64             `msgpack:"f"`
	Signed              *bundle.Signed     `msgpack:"b"`
	BundleRevision      uint64             `msgpack:"br"`
	History             []HistoryEntry     `msgpack:"h"`
	Marks               Marks              `msgpack:"m"`
	MarksRevision       uint64             `msgpack:"mr"`
	Targets             []Target           `msgpack:"t"`
	Agents              []agentState       `msgpack:"a"`
	Removed             []tombstone        `msgpack:"x"`
	Requests            []completedRequest `msgpack:"q"`
	quarantine.Snapshot `msgpack:",inline"`
}

type agentState struct {
	Name   string      `msgpack:"n"`
	Record agentRecord `msgpack:"r"`
}

// State returns a snapshot of the machine.
func (m *Machine) State() State {
	s := State{
		Revision:       m.revision,
		Floor:          m.minDeltaRevision,
		Signed:         m.signed,
		BundleRevision: m.bundleRevision,
		History:        slices.Clone(m.history),
		Marks:          m.Marks(),
		MarksRevision:  m.marksRevision,
		Targets:        m.Targets(),
		Removed:        slices.Clone(m.removed),
		Requests:       m.requests.list(),
		Snapshot:       m.verdicts.Snapshot(),
	}
	for _, ref := range m.Agents() {
		s.Agents = append(s.Agents, agentState{Name: ref.Agent, Record: m.agents[ref.Agent]})
	}
	return s
}

// FromState restores a machine from a snapshot.
func FromState(s State) *Machine {
	m := NewMachine()
	m.revision, m.minDeltaRevision = s.Revision, s.Floor
	m.signed, m.bundleRevision = s.Signed, s.BundleRevision
	m.history = slices.Clone(s.History)
	m.marksRevision = s.MarksRevision
	m.dataCentresOut = toSet(s.Marks.DataCentresOut)
	m.targetsOut = toSet(s.Marks.TargetsOut)
	for _, t := range s.Targets {
		m.targets[t.ID] = t
	}
	for _, a := range s.Agents {
		m.agents[a.Name] = a.Record
	}
	m.removed = slices.Clone(s.Removed)
	for _, a := range s.Requests {
		m.requests.record(a)
	}
	m.verdicts = quarantine.Restore(s.Snapshot)
	return m
}

// UpdateSince returns the changes after a subscriber's revision. The update is
// full for revision 0 and for a revision older than the dropped tombstones,
// since a delta could then miss a removal. The caller must not modify it.
func (m *Machine) UpdateSince(revision uint64) Update {
	if revision >= m.revision && revision > 0 {
		return Update{Revision: m.revision}
	}
	if revision == 0 || revision < m.minDeltaRevision {
		return m.fullUpdate()
	}
	u := Update{Revision: m.revision, Verdicts: m.verdicts.ChangedSince(revision)}
	if m.bundleRevision > revision {
		u.Bundle = m.signed
	}
	if m.marksRevision > revision {
		marks := m.Marks()
		u.Marks = &marks
	}
	for _, t := range m.Targets() {
		if t.Revision > revision {
			u.Targets = append(u.Targets, t)
		}
	}
	for _, tombstone := range m.removed {
		if _, registered := m.targets[tombstone.Target]; tombstone.Revision > revision && !registered {
			u.Removed = append(u.Removed, tombstone.Target)
		}
	}
	return u
}

func (m *Machine) fullUpdate() Update {
	marks := m.Marks()
	return Update{
		Revision: m.revision,
		Full:     true,
		Bundle:   m.signed,
		Marks:    &marks,
		Targets:  m.Targets(),
		Verdicts: m.Verdicts(),
	}
}
