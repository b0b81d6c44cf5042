package replica

import (
	"sync"

	"banyanwalk/core/outcome"
)

// proposalResult is what Propose returns.
type proposalResult struct {
	value any
	err   error
}

// proposal is a command whose result is pending.
type proposal struct {
	command []byte
	term    uint64              // of the command's log entry
	done    chan proposalResult // capacity one
}

func (p *proposal) complete(result proposalResult) { p.done <- result }

// pendingProposals holds the proposals whose log entry is not applied yet.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]*proposal
}

func (q *pendingProposals) add(index uint64, p *proposal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.byIndex[index] = p
}

// take removes and returns the proposal for the entry at index, if any. If the
// entry has another term than the proposal, the command was overwritten and the
// proposal fails here.
func (q *pendingProposals) take(index, term uint64) *proposal {
	q.mu.Lock()
	p := q.byIndex[index]
	delete(q.byIndex, index)
	q.mu.Unlock()
	if p != nil && p.term != term {
		p.complete(proposalResult{err: notLeaderError(0)})
		return nil
	}
	return p
}

// failAfter fails the proposals whose entry is after index. It is unknown
// whether those entries will be committed.
func (q *pendingProposals) failAfter(index uint64, err *outcome.Error) {
	q.mu.Lock()
	var failed []*proposal
	for entryIndex, p := range q.byIndex {
		if entryIndex > index {
			failed = append(failed, p)
			delete(q.byIndex, entryIndex)
		}
	}
	q.mu.Unlock()
	for _, p := range failed {
		p.complete(proposalResult{err: err})
	}
}

func notLeaderError(leader uint64) *outcome.Error {
	if leader == 0 {
		return outcome.New(outcome.NotLeader, outcome.NotRun, "not the leader, none is known")
	}
	return outcome.New(outcome.NotLeader, outcome.NotRun, "not the leader, that is replica %d", leader)
}

func unknownOutcomeError() *outcome.Error {
	return outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "no quorum has confirmed the command")
}

func overloadedError() *outcome.Error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "too many calls wait for a quorum")
}
