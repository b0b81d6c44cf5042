package batch

import (
	"slices"

	"banyanwalk/core/outcome"
)

// job is a job with its items. Counts always match the states of the items.
type job struct {
	Job
	key          string
	maxAttempts  uint8
	input        []Ref
	inputOffsets []int64 // file offset of each input record, followed by the file size
	templates    []Template
	items        []item
	records      []Ref            // payload records of results
	progress     map[uint32]Slice // partial output of preempted items
	queues       []*jobQueue      // one per model, in order of first use
	lastRecord   uint32           // 1 + index of the record referenced last
}

// jobQueue tracks the queued items of a job for one model and yields them in
// order of their number. Queued items below cursor are in the heap requeued.
type jobQueue struct {
	job      *job
	model    string
	queued   int
	cursor   uint32
	requeued []uint32 // min-heap of items queued again
}

func (m *Machine) jobCreate(c *JobCreate) Result {
	if old, ok := m.jobs[c.ID]; ok && old.Workspace == c.Workspace {
		return Result{Job: old.snapshot()}
	}
	w := m.workspaceOf(c.Workspace)
	if k, ok := w.keys[c.Key]; ok && c.Key != "" {
		if k.digest != c.RequestDigest {
			return Result{Err: outcome.New(outcome.IdempotencyMismatch, outcome.NotRun, "the key was used for batch %s", k.job)}
		}
		return Result{Job: m.jobs[k.job].snapshot()}
	}
	j, err := m.newJob(c, w)
	if err != nil {
		return Result{Err: outcome.From(err)}
	}
	m.seq++
	j.Seq = m.seq
	w.weight = max(1, c.Weight)
	if c.Key != "" {
		w.keys[c.Key] = jobKey{job: j.ID, digest: c.RequestDigest}
	}
	m.jobs[j.ID] = j
	w.jobs.ReplaceOrInsert(j)
	m.due.ReplaceOrInsert(j)
	m.enqueueAll(j)
	m.markSettledIfDone(j)
	return Result{Job: j.snapshot()}
}

func (m *Machine) newJob(c *JobCreate, w *workspace) (*job, error) {
	f, ok := m.files[c.InputFile]
	if !ok || f.Workspace != c.Workspace {
		return nil, fileNotFound(c.InputFile)
	}
	if len(c.Templates) > MaxTemplates {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "%d kinds of items exceed %d", len(c.Templates), MaxTemplates)
	}
	items, err := unpackIndex(c.Index, len(c.Templates), f.Bytes)
	if err != nil {
		return nil, err
	}
	if c.MaxQueued > 0 && w.queued+len(items) > c.MaxQueued {
		return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "workspace %s has %d items queued; %d more exceed %d",
			c.Workspace, w.queued, len(items), c.MaxQueued)
	}
	attempts := c.MaxAttempts
	if attempts <= 0 {
		attempts = DefaultMaxItemAttempts
	}
	j := &job{
		Job: Job{
			ID: c.ID, Workspace: c.Workspace, InputFile: c.InputFile, Endpoint: c.Endpoint,
			Window: c.Window, Metadata: c.Metadata, Status: JobInProgress,
			CreatedMS: m.now, DueMS: m.now + c.WindowMS,
			Counts: Counts{Total: len(items)},
		},
		key:         c.Key,
		maxAttempts: uint8(min(attempts, maxItemAttempts)),
		input:       f.Chunks,
		templates:   c.Templates,
		items:       items,
	}
	j.initDerived()
	return j, nil
}

// initDerived sets the fields that are derived from the input and the templates.
func (j *job) initDerived() {
	j.inputOffsets = make([]int64, 0, len(j.input)+1)
	start := int64(0)
	for _, ref := range j.input {
		j.inputOffsets = append(j.inputOffsets, start)
		start += int64(ref.Length)
	}
	j.inputOffsets = append(j.inputOffsets, start)
	j.progress = make(map[uint32]Slice)
	j.queues = nil
	for _, t := range j.templates {
		if j.queueOf(t.Model) == nil {
			j.queues = append(j.queues, &jobQueue{job: j, model: t.Model})
		}
	}
}

func (j *job) queueOf(model string) *jobQueue {
	i := slices.IndexFunc(j.queues, func(q *jobQueue) bool { return q.model == model })
	if i < 0 {
		return nil
	}
	return j.queues[i]
}

func (j *job) snapshot() *Job {
	v := j.Job
	return &v
}

// inputSlices returns the slices of payload records that hold the input line of
// an item.
func (j *job) inputSlices(i uint32) []Slice {
	it := &j.items[i]
	from, to := int64(it.offset), int64(it.offset)+int64(it.length)
	chunk, found := slices.BinarySearch(j.inputOffsets, from)
	if !found {
		chunk--
	}
	var line []Slice
	for from < to && chunk < len(j.input) {
		end := min(to, j.inputOffsets[chunk+1])
		if end > from {
			line = append(line, Slice{Record: j.input[chunk], Offset: uint32(from - j.inputOffsets[chunk]), Length: uint32(end - from)})
		}
		from = end
		chunk++
	}
	return line
}

// pop removes and returns the queued item with the lowest number. The queue must
// not be empty.
func (q *jobQueue) pop() uint32 {
	q.queued--
	if len(q.requeued) > 0 {
		return popLowestItem(&q.requeued)
	}
	for {
		i := q.cursor
		q.cursor++
		it := &q.job.items[i]
		if it.state == ItemQueued && q.job.templates[it.template].Model == q.model {
			return i
		}
	}
}

// requeue adds an item that was leased before.
func (q *jobQueue) requeue(i uint32) {
	q.queued++
	if i < q.cursor {
		pushItem(&q.requeued, i)
	}
}

// enqueueAll queues the items of a new or restored job.
func (m *Machine) enqueueAll(j *job) {
	w := m.workspaceOf(j.Workspace)
	for i := range j.items {
		it := &j.items[i]
		if it.state != ItemQueued {
			continue
		}
		j.queueOf(j.templates[it.template].Model).queued++
		j.Counts.Queued++
		w.queued++
	}
	for _, q := range j.queues {
		if q.queued > 0 {
			m.schedulerOf(q.model).add(w, q)
		}
	}
}

// requeue queues an item again after an attempt that did not complete it.
func (m *Machine) requeue(j *job, i uint32) {
	it := &j.items[i]
	it.state = ItemQueued
	q := j.queueOf(j.templates[it.template].Model)
	q.requeue(i)
	j.Counts.Queued++
	w := m.workspaceOf(j.Workspace)
	w.queued++
	if q.queued == 1 {
		m.schedulerOf(q.model).add(w, q)
	}
}

func (m *Machine) jobCancel(c *JobCancel) Result {
	j, ok := m.jobs[c.ID]
	if !ok || j.Workspace != c.Workspace {
		return Result{Err: jobNotFound(c.ID)}
	}
	switch j.Status {
	case JobCancelling, JobCancelled:
		return Result{Job: j.snapshot()}
	case JobInProgress:
		if j.SettledMS > 0 {
			break
		}
		j.CancellingMS = m.now
		m.stop(j, JobCancelling, ItemCancelled)
		return Result{Job: j.snapshot()}
	}
	return Result{Err: outcome.New(outcome.JobEnded, outcome.NotRun, "batch %s is %s", j.ID, j.StatusName())}
}

// stop moves all unfinished items of a job to a final state. Leases remain until
// the agents confirm the stop or the leases expire; their results are refused.
func (m *Machine) stop(j *job, status JobStatus, state ItemState) {
	j.Status = status
	for _, q := range j.queues {
		if q.queued > 0 {
			m.schedulerOf(q.model).remove(j.Workspace, q)
			m.deleteIdleScheduler(q.model)
		}
		q.queued, q.requeued = 0, nil
	}
	m.workspaceOf(j.Workspace).queued -= j.Counts.Queued
	stopped := j.Counts.Queued
	j.Counts.Queued = 0
	for i := range j.items {
		it := &j.items[i]
		if it.state == ItemLeased {
			stopped++
		}
		if it.state == ItemQueued || it.state == ItemLeased {
			it.state = state
		}
	}
	if state == ItemCancelled {
		j.Counts.Cancelled += stopped
	} else {
		j.Counts.Expired += stopped
	}
	clear(j.progress)
	m.markSettledIfDone(j)
}

// markSettledIfDone marks a job without queued items and leases as settled: its
// output files can be built.
func (m *Machine) markSettledIfDone(j *job) {
	if j.SettledMS > 0 || j.Counts.Queued+j.Counts.Leased > 0 {
		return
	}
	m.due.Delete(j)
	j.SettledMS = m.now
	m.settled.ReplaceOrInsert(j)
}

func (m *Machine) jobFinish(c *JobFinish) Result {
	j, ok := m.jobs[c.ID]
	switch {
	case !ok:
		return Result{Err: jobNotFound(c.ID)}
	case j.Status.Ended():
		return Result{Job: j.snapshot()}
	case j.SettledMS == 0:
		return Result{Err: outcome.New(outcome.Internal, outcome.NotRun, "batch %s has open items", j.ID)}
	}
	m.settled.Delete(j)
	switch j.Status {
	case JobCancelling:
		j.Status = JobCancelled
	case JobExpiring:
		j.Status = JobExpired
	default:
		j.Status = JobCompleted
	}
	j.EndedMS = m.now
	j.OutputFile = m.addOutput(j, OutputResults, c.Output)
	j.ErrorFile = m.addOutput(j, OutputErrors, c.Errors)
	j.items, j.records, j.progress, j.input, j.inputOffsets, j.templates, j.queues = nil, nil, nil, nil, nil, nil, nil
	m.ended.ReplaceOrInsert(j)
	return Result{Job: j.snapshot()}
}

func (m *Machine) addOutput(j *job, kind OutputKind, o Output) string {
	if len(o.Chunks) == 0 {
		return ""
	}
	id := kind.fileID(j.ID)
	m.addFile(File{ID: id, Workspace: j.Workspace, Name: id + ".jsonl", Purpose: "batch_output", Bytes: o.Bytes, Chunks: o.Chunks})
	return id
}

// removeJob deletes an ended job and its output files.
func (m *Machine) removeJob(j *job) {
	w := m.workspaceOf(j.Workspace)
	w.jobs.Delete(j)
	m.ended.Delete(j)
	delete(m.jobs, j.ID)
	for _, id := range []string{j.OutputFile, j.ErrorFile} {
		if f, ok := m.files[id]; ok {
			m.removeFile(f)
		}
	}
	if j.key != "" {
		delete(w.keys, j.key)
	}
}
