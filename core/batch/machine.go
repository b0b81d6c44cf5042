package batch

import (
	"cmp"

	"github.com/google/btree"

	"banyanwalk/core/outcome"
)

const (
	btreeDegree = 32
	// RetentionMS is the time for which an ended job, its results and an uploaded file
	// are kept.
	RetentionMS = 7 * 24 * 3600 * 1000
	// agentIdleMS is the time after which an agent without leases is deleted.
	agentIdleMS = 3600 * 1000
	// DefaultMaxItemAttempts applies if a job sets no maximum.
	DefaultMaxItemAttempts = 3
	maxItemAttempts        = 200
)

// Machine is the state machine of one work group. It is not safe for concurrent
// use.
type Machine struct {
	now          int64  // Unix milliseconds, never moves back
	seq          uint64 // sequence number of the newest file or job
	files        map[string]*File
	jobs         map[string]*job
	workspaces   map[string]*workspace
	schedulers   map[string]*modelScheduler // by model; only models with queued items
	agents       map[string]*agent
	leases       map[leaseKey]*lease
	costs        map[costKey]int64    // milliseconds of slot time per item
	expiry       expiryHeap           // deadlines of leases; entries may be stale
	byAge        *btree.BTreeG[*File] // all files, oldest first
	due          *btree.BTreeG[*job]  // jobs with open items, by due time
	settled      *btree.BTreeG[*job]  // jobs without open items that wait for their output files, by seq
	ended        *btree.BTreeG[*job]  // ended jobs by end time
	onReferenced func(refs []Ref)     // called with each newly referenced payload record
}

// workspace is the state of one workspace in the group.
type workspace struct {
	name   string
	weight int
	queued int // number of queued items
	files  *btree.BTreeG[*File]
	jobs   *btree.BTreeG[*job]
	keys   map[string]jobKey // by Idempotency-Key
}

type jobKey struct {
	job    string
	digest Digest
}

// agent is the state of one agent in the group.
type agent struct {
	incarnation uint64
	request     uint64   // number of the latest LeaseItems request
	granted     []ItemID // by the latest request
	leases      int      // number of leases held
	seenMS      int64    // time of the last request, Unix milliseconds
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

// OnReferenced sets a function that is called with the payload records that a
// command newly references. It must not call the machine.
func (m *Machine) OnReferenced(f func(refs []Ref)) { m.onReferenced = f }

func (m *Machine) reset() {
	m.now, m.seq = 0, 0
	m.files = make(map[string]*File)
	m.jobs = make(map[string]*job)
	m.workspaces = make(map[string]*workspace)
	m.schedulers = make(map[string]*modelScheduler)
	m.agents = make(map[string]*agent)
	m.leases = make(map[leaseKey]*lease)
	m.costs = make(map[costKey]int64)
	m.expiry = nil
	m.byAge = btree.NewG(btreeDegree, func(a, b *File) bool { return a.Seq < b.Seq })
	m.due = btree.NewG(btreeDegree, func(a, b *job) bool {
		return cmp.Or(cmp.Compare(a.DueMS, b.DueMS), cmp.Compare(a.Seq, b.Seq)) < 0
	})
	m.settled = btree.NewG(btreeDegree, func(a, b *job) bool { return a.Seq < b.Seq })
	m.ended = btree.NewG(btreeDegree, func(a, b *job) bool {
		return cmp.Or(cmp.Compare(a.EndedMS, b.EndedMS), cmp.Compare(a.Seq, b.Seq)) < 0
	})
}

// Now returns the latest command time, Unix milliseconds.
func (m *Machine) Now() int64 { return m.now }

// Apply executes one command at nowMS, the time of the proposer's group clock. The
// machine's time never moves back: an earlier nowMS has no effect on it.
func (m *Machine) Apply(nowMS int64, c *Command) Result {
	m.now = max(m.now, nowMS)
	switch {
	case c.FilePut != nil:
		return m.filePut(c.FilePut)
	case c.FileDelete != nil:
		return m.fileDelete(c.FileDelete)
	case c.JobCreate != nil:
		return m.jobCreate(c.JobCreate)
	case c.JobCancel != nil:
		return m.jobCancel(c.JobCancel)
	case c.JobFinish != nil:
		return m.jobFinish(c.JobFinish)
	case c.Lease != nil:
		return m.leaseItems(c.Lease)
	case c.Renew != nil:
		return m.renewItems(c.Renew)
	case c.Commit != nil:
		return m.commit(c.Commit)
	case c.SetWeights != nil:
		return m.setWeights(c.SetWeights)
	case c.Tick != nil:
		return m.tick(c.Tick)
	default:
		return Result{Err: outcome.New(outcome.BadRequest, outcome.NotRun, "empty command")}
	}
}

// workspaceOf returns the state of a workspace and creates it if needed.
func (m *Machine) workspaceOf(name string) *workspace {
	if w, ok := m.workspaces[name]; ok {
		return w
	}
	w := &workspace{
		name:   name,
		weight: 1,
		files:  btree.NewG(btreeDegree, func(a, b *File) bool { return a.Seq < b.Seq }),
		jobs:   btree.NewG(btreeDegree, func(a, b *job) bool { return a.Seq < b.Seq }),
		keys:   make(map[string]jobKey),
	}
	m.workspaces[name] = w
	return w
}

func (m *Machine) filePut(c *FilePut) Result {
	if old, ok := m.files[c.File.ID]; ok {
		if old.Workspace != c.File.Workspace {
			return Result{Err: fileNotFound(c.File.ID)}
		}
		return Result{File: old}
	}
	if c.File.Bytes > MaxFileBytes {
		return Result{Err: outcome.New(outcome.BodyTooLarge, outcome.NotRun, "file of %d bytes exceeds %d", c.File.Bytes, int64(MaxFileBytes))}
	}
	return Result{File: m.addFile(c.File)}
}

func (m *Machine) addFile(f File) *File {
	m.seq++
	f.Seq, f.CreatedMS = m.seq, m.now
	m.indexFile(&f)
	m.notifyReferenced(f.Chunks)
	return &f
}

func (m *Machine) indexFile(f *File) {
	m.files[f.ID] = f
	m.byAge.ReplaceOrInsert(f)
	m.workspaceOf(f.Workspace).files.ReplaceOrInsert(f)
}

func (m *Machine) removeFile(f *File) {
	m.byAge.Delete(f)
	delete(m.files, f.ID)
	m.workspaceOf(f.Workspace).files.Delete(f)
}

func (m *Machine) fileDelete(c *FileDelete) Result {
	f, ok := m.files[c.ID]
	if !ok || f.Workspace != c.Workspace {
		return Result{Err: fileNotFound(c.ID)}
	}
	m.removeFile(f)
	return Result{}
}

func (m *Machine) setWeights(c *SetWeights) Result {
	for _, w := range c.Weights {
		m.workspaceOf(w.Workspace).weight = max(1, w.Weight)
	}
	return Result{}
}

func (m *Machine) notifyReferenced(refs []Ref) {
	if m.onReferenced != nil && len(refs) > 0 {
		m.onReferenced(refs)
	}
}

func fileNotFound(id string) *outcome.Error {
	return outcome.New(outcome.FileNotFound, outcome.NotRun, "no file %q", id)
}

func jobNotFound(id string) *outcome.Error {
	return outcome.New(outcome.JobNotFound, outcome.NotRun, "no batch %q", id)
}
