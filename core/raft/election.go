package raft

import "time"

func (r *Raft) resetTimer() {
	r.timerStart = r.now
	timeout := int64(r.cfg.ElectionTimeout)
	r.timerTimeout = time.Duration(timeout + r.cfg.Rand.Int64N(timeout))
}

func (r *Raft) becomeFollower(term uint64, leader ReplicaID) {
	if term > r.term {
		r.term = term
		r.vote = ReplicaID{}
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.rounds = nil
	r.reads = nil
	r.leaseFrom = time.Time{}
	r.resetTimer()
}

// follow accepts the sender as the leader of the current term.
func (r *Raft) follow(leader ReplicaID) {
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.heard = r.now
	r.resetTimer()
}

// campaign asks the voters for the next term, first without taking it.
func (r *Raft) campaign(role Role) { r.campaignAfter(role, false) }

// campaignAfter campaigns; resigned tells that the current term's leader has
// resigned and asked for it.
func (r *Raft) campaignAfter(role Role, resigned bool) {
	r.role = role
	r.leader = ReplicaID{}
	r.votes = map[ReplicaID]bool{r.id: true}
	r.resetTimer()
	request := Message{
		Type:     MsgVote,
		Index:    r.log.lastIndex(),
		LogTerm:  r.log.lastTerm(),
		Term:     r.term + 1,
		Transfer: resigned,
	}
	if role == Candidate {
		r.term++
		r.vote = r.id
	} else {
		request.Type = MsgPreVote
		r.timerTimeout /= 2
	}
	r.requestVotes(request)
}

func (r *Raft) requestVotes(request Message) {
	membership := r.log.membership()
	for _, id := range membership.Members() {
		if id != r.id && membership.IsVoter(id) {
			request.To = id
			r.send(request)
		}
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	if !r.log.membership().hasQuorum(func(id ReplicaID) bool { return r.votes[id] }) {
		return
	}
	if r.role == PreCandidate {
		r.campaign(Candidate)
		return
	}
	r.becomeLeader()
}

func (r *Raft) handleVoteResp(m Message) {
	wanted := PreCandidate
	if m.Type == MsgVoteResp {
		wanted = Candidate
	}
	if r.role != wanted || m.Reject {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

// inLease reports whether a leader may rely on this replica's vote.
func (r *Raft) inLease() bool {
	if r.role == Leader {
		return true
	}
	return !r.heard.IsZero() && r.now.Sub(r.heard) < r.cfg.ElectionTimeout
}

// handleVote answers MsgPreVote and MsgVote.
func (r *Raft) handleVote(m Message) {
	answer := Message{Type: MsgPreVoteResp, To: m.From, Reject: true}
	if m.Type == MsgVote {
		answer.Type = MsgVoteResp
	}
	// The lease of a leader that has resigned is over.
	resigned := m.Transfer && m.Type == MsgVote && m.Term == r.term+1 && r.role != Leader
	if m.Term < r.term || (r.inLease() && !resigned) {
		// Within the lease of a leader the candidate's term is not taken over.
		r.send(answer)
		return
	}
	upToDate := m.LogTerm > r.log.lastTerm() ||
		(m.LogTerm == r.log.lastTerm() && m.Index >= r.log.lastIndex())
	if m.Type == MsgPreVote {
		answer.Reject = !upToDate || m.Term == r.term
		if !answer.Reject {
			answer.Term = m.Term
		}
		r.send(answer)
		return
	}
	if m.Term > r.term {
		r.becomeFollower(m.Term, ReplicaID{})
	}
	free := r.vote.IsZero() || r.vote == m.From
	if upToDate && free {
		r.vote = m.From
		answer.Reject = false
		r.resetTimer()
	}
	r.send(answer)
}

// Resign hands the leadership to a voter that holds the whole log. The leader
// gives up its term, and with it the lease, before the other one campaigns. It
// reports false when it does not lead, or nobody can take over yet.
func (r *Raft) Resign(now time.Time) bool {
	r.advanceClock(now)
	if r.role != Leader || r.log.committed < r.log.lastIndex() {
		return false
	}
	for _, id := range r.log.membership().Voters {
		if id == r.id || !r.isActive(id) || r.progress[id].match < r.log.lastIndex() {
			continue
		}
		r.becomeFollower(r.term, ReplicaID{})
		r.send(Message{Type: MsgTransfer, To: id})
		return true
	}
	return false
}

func (r *Raft) handleTransfer() {
	if r.role != Leader && r.log.membership().IsVoter(r.id) {
		r.campaignAfter(Candidate, true)
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.votes = nil
	r.elected = r.now
	r.leaseFrom = time.Time{}
	r.round = 0
	r.rounds = nil
	r.reads = nil
	r.progress = map[ReplicaID]*progress{}
	r.opened = r.appendAsLeader(EntryCommand, nil)
	r.syncProgress()
	r.sendRound()
}

// syncProgress follows the members of the latest membership.
func (r *Raft) syncProgress() {
	members := r.log.membership().Members()
	known := make(map[ReplicaID]*progress, len(members))
	for _, id := range members {
		p := r.progress[id]
		if p == nil {
			p = &progress{next: r.log.lastIndex() + 1, advanced: r.now, followed: r.now}
		}
		known[id] = p
	}
	r.progress = known
}
