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
	sched, ok := m.schedulers[model]
	if !ok {
		sched = &modelScheduler{model: model}
		m.schedulers[model] = sched
	}
	return sched
}

func (m *Machine) deleteIdleScheduler(model string) {
	if sched, ok := m.schedulers[model]; ok && len(sched.shares) == 0 {
		delete(m.schedulers, model)
	}
}

func (sched *modelScheduler) find(workspaceName string) (int, bool) {
	return slices.BinarySearchFunc(sched.shares, workspaceName, func(s *workspaceShare, name string) int {
		return cmp.Compare(s.workspace.name, name)
	})
}

// add registers a job queue that has queued items, and its workspace if it is
// the first one.
func (sched *modelScheduler) add(w *workspace, q *jobQueue) {
	i, found := sched.find(w.name)
	if !found {
		s := &workspaceShare{workspace: w, queues: btree.NewG(btreeDegree, earlierDue)}
		sched.shares = slices.Insert(sched.shares, i, s)
		if i <= sched.turn && len(sched.shares) > 1 {
			sched.turn++
		}
	}
	sched.shares[i].queues.ReplaceOrInsert(q)
}

func earlierDue(a, b *jobQueue) bool {
	return cmp.Or(cmp.Compare(a.job.DueMS, b.job.DueMS), cmp.Compare(a.job.Seq, b.job.Seq)) < 0
}

// remove deletes a job queue, and its workspace if it was the last one.
func (sched *modelScheduler) remove(workspaceName string, q *jobQueue) {
	i, found := sched.find(workspaceName)
	if !found {
		return
	}
	s := sched.shares[i]
	s.queues.Delete(q)
	if s.queues.Len() > 0 {
		return
	}
	sched.shares = slices.Delete(sched.shares, i, i+1)
	switch {
	case i < sched.turn:
		sched.turn--
	case i == sched.turn:
		sched.quantumAdded = false
	}
	if sched.turn >= len(sched.shares) {
		sched.turn = 0
	}
}

// pickJob returns the job queue whose next item is to be leased, or nil if none
// is queued. It charges the workspace the expected slot time and returns the
// charge.
func (m *Machine) pickJob(sched *modelScheduler) (*jobQueue, int64) {
	if len(sched.shares) == 0 {
		return nil, 0
	}
	mean := m.expectedCost(sched.model, "")
	for passed := 0; ; passed++ {
		if passed == len(sched.shares) {
			sched.skipIdleRounds(mean)
			passed = 0
		}
		s := sched.shares[sched.turn]
		if !sched.quantumAdded {
			s.deficit += s.quantum(mean)
			sched.quantumAdded = true
		}
		if s.deficit > 0 {
			charge := m.expectedCost(sched.model, s.workspace.name)
			s.deficit -= charge
			q, _ := s.queues.Min()
			return q, charge
		}
		sched.quantumAdded = false
		sched.turn = (sched.turn + 1) % len(sched.shares)
	}
}

// quantum returns the slot time added to the deficit on each turn, milliseconds.
func (s *workspaceShare) quantum(mean int64) int64 { return int64(s.workspace.weight) * mean }

// skipIdleRounds adds at once the quanta of all rounds after which no deficit
// would be above zero yet.
func (sched *modelScheduler) skipIdleRounds(mean int64) {
	rounds := int64(math.MaxInt64)
	for _, s := range sched.shares {
		rounds = min(rounds, -s.deficit/s.quantum(mean))
	}
	for _, s := range sched.shares {
		s.deficit += max(0, rounds) * s.quantum(mean)
	}
}
