package batch

import (
	"container/heap"
	"slices"

	"banyanwalk/core/outcome"
)

func (m *Machine) commit(c *Commit) Result {
	var r Result
	used := false
	for _, result := range c.Results {
		code, stored := m.commitItem(c, result)
		used = used || stored
		r.Items = append(r.Items, ItemAck{ID: result.ID, Code: code})
	}
	if used {
		m.notifyReferenced([]Ref{c.Record})
	}
	return r
}

// commitItem processes one result. It returns the code of the acknowledgment and
// whether the state now references the payload.
func (m *Machine) commitItem(c *Commit, result ItemResult) (code outcome.Code, stored bool) {
	l, code := m.findLease(c.Agent, result.ID)
	if l == nil {
		if m.committedBefore(result) {
			return 0, false
		}
		return code, false
	}
	m.release(l)
	j := l.job
	if code != 0 {
		m.markSettledIfDone(j)
		return code, false
	}
	if int64(result.Offset)+int64(result.Length) > int64(c.Record.Length) {
		m.failAttempt(j, l.item, outcome.BadRequest, outcome.MayHaveRun)
		m.markSettledIfDone(j)
		return outcome.BadRequest, false
	}
	stored = m.applyResult(l, c.Record, result)
	m.markSettledIfDone(j)
	return 0, stored
}

// committedBefore reports whether a result is a resend of one that was accepted
// before.
func (m *Machine) committedBefore(result ItemResult) bool {
	j, ok := m.jobs[result.ID.Job]
	if !ok || int(result.ID.Item) >= len(j.items) {
		return false
	}
	it := &j.items[result.ID.Item]
	if it.attempt != result.ID.Attempt {
		return false
	}
	switch result.Status {
	case ResultSucceeded:
		return it.state == ItemSucceeded
	case ResultFailed:
		return it.state == ItemFailed && it.record != 0
	default:
		return it.state == ItemQueued || it.state == ItemFailed
	}
}

// applyResult updates an item with the result of the attempt that held the
// lease. It reports whether the state now references the payload.
func (m *Machine) applyResult(l *lease, record Ref, result ItemResult) (stored bool) {
	j, i := l.job, l.item
	m.correctCharge(l, result.Status != ResultReturned || result.Outcome != outcome.NotRun)
	switch result.Status {
	case ResultSucceeded, ResultFailed:
		state := ItemSucceeded
		if result.Status == ResultFailed {
			state = ItemFailed
		}
		m.finishItem(j, i, state, result.Code, result.Outcome)
		m.updateCost(j.templates[j.items[i].template].Model, j.Workspace, m.now-l.grantedAt)
		if result.Length == 0 {
			return false
		}
		it := &j.items[i]
		it.record = j.recordIndex(record)
		it.resultOffset, it.resultLength = result.Offset, result.Length
		return true
	case ResultReturned:
		if result.Outcome != outcome.NotRun && !j.templates[j.items[i].template].Idempotent {
			m.finishItem(j, i, ItemFailed, result.Code, result.Outcome)
			return false
		}
		m.requeue(j, i)
		if result.Length == 0 {
			return false
		}
		j.progress[i] = Slice{Record: record, Offset: result.Offset, Length: result.Length}
		return true
	default:
		m.failAttempt(j, i, result.Code, result.Outcome)
		return false
	}
}

// recordIndex returns 1 + the index of a record in job.records, and appends the
// record unless it was the last one used.
func (j *job) recordIndex(record Ref) uint32 {
	if j.lastRecord != 0 && j.records[j.lastRecord-1] == record {
		return j.lastRecord
	}
	j.records = append(j.records, record)
	j.lastRecord = uint32(len(j.records))
	return j.lastRecord
}

func (m *Machine) tick(c *Tick) Result {
	if !c.HoldLeases {
		m.expireLeases()
	}
	m.expireDue()
	m.removeExpired()
	return Result{}
}

// expireLeases revokes all leases whose deadline has passed, in an order that is
// the same on every replica.
func (m *Machine) expireLeases() {
	var overdue []leaseKey
	for len(m.expiry) > 0 && m.expiry[0].deadline <= m.now {
		e := heap.Pop(&m.expiry).(expiryEntry)
		l, ok := m.leases[e.key]
		switch {
		case !ok || l.attempt != e.attempt:
		case l.deadline <= m.now:
			overdue = append(overdue, e.key)
		default:
			heap.Push(&m.expiry, expiryEntry{deadline: l.deadline, key: e.key, attempt: e.attempt})
		}
	}
	slices.SortFunc(overdue, compareLeaseKeys)
	for _, k := range overdue {
		m.revoke(m.leases[k])
	}
}

// expireDue stops jobs in progress that are past their due time.
func (m *Machine) expireDue() {
	var overdue []*job
	m.due.Ascend(func(j *job) bool {
		if j.DueMS > m.now {
			return false
		}
		if j.Status == JobInProgress {
			overdue = append(overdue, j)
		}
		return true
	})
	for _, j := range overdue {
		m.stop(j, JobExpiring, ItemExpired)
	}
}

// removeExpired deletes files and ended jobs past their retention, and idle
// agents. A running job keeps the references to the contents of its input file.
func (m *Machine) removeExpired() {
	for {
		f, ok := m.byAge.Min()
		if !ok || f.CreatedMS+RetentionMS > m.now {
			break
		}
		m.removeFile(f)
	}
	for {
		j, ok := m.ended.Min()
		if !ok || j.EndedMS+RetentionMS > m.now {
			break
		}
		m.removeJob(j)
	}
	for name, a := range m.agents {
		if a.leases == 0 && a.seenMS+agentIdleMS <= m.now {
			delete(m.agents, name)
		}
	}
}
