package batch

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"banyanwalk/core/outcome"
)

// leaseKey identifies a leased item by the sequence number of its job, so that
// leases sort in order of job creation.
type leaseKey struct {
	jobSeq uint64
	item   uint32
}

func compareLeaseKeys(a, b leaseKey) int {
	return cmp.Or(cmp.Compare(a.jobSeq, b.jobSeq), cmp.Compare(a.item, b.item))
}

// lease is an attempt that an agent is running.
type lease struct {
	job       *job
	item      uint32
	attempt   uint32
	agent     string
	deadline  int64 // Unix milliseconds
	grantedAt int64 // time of the grant, Unix milliseconds
	charge    int64 // slot time charged at the grant, milliseconds
}

func (l *lease) key() leaseKey { return leaseKey{jobSeq: l.job.Seq, item: l.item} }

func (l *lease) id() ItemID { return ItemID{Job: l.job.ID, Item: l.item, Attempt: l.attempt} }

func (m *Machine) leaseItems(c *LeaseItems) Result {
	a, err := m.acceptRequest(c)
	if err != nil {
		return Result{Err: err}
	}
	m.expireDue()
	if c.Request == a.request {
		return Result{Leases: m.repeatLeases(c.Agent, a)}
	}
	a.request, a.granted = c.Request, nil
	var leases []Lease
	bytes := int64(0)
	for _, want := range c.Wants {
		sched, ok := m.schedulers[want.Model]
		if !ok {
			continue
		}
		for range want.Max {
			if c.MaxBytes > 0 && bytes >= c.MaxBytes {
				break
			}
			q, charge := m.pickJob(sched)
			if q == nil {
				break
			}
			granted := m.grant(c, a, q, charge)
			leases = append(leases, granted)
			bytes += granted.bytes()
		}
		m.deleteIdleScheduler(want.Model)
	}
	return Result{Leases: leases}
}

// acceptRequest returns the agent that sent a request and refuses outdated
// requests. The first request of a new incarnation revokes all leases of the old
// one.
func (m *Machine) acceptRequest(c *LeaseItems) (*agent, *outcome.Error) {
	a, ok := m.agents[c.Agent]
	if !ok {
		a = &agent{incarnation: c.Incarnation}
		m.agents[c.Agent] = a
	}
	a.seenMS = m.now
	if c.Incarnation < a.incarnation || (c.Incarnation == a.incarnation && c.Request < a.request) {
		return nil, outcome.New(outcome.ItemSuperseded, outcome.NotRun, "a newer request of agent %s was served", c.Agent)
	}
	if c.Incarnation > a.incarnation {
		m.revokeAll(c.Agent)
		*a = agent{incarnation: c.Incarnation, seenMS: m.now}
	}
	return a, nil
}

// bytes returns the size of the payloads sent with a lease.
func (l *Lease) bytes() int64 {
	n := int64(0)
	for _, part := range l.Input {
		n += int64(part.Length)
	}
	if l.Progress != nil {
		n += int64(l.Progress.Length)
	}
	return n
}

// grant leases the next item of a job queue to an agent.
func (m *Machine) grant(c *LeaseItems, a *agent, q *jobQueue, charge int64) Lease {
	j := q.job
	i := q.pop()
	j.Counts.Queued--
	j.Counts.Leased++
	w := m.workspaceOf(j.Workspace)
	w.queued--
	if q.queued == 0 {
		m.schedulers[q.model].remove(j.Workspace, q)
	}
	it := &j.items[i]
	it.state = ItemLeased
	it.attempt++
	granted := &lease{job: j, item: i, attempt: it.attempt, agent: c.Agent, deadline: m.now + c.LeaseMS, grantedAt: m.now, charge: charge}
	m.leases[granted.key()] = granted
	heap.Push(&m.expiry, expiryEntry{deadline: granted.deadline, key: granted.key(), attempt: granted.attempt})
	a.leases++
	a.granted = append(a.granted, granted.id())
	return m.leaseDetails(granted)
}

func (m *Machine) leaseDetails(l *lease) Lease {
	j := l.job
	d := Lease{
		ID:          l.id(),
		Workspace:   j.Workspace,
		Template:    j.templates[j.items[l.item].template],
		Input:       j.inputSlices(l.item),
		DeadlineMS:  l.deadline,
		RemainingMS: j.DueMS - l.grantedAt,
		DueMS:       j.DueMS,

		LastFailure: outcome.Code(j.items[l.item].code),
	}
	if p, ok := j.progress[l.item]; ok {
		d.Progress = &p
	}
	return d
}

// repeatLeases returns the leases granted by the agent's latest request that
// still hold, to answer a resend of it.
func (m *Machine) repeatLeases(agentName string, a *agent) []Lease {
	var leases []Lease
	for _, id := range a.granted {
		if l, code := m.findLease(agentName, id); code == 0 {
			leases = append(leases, m.leaseDetails(l))
		}
	}
	return leases
}

// findLease returns the lease that an agent holds for an attempt. The code is 0
// if the lease is valid. Otherwise it says why there is no lease, or, with a
// lease, why the attempt must stop.
func (m *Machine) findLease(agentName string, id ItemID) (*lease, outcome.Code) {
	j, ok := m.jobs[id.Job]
	switch {
	case !ok:
		return nil, outcome.JobNotFound
	case j.Status.Ended():
		return nil, endedCode(j.Status)
	case int(id.Item) >= len(j.items):
		return nil, outcome.JobNotFound
	}
	l, ok := m.leases[leaseKey{jobSeq: j.Seq, item: id.Item}]
	if !ok || l.attempt != id.Attempt || l.agent != agentName {
		return nil, outcome.ItemSuperseded
	}
	switch j.Status {
	case JobCancelling:
		return l, outcome.JobCancelled
	case JobExpiring:
		return l, outcome.JobExpired
	}
	return l, 0
}

func endedCode(s JobStatus) outcome.Code {
	switch s {
	case JobCancelled:
		return outcome.JobCancelled
	case JobExpired:
		return outcome.JobExpired
	default:
		return outcome.JobEnded
	}
}

func (m *Machine) renewItems(c *RenewItems) Result {
	var r Result
	if a, ok := m.agents[c.Agent]; ok && a.incarnation == c.Incarnation {
		a.seenMS = m.now
	}
	for _, id := range c.Items {
		l, code := m.findLease(c.Agent, id)
		if code != 0 {
			r.Stopped = append(r.Stopped, StoppedItem{ID: id, Code: code})
			continue
		}
		l.deadline = max(l.deadline, m.now+c.LeaseMS)
	}
	return r
}

// release deletes a lease. The caller sets the new state of the item.
func (m *Machine) release(l *lease) {
	delete(m.leases, l.key())
	l.job.Counts.Leased--
	if a, ok := m.agents[l.agent]; ok {
		a.leases--
	}
}

// revoke ends a lease whose agent is lost. It counts as a failed attempt; an
// item that is not idempotent fails for good, since it may have run.
func (m *Machine) revoke(l *lease) {
	m.release(l)
	j := l.job
	it := &j.items[l.item]
	if it.state == ItemLeased {
		m.failAttempt(j, l.item, outcome.Unreachable, outcome.MayHaveRun)
	}
	m.markSettledIfDone(j)
}

// revokeAll revokes all leases of an agent.
func (m *Machine) revokeAll(agentName string) {
	keys := slices.SortedFunc(maps.Keys(m.leases), compareLeaseKeys)
	for _, k := range keys {
		if l := m.leases[k]; l.agent == agentName {
			m.revoke(l)
		}
	}
}

// failAttempt counts a failed attempt and queues the item again. The item fails
// for good if it has no attempts left, or if it may have run and is not
// idempotent.
func (m *Machine) failAttempt(j *job, i uint32, code outcome.Code, result outcome.Outcome) {
	it := &j.items[i]
	it.failures++
	repeatable := result == outcome.NotRun || j.templates[it.template].Idempotent
	switch {
	case !repeatable:
		m.finishItem(j, i, ItemFailed, code, result)
	case it.failures >= j.maxAttempts:
		m.finishItem(j, i, ItemFailed, outcome.ItemImpossible, result)
	default:
		it.code = uint16(code)
		m.requeue(j, i)
	}
}

// finishItem moves an item to the state succeeded or failed.
func (m *Machine) finishItem(j *job, i uint32, state ItemState, code outcome.Code, result outcome.Outcome) {
	it := &j.items[i]
	it.state = state
	it.code = uint16(code)
	it.outcome = uint8(result)
	delete(j.progress, i)
	if state == ItemSucceeded {
		j.Counts.Succeeded++
	} else {
		j.Counts.Failed++
	}
}
