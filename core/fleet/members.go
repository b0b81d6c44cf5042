package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// AgentRef identifies one incarnation of an agent.
type AgentRef struct {
	Agent       string
	Incarnation uint64
}

// Agents returns all registered agents, sorted by name.
func (m *Machine) Agents() []AgentRef {
	refs := make([]AgentRef, 0, len(m.agents))
	for _, name := range slices.Sorted(maps.Keys(m.agents)) {
		refs = append(refs, AgentRef{Agent: name, Incarnation: m.agents[name].Incarnation})
	}
	return refs
}

// Targets returns all registered targets, sorted by ID.
func (m *Machine) Targets() []Target {
	list := slices.Collect(maps.Values(m.targets))
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Target finds a registered target.
func (m *Machine) Target(id TargetID) (Target, bool) {
	t, found := m.targets[id]
	return t, found
}

// Registered reports whether the agent is registered under this incarnation
// with exactly these targets; revisions are not compared.
func (m *Machine) Registered(agent string, incarnation uint64, targets []Target) bool {
	record, found := m.agents[agent]
	if !found || record.Incarnation != incarnation || len(record.Targets) != len(targets) {
		return false
	}
	for _, t := range targets {
		if !sameTarget(m.targets[t.ID], t) {
			return false
		}
	}
	return true
}

func sameTarget(a, b Target) bool {
	a.Revision, b.Revision = 0, 0
	return a == b
}

func (m *Machine) register(index uint64, r *RegisterTargets) Result {
	change := false
	ids := make([]TargetID, 0, len(r.Targets))
	for _, t := range r.Targets {
		ids = append(ids, t.ID)
		if known, found := m.targets[t.ID]; found && sameTarget(known, t) {
			continue
		}
		t.Revision = index
		m.targets[t.ID] = t
		change = true
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range m.agents[r.Agent].Targets {
		if _, kept := slices.BinarySearch(ids, id); !kept {
			m.remove(index, id)
			change = true
		}
	}
	m.agents[r.Agent] = agentRecord{Incarnation: r.Incarnation, Targets: ids}
	return m.recordChange(index, change)
}

func (m *Machine) expire(index uint64, e *ExpireAgent) Result {
	record, found := m.agents[e.Agent]
	if !found || record.Incarnation != e.Incarnation {
		return Result{Revision: m.revision}
	}
	for _, id := range record.Targets {
		m.remove(index, id)
	}
	delete(m.agents, e.Agent)
	return m.recordChange(index, len(record.Targets) > 0)
}

// remove deletes a target and keeps a tombstone, from which subscribers learn
// of the removal. The number of tombstones is bounded.
func (m *Machine) remove(index uint64, id TargetID) {
	delete(m.targets, id)
	m.removed = append(m.removed, tombstone{Target: id, Revision: index})
	if excess := len(m.removed) - maxTombstones; excess > 0 {
		m.minDeltaRevision = max(m.minDeltaRevision, m.removed[excess-1].Revision)
		m.removed = slices.Clone(m.removed[excess:])
	}
}
