package batch

import (
	"cmp"
	"math"
	"slices"

	"github.com/google/btree"
)

// modelScheduler divides the capacity for one model among workspaces by weighted
// deficit round robin over slot time. The quantum of a workspace is its weight
// times the mean slot time of an item. A lease is charged the expected slot time
// of its item; the charge is corrected when the attempt ends. The turn and the
// deficits are part of the replicated state.
type modelScheduler struct {
	model        string
	shares       []*workspaceShare // of workspaces with queued items, sorted by name
	turn         int               // index in shares
	quantumAdded bool              // the share at turn has received its quantum
}

// workspaceShare is the share of one workspace in the capacity for a model.
// Its jobs are served in order of due time.
type workspaceShare struct {
	workspace *workspace
	deficit   int64 // milliseconds of slot time; served only while above zero
	queues    *btree.BTreeG[*jobQueue]
}

func (m *Machine) schedulerOf(model string) *modelScheduler {
	l, ok := m.schedulers[model]
	if !ok {
		l = &modelScheduler{model: model}
		m.schedulers[model] = l
	}
	return l
}

func (m *Machine) deleteIdleScheduler(model string) {
	if l, ok := m.schedulers[model]; ok && len(l.shares) == 0 {
		delete(m.schedulers, model)
	}
}

func (l *modelScheduler) find(workspaceName string) (int, bool) {
	return slices.BinarySearchFunc(l.shares, workspaceName, func(s *workspaceShare, name string) int {
		return cmp.Compare(s.workspace.name, name)
	})
}

// add registers a job queue that has queued items, and its workspace if it is
// the first one.
func (l *modelScheduler) add(w *workspace, q *jobQueue) {
	i, found := l.find(w.name)
	if !found {
		s := &workspaceShare{workspace: w, queues: btree.NewG(btreeDegree, earlierDue)}
		l.shares = slices.Insert(l.shares, i, s)
		if i <= l.turn && len(l.shares) > 1 {
			l.turn++
		}
	}
	l.shares[i].queues.ReplaceOrInsert(q)
}

func earlierDue(a, b *jobQueue) bool {
	return cmp.Or(cmp.Compare(a.job.DueMS, b.job.DueMS), cmp.Compare(a.job.Seq, b.job.Seq)) < 0
}

// remove deletes a job queue, and its workspace if it was the last one.
func (l *modelScheduler) remove(workspaceName string, q *jobQueue) {
	i, found := l.find(workspaceName)
	if !found {
		return
	}
	s := l.shares[i]
	s.queues.Delete(q)
	if s.queues.Len() > 0 {
		return
	}
	l.shares = slices.Delete(l.shares, i, i+1)
	switch {
	case i < l.turn:
		l.turn--
	case i == l.turn:
		l.quantumAdded = false
	}
	if l.turn >= len(l.shares) {
		l.turn = 0
	}
}

// pickJob returns the job queue whose next item is to be leased, or nil if none
// is queued. It charges the workspace the expected slot time and returns the
// charge.
func (m *Machine) pickJob(l *modelScheduler) (*jobQueue, int64) {
	if len(l.shares) == 0 {
		return nil, 0
	}
	mean := m.expectedCost(l.model, "")
	for passed := 0; ; passed++ {
		if passed == len(l.shares) {
			l.skipIdleRounds(mean)
			passed = 0
		}
		s := l.shares[l.turn]
		if !l.quantumAdded {
			s.deficit += s.quantum(mean)
			l.quantumAdded = true
		}
		if s.deficit > 0 {
			charge := m.expectedCost(l.model, s.workspace.name)
			s.deficit -= charge
			q, _ := s.queues.Min()
			return q, charge
		}
		l.quantumAdded = false
		l.turn = (l.turn + 1) % len(l.shares)
	}
}

// quantum returns the slot time added to the deficit on each turn, milliseconds.
func (s *workspaceShare) quantum(mean int64) int64 { return int64(s.workspace.weight) * mean }

// skipIdleRounds adds at once the quanta of all rounds after which no deficit
// would be above zero yet.
func (l *modelScheduler) skipIdleRounds(mean int64) {
	rounds := int64(math.MaxInt64)
	for _, s := range l.shares {
		rounds = min(rounds, -s.deficit/s.quantum(mean))
	}
	for _, s := range l.shares {
		s.deficit += max(0, rounds) * s.quantum(mean)
	}
}
