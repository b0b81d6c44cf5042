package batch

import "math"

// File returns a file of a workspace.
func (m *Machine) File(workspaceName, id string) (*File, error) {
	f, ok := m.files[id]
	if !ok || f.Workspace != workspaceName {
		return nil, fileNotFound(id)
	}
	return f, nil
}

// Files returns up to limit files of a workspace, newest first. They are older
// than the file with the id after; "" starts with the newest.
func (m *Machine) Files(workspaceName, after string, limit int) (files []*File, more bool, err error) {
	w, ok := m.workspaces[workspaceName]
	if !ok {
		return nil, false, nil
	}
	below := uint64(math.MaxUint64)
	if after != "" {
		f, ok := m.files[after]
		if !ok || f.Workspace != workspaceName {
			return nil, false, fileNotFound(after)
		}
		below = f.Seq
	}
	w.files.DescendLessOrEqual(&File{Seq: below - 1}, func(f *File) bool {
		if len(files) == limit {
			more = true
			return false
		}
		files = append(files, f)
		return true
	})
	return files, more, nil
}

// Job returns a job of a workspace.
func (m *Machine) Job(workspaceName, id string) (*Job, error) {
	j, ok := m.jobs[id]
	if !ok || j.Workspace != workspaceName {
		return nil, jobNotFound(id)
	}
	return j.snapshot(), nil
}

// Jobs returns up to limit jobs of a workspace, newest first. They are older
// than the job with the id after; "" starts with the newest.
func (m *Machine) Jobs(workspaceName, after string, limit int) (jobs []*Job, more bool, err error) {
	w, ok := m.workspaces[workspaceName]
	if !ok {
		return nil, false, nil
	}
	below := uint64(math.MaxUint64)
	if after != "" {
		j, ok := m.jobs[after]
		if !ok || j.Workspace != workspaceName {
			return nil, false, jobNotFound(after)
		}
		below = j.Seq
	}
	pivot := &job{Job: Job{Seq: below - 1}}
	w.jobs.DescendLessOrEqual(pivot, func(j *job) bool {
		if len(jobs) == limit {
			more = true
			return false
		}
		jobs = append(jobs, j.snapshot())
		return true
	})
	return jobs, more, nil
}

// HasQueued reports whether any item for one of the models is queued.
func (m *Machine) HasQueued(models []string) bool {
	for _, model := range models {
		if _, ok := m.schedulers[model]; ok {
			return true
		}
	}
	return false
}

// Weight returns the scheduling weight of a workspace in this group.
func (m *Machine) Weight(workspaceName string) int {
	if w, ok := m.workspaces[workspaceName]; ok {
		return w.weight
	}
	return 1
}

// Workspaces calls yield with the weight of each workspace, in no order.
func (m *Machine) Workspaces(yield func(name string, weight int)) {
	for name, w := range m.workspaces {
		yield(name, w.weight)
	}
}

// NeedsTick reports whether at nowMS a lease, the due time of a job or a retention
// time may have run out. Agents that are idle for too long do not count.
func (m *Machine) NeedsTick(nowMS int64) bool {
	if len(m.expiry) > 0 && m.expiry[0].deadline <= nowMS {
		return true
	}
	if j, ok := m.due.Min(); ok && j.DueMS <= nowMS {
		return true
	}
	if f, ok := m.byAge.Min(); ok && f.CreatedMS+RetentionMS <= nowMS {
		return true
	}
	j, ok := m.ended.Min()
	return ok && j.EndedMS+RetentionMS <= nowMS
}

// ReferencedRecords calls yield with each payload record that the state
// references. A record referenced several times is passed several times.
func (m *Machine) ReferencedRecords(yield func(Ref)) {
	for _, f := range m.files {
		for _, ref := range f.Chunks {
			yield(ref)
		}
	}
	for _, j := range m.jobs {
		for _, ref := range j.input {
			yield(ref)
		}
		for _, ref := range j.records {
			yield(ref)
		}
		for _, p := range j.progress {
			yield(p.Record)
		}
	}
}

// Load is the amount of open work in the group.
type Load struct {
	Jobs   int // jobs that have not ended
	Queued int // queued items
	Leased int // leased items
}

// Load returns the open work of the group.
func (m *Machine) Load() Load {
	l := Load{Jobs: m.due.Len() + m.settled.Len()}
	m.due.Ascend(func(j *job) bool {
		l.Queued += j.Counts.Queued
		l.Leased += j.Counts.Leased
		return true
	})
	return l
}

// CheckLeases returns the attempts of an agent that must stop, and whether a
// valid lease ends before soonMS and must be extended by RenewItems.
func (m *Machine) CheckLeases(agentName string, items []ItemID, soonMS int64) (stopped []StoppedItem, renew bool) {
	for _, id := range items {
		l, code := m.findLease(agentName, id)
		if code != 0 {
			stopped = append(stopped, StoppedItem{ID: id, Code: code})
			continue
		}
		renew = renew || l.deadline < soonMS
	}
	return stopped, renew
}

// KnowsRequest reports whether a LeaseItems request was processed before, or
// comes from another incarnation of a known agent than the one on record.
func (m *Machine) KnowsRequest(agentName string, incarnation, request uint64) bool {
	a, ok := m.agents[agentName]
	return ok && (a.incarnation != incarnation || a.request == request)
}
