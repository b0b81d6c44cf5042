package batch

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// State is the complete state of a Machine in a form that can be encoded.
type State struct {
	NowMS      int64            `msgpack:"n"`
	Seq        uint64           `msgpack:"s"`
	Files      []*File          `msgpack:"f"`
	Jobs       []JobState       `msgpack:"j"`
	Workspaces []WorkspaceState `msgpack:"w"`
	Schedulers []SchedulerState `msgpack:"l"`
	Agents     []AgentState     `msgpack:"a"`
	Leases     []LeaseState     `msgpack:"e"`
	Costs      []CostState      `msgpack:"c"`
}

// CostState is the mean slot time of a workspace's items on a model.
type CostState struct {
	Model     string `msgpack:"m"`
	Workspace string `msgpack:"w"` // "": all workspaces
	MS        int64  `msgpack:"t"` // milliseconds per item
}

// JobState is a job in a State.
type JobState struct {
	Job         Job             `msgpack:"j"`
	Key         string          `msgpack:"k"`
	MaxAttempts uint8           `msgpack:"a"`
	Input       []Ref           `msgpack:"n"`
	Templates   []Template      `msgpack:"t"`
	Items       []byte          `msgpack:"i"` // encoded by packItems
	Records     []Ref           `msgpack:"r"`
	LastRecord  uint32          `msgpack:"l"`
	Progress    []ProgressState `msgpack:"p"`
}

// ProgressState is the partial output of a preempted item.
type ProgressState struct {
	Item     uint32 `msgpack:"i"`
	Progress Slice  `msgpack:"p"`
}

// WorkspaceState is a workspace in a State.
type WorkspaceState struct {
	Name   string     `msgpack:"n"`
	Weight int        `msgpack:"w"`
	Keys   []KeyState `msgpack:"k"`
}

// KeyState is the Idempotency-Key under which a job was created.
type KeyState struct {
	Key    string `msgpack:"k"`
	Job    string `msgpack:"j"`
	Digest Digest `msgpack:"d"`
}

// SchedulerState is the state of the round robin scheduler of one model.
type SchedulerState struct {
	Model        string  `msgpack:"m"`
	Turn         int     `msgpack:"t"`
	QuantumAdded bool    `msgpack:"g"`
	Deficits     []int64 `msgpack:"d"` // milliseconds; one for each workspace with queued items, sorted by name
}

// AgentState is an agent in a State.
type AgentState struct {
	Name        string   `msgpack:"n"`
	Incarnation uint64   `msgpack:"i"`
	Request     uint64   `msgpack:"r"`
	Granted     []ItemID `msgpack:"g"`
	SeenMS      int64    `msgpack:"s"`
}

// LeaseState is a lease in a State.
type LeaseState struct {
	ID         ItemID `msgpack:"i"`
	Agent      string `msgpack:"a"`
	DeadlineMS int64  `msgpack:"d"`
	GrantedMS  int64  `msgpack:"g"`
	Charge     int64  `msgpack:"c"` // slot time, milliseconds
}

// State returns the complete state. Equal machines return equal states. The result
// shares memory with the machine and is valid until the next command.
func (m *Machine) State() State {
	s := State{NowMS: m.now, Seq: m.seq}
	s.Files = slices.SortedFunc(maps.Values(m.files), func(a, b *File) int { return cmp.Compare(a.Seq, b.Seq) })
	jobs := slices.SortedFunc(maps.Values(m.jobs), func(a, b *job) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, j := range jobs {
		s.Jobs = append(s.Jobs, j.state())
	}
	for _, name := range slices.Sorted(maps.Keys(m.workspaces)) {
		s.Workspaces = append(s.Workspaces, m.workspaces[name].state())
	}
	for _, model := range slices.Sorted(maps.Keys(m.schedulers)) {
		sched := m.schedulers[model]
		state := SchedulerState{Model: model, Turn: sched.turn, QuantumAdded: sched.quantumAdded}
		for _, sh := range sched.shares {
			state.Deficits = append(state.Deficits, sh.deficit)
		}
		s.Schedulers = append(s.Schedulers, state)
	}
	for _, name := range slices.Sorted(maps.Keys(m.agents)) {
		a := m.agents[name]
		s.Agents = append(s.Agents, AgentState{Name: name, Incarnation: a.incarnation, Request: a.request, Granted: a.granted, SeenMS: a.seenMS})
	}
	for _, k := range slices.SortedFunc(maps.Keys(m.leases), compareLeaseKeys) {
		l := m.leases[k]
		s.Leases = append(s.Leases, LeaseState{ID: l.id(), Agent: l.agent, DeadlineMS: l.deadline, GrantedMS: l.grantedAt, Charge: l.charge})
	}
	for _, k := range slices.SortedFunc(maps.Keys(m.costs), compareCostKeys) {
		s.Costs = append(s.Costs, CostState{Model: k.model, Workspace: k.workspace, MS: m.costs[k]})
	}
	return s
}

func (j *job) state() JobState {
	s := JobState{
		Job: j.Job, Key: j.key, MaxAttempts: j.maxAttempts, Input: j.input, Templates: j.templates,
		Items: packItems(j.items), Records: j.records, LastRecord: j.lastRecord,
	}
	for _, i := range slices.Sorted(maps.Keys(j.progress)) {
		s.Progress = append(s.Progress, ProgressState{Item: i, Progress: j.progress[i]})
	}
	return s
}

func (w *workspace) state() WorkspaceState {
	s := WorkspaceState{Name: w.name, Weight: w.weight}
	for _, key := range slices.Sorted(maps.Keys(w.keys)) {
		s.Keys = append(s.Keys, KeyState{Key: key, Job: w.keys[key].job, Digest: w.keys[key].digest})
	}
	return s
}

// Restore replaces the state of the machine by s.
func (m *Machine) Restore(s State) error {
	m.reset()
	m.now, m.seq = s.NowMS, s.Seq
	for _, ws := range s.Workspaces {
		w := m.workspaceOf(ws.Name)
		w.weight = ws.Weight
		for _, k := range ws.Keys {
			w.keys[k.Key] = jobKey{job: k.Job, digest: k.Digest}
		}
	}
	for _, c := range s.Costs {
		m.costs[costKey{model: c.Model, workspace: c.Workspace}] = c.MS
	}
	for _, f := range s.Files {
		m.indexFile(f)
	}
	for _, js := range s.Jobs {
		if err := m.restoreJob(js); err != nil {
			return err
		}
	}
	for _, a := range s.Agents {
		m.agents[a.Name] = &agent{incarnation: a.Incarnation, request: a.Request, granted: a.Granted, seenMS: a.SeenMS}
	}
	if err := m.restoreLeases(s.Leases); err != nil {
		return err
	}
	return m.restoreSchedulers(s.Schedulers)
}

func (m *Machine) restoreJob(s JobState) error {
	items, err := unpackItems(s.Items)
	if err != nil {
		return err
	}
	j := &job{
		Job: s.Job, key: s.Key, maxAttempts: s.MaxAttempts, input: s.Input, templates: s.Templates,
		items: items, records: s.Records, lastRecord: s.LastRecord,
	}
	j.initDerived()
	for _, p := range s.Progress {
		j.progress[p.Item] = p.Progress
	}
	m.jobs[j.ID] = j
	m.workspaceOf(j.Workspace).jobs.ReplaceOrInsert(j)
	switch {
	case j.Status.Ended():
		m.ended.ReplaceOrInsert(j)
	case j.SettledMS > 0:
		m.settled.ReplaceOrInsert(j)
	default:
		m.due.ReplaceOrInsert(j)
	}
	j.Counts.Queued = 0
	m.enqueueAll(j)
	return nil
}

func (m *Machine) restoreLeases(leases []LeaseState) error {
	for _, ls := range leases {
		j, ok := m.jobs[ls.ID.Job]
		if !ok || int(ls.ID.Item) >= len(j.items) {
			return errors.Newf("lease of unknown item %s/%d", ls.ID.Job, ls.ID.Item)
		}
		l := &lease{job: j, item: ls.ID.Item, attempt: ls.ID.Attempt, agent: ls.Agent, deadline: ls.DeadlineMS, grantedAt: ls.GrantedMS, charge: ls.Charge}
		m.leases[l.key()] = l
		heap.Push(&m.expiry, expiryEntry{deadline: l.deadline, key: l.key(), attempt: l.attempt})
		if a, ok := m.agents[l.agent]; ok {
			a.leases++
		}
	}
	return nil
}

func (m *Machine) restoreSchedulers(states []SchedulerState) error {
	for _, state := range states {
		sched := m.schedulerOf(state.Model)
		if len(state.Deficits) != len(sched.shares) || state.Turn >= max(1, len(sched.shares)) || state.Turn < 0 {
			return errors.Newf("scheduler state of model %s does not match its queued items", state.Model)
		}
		sched.turn, sched.quantumAdded = state.Turn, state.QuantumAdded
		for i, d := range state.Deficits {
			sched.shares[i].deficit = d
		}
	}
	return nil
}

// packItems encodes items as their count followed by the fields of each item,
// with numbers as varints and one byte each for template, state, failures and
// outcome. Offsets are relative to the end of the previous item.
func packItems(items []item) []byte {
	out := make([]byte, 0, len(items)*10)
	out = binary.AppendUvarint(out, uint64(len(items)))
	end := uint32(0)
	for i := range items {
		it := &items[i]
		out = binary.AppendUvarint(out, uint64(it.offset-end))
		out = binary.AppendUvarint(out, uint64(it.length))
		out = append(out, it.template, byte(it.state), it.failures, it.outcome)
		out = binary.AppendUvarint(out, uint64(it.attempt))
		out = binary.AppendUvarint(out, uint64(it.code))
		out = binary.AppendUvarint(out, uint64(it.record))
		if it.record != 0 {
			out = binary.AppendUvarint(out, uint64(it.resultOffset))
			out = binary.AppendUvarint(out, uint64(it.resultLength))
		}
		end = it.offset + it.length
	}
	return out
}

// itemReader decodes packed items. After a decoding error failed stays true.
type itemReader struct {
	data   []byte
	failed bool
}

func (r *itemReader) number() uint32 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return uint32(v)
}

func (r *itemReader) octet() uint8 {
	if len(r.data) == 0 {
		r.failed = true
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func unpackItems(data []byte) ([]item, error) {
	r := &itemReader{data: data}
	count := int(r.number())
	if count > len(data) {
		return nil, errors.New("item count exceeds the packed data")
	}
	items := make([]item, count)
	end := uint32(0)
	for i := range items {
		it := &items[i]
		it.offset = end + r.number()
		it.length = r.number()
		it.template, it.state, it.failures, it.outcome = r.octet(), ItemState(r.octet()), r.octet(), r.octet()
		it.attempt, it.code, it.record = r.number(), uint16(r.number()), r.number()
		if it.record != 0 {
			it.resultOffset, it.resultLength = r.number(), r.number()
		}
		end = it.offset + it.length
	}
	if r.failed || len(r.data) != 0 {
		return nil, errors.New("packed items are malformed or have trailing bytes")
	}
	return items, nil
}
