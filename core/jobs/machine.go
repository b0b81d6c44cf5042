package jobs

import (
	"slices"

	"banyanwalk/core/outcome"
	"banyanwalk/core/streams"
)

// Machine is the state machine that applies the commands of the log in order.
// It is not safe for concurrent use.
type Machine struct {
	jobs    map[string]*Job
	order   []*Job // in the order of acceptance
	streams *streams.Table
}

// NewMachine returns an empty machine.
func NewMachine() *Machine {
	return &Machine{jobs: make(map[string]*Job), streams: streams.NewTable()}
}

// Streams returns where callers' streams began. The caller must not modify it.
func (m *Machine) Streams() *streams.Table { return m.streams }

// Job returns a job by its id, or nil. The caller must not modify it.
func (m *Machine) Job(id string) *Job { return m.jobs[id] }

// Jobs returns all jobs in the order of acceptance. The caller must not modify
// them or keep them beyond the next command.
func (m *Machine) Jobs() []*Job { return m.order }

// Apply executes one command.
func (m *Machine) Apply(c Command) ApplyResult {
	switch {
	case c.Submit != nil:
		return m.submit(c.Submit)
	case len(c.Finish) > 0:
		m.finish(c.Finish)
	case len(c.Failed) > 0:
		m.fail(c.Failed)
	case len(c.Save) > 0:
		m.save(c.Save)
	case c.End != nil:
		return m.end(c.End)
	case len(c.Drop) > 0:
		m.drop(c.Drop)
	case c.Streams != nil:
		m.streams.Apply(c.Streams)
	}
	return ApplyResult{}
}

// submit accepts a job once. A resend gets an empty result without an error.
func (m *Machine) submit(s *Spec) ApplyResult {
	if known := m.jobs[s.ID]; known != nil {
		if !known.IsOpenTo(s.Workspace) {
			return ApplyResult{Error: outcome.New(outcome.IdempotencyMismatch, outcome.NotRun, "job %q belongs to another workspace", s.ID)}
		}
		return ApplyResult{}
	}
	if s.MaxQueued > 0 {
		waiting := m.OpenTokens(s.Workspace, s.Route)
		if waiting+sumTokens(s.Items) > s.MaxQueued {
			return ApplyResult{Error: outcome.New(outcome.RateLimited, outcome.NotRun,
				"%d tokens wait and %d more are over the limit of %d", waiting, sumTokens(s.Items), s.MaxQueued)}
		}
	}
	job := &Job{Spec: *s, HasResult: make([]bool, len(s.Items)), Failures: make([]int, len(s.Items))}
	m.jobs[s.ID] = job
	m.order = append(m.order, job)
	return ApplyResult{New: job}
}

// Archive clears the result texts of a job whose results are final. It is not
// a replicated command: each host calls it once it has stored the texts
// elsewhere.
func (m *Machine) Archive(id string) {
	job := m.jobs[id]
	if job == nil || job.Unfinished() {
		return
	}
	job.Archived = true
	for i := range job.Results {
		job.Results[i].Text = ""
	}
}

// RestoreTexts copies the result texts of jobs that are archived in this machine
// from another machine that still holds them.
func (m *Machine) RestoreTexts(other *Machine) {
	for id, job := range m.jobs {
		source := other.jobs[id]
		if !job.Archived || source == nil || source.Archived || len(source.Results) != len(job.Results) {
			continue
		}
		job.Archived = false
		for i := range job.Results {
			job.Results[i].Text = source.Results[i].Text
		}
	}
}

// OpenTokens returns the total tokens of a workspace's open items on a route.
func (m *Machine) OpenTokens(workspace, route string) int64 {
	total := int64(0)
	for _, job := range m.jobs {
		if job.Workspace == workspace && job.Route == route {
			total += job.openTokens()
		}
	}
	return total
}

// OpenBytes returns the bytes of the bodies of all open items.
func (m *Machine) OpenBytes() int64 {
	total := int64(0)
	for _, job := range m.order {
		if !job.Unfinished() {
			continue
		}
		for i := range job.Items {
			if job.Open(i) {
				total += int64(len(job.Items[i].Body))
			}
		}
	}
	return total
}

// Bytes returns the bytes of the bodies of the job's items.
func (s *Spec) Bytes() int64 {
	total := int64(0)
	for i := range s.Items {
		total += int64(len(s.Items[i].Body))
	}
	return total
}

func sumTokens(items []Item) int64 {
	sum := int64(0)
	for i := range items {
		sum += items[i].Tokens
	}
	return sum
}

// finish records results. The first result of an item wins; later ones are
// ignored.
func (m *Machine) finish(results []Finished) {
	for _, f := range results {
		job := m.jobs[f.Job]
		if job == nil || f.Item < 0 || f.Item >= len(job.Items) || !job.Open(f.Item) {
			continue
		}
		job.HasResult[f.Item] = true
		delete(job.Partial, f.Item)
		job.Items[f.Item].Body = nil
		job.Items[f.Item].Headers = nil
		job.Results = append(job.Results, Result{Item: f.Item, State: f.State, Text: f.Text})
	}
}

func (m *Machine) fail(items []ItemRef) {
	for _, ref := range items {
		if job := m.jobs[ref.Job]; job != nil && ref.Item >= 0 && ref.Item < len(job.Items) {
			job.Failures[ref.Item]++
		}
	}
}

// save appends progress to the saved output of items. Progress that does not
// continue the saved output of its writer, or of the one that this went on from, comes
// from another run of the item and is ignored. A text that begins again replaces it.
func (m *Machine) save(parts []Progress) {
	for _, p := range parts {
		job := m.jobs[p.Job]
		if job == nil || p.Item < 0 || p.Item >= len(job.Items) || !job.Open(p.Item) {
			continue
		}
		kept := job.Partial[p.Item]
		if p.From == 0 && p.Writer != kept.Writer {
			kept = Partial{}
		}
		goesOn := p.Writer == kept.Writer || p.Former != 0 && p.Former == kept.Writer
		if kept.Last != p.From || p.From > 0 && !goesOn {
			continue
		}
		if job.Partial == nil {
			job.Partial = make(map[int]Partial)
		}
		job.Partial[p.Item] = Partial{Text: kept.Text + p.Text, Last: p.Last, Origin: p.Origin, Writer: p.Writer}
	}
}

func (m *Machine) end(e *EndJob) ApplyResult {
	job := m.jobs[e.Job]
	if job == nil || !job.IsOpenTo(e.Workspace) {
		return ApplyResult{Error: outcome.New(outcome.JobNotFound, outcome.NotRun, "no job %q", e.Job)}
	}
	if !job.Ended {
		job.Ended = true
		job.Partial = nil
		for i := range job.Items {
			job.Items[i].Body = nil
		}
	}
	return ApplyResult{}
}

func (m *Machine) drop(ids []string) {
	for _, id := range ids {
		delete(m.jobs, id)
	}
	m.order = slices.DeleteFunc(m.order, func(job *Job) bool { return m.jobs[job.ID] == nil })
}

// Snapshot is the complete state of a Machine.
type Snapshot struct {
	Jobs    []*Job           `msgpack:"j"` // in the order of acceptance
	Streams streams.Snapshot `msgpack:"s"`
}

// Snapshot returns the complete state. It shares its jobs with the machine.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{Jobs: slices.Clone(m.order), Streams: m.streams.Snapshot()}
}

// Restore returns a machine with the state of a snapshot, whose jobs it shares.
func Restore(s Snapshot) *Machine {
	m := NewMachine()
	m.order = slices.Clone(s.Jobs)
	m.streams = streams.Restore(s.Streams)
	for _, job := range s.Jobs {
		m.jobs[job.ID] = job
	}
	return m
}
