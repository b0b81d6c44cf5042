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
	workspaces   []*workspaceQueue // those with queued items, sorted by name
	turn         int               // index in workspaces
	quantumAdded bool              // the workspace at turn has received its quantum
}

// workspaceQueue is a workspace with queued items for one model. Its jobs are
// served in order of due time.
type workspaceQueue struct {
	workspace *workspace
	deficit   int64 // milliseconds of slot time; served only while above zero
	jobs      *btree.BTreeG[*jobQueue]
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
	if l, ok := m.schedulers[model]; ok && len(l.workspaces) == 0 {
		delete(m.schedulers, model)
	}
}

func (l *modelScheduler) find(workspaceName string) (int, bool) {
	return slices.BinarySearchFunc(l.workspaces, workspaceName, func(s *workspaceQueue, name string) int {
		return cmp.Compare(s.workspace.name, name)
	})
}

// add registers a job queue that has queued items, and its workspace if it is
// the first one.
func (l *modelScheduler) add(w *workspace, q *jobQueue) {
	i, found := l.find(w.name)
	if !found {
		s := &workspaceQueue{workspace: w, jobs: btree.NewG(btreeDegree, earlierDue)}
		l.workspaces = slices.Insert(l.workspaces, i, s)
		if i <= l.turn && len(l.workspaces) > 1 {
			l.turn++
		}
	}
	l.workspaces[i].jobs.ReplaceOrInsert(q)
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
	s := l.workspaces[i]
	s.jobs.Delete(q)
	if s.jobs.Len() > 0 {
		return
	}
	l.workspaces = slices.Delete(l.workspaces, i, i+1)
	switch {
	case i < l.turn:
		l.turn--
	case i == l.turn:
		l.quantumAdded = false
	}
	if l.turn >= len(l.workspaces) {
		l.turn = 0
	}
}

// pickJob returns the job queue whose next item is to be leased, or nil if none
// is queued. It charges the workspace the expected slot time and returns the
// charge.
func (m *Machine) pickJob(l *modelScheduler) (*jobQueue, int64) {
	if len(l.workspaces) == 0 {
		return nil, 0
	}
	mean := m.expectedCost(l.model, "")
	for passed := 0; ; passed++ {
		if passed == len(l.workspaces) {
			l.skipIdleRounds(mean)
			passed = 0
		}
		s := l.workspaces[l.turn]
		if !l.quantumAdded {
			s.deficit += s.quantum(mean)
			l.quantumAdded = true
		}
		if s.deficit > 0 {
			charge := m.expectedCost(l.model, s.workspace.name)
			s.deficit -= charge
			q, _ := s.jobs.Min()
			return q, charge
		}
		l.quantumAdded = false
		l.turn = (l.turn + 1) % len(l.workspaces)
	}
}

// quantum returns the slot time added to the deficit on each turn, milliseconds.
func (s *workspaceQueue) quantum(mean int64) int64 { return int64(s.workspace.weight) * mean }

// skipIdleRounds adds at once the quanta of all rounds after which no deficit
// would be above zero yet.
func (l *modelScheduler) skipIdleRounds(mean int64) {
	rounds := int64(math.MaxInt64)
	for _, s := range l.workspaces {
		rounds = min(rounds, -s.deficit/s.quantum(mean))
	}
	for _, s := range l.workspaces {
		s.deficit += max(0, rounds) * s.quantum(mean)
	}
}
