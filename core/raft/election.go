package raft

import "time"

func (r *Raft) resetTimer() {
	r.electionTimerStart = r.now
	timeout := int64(r.cfg.ElectionTimeout)
	r.electionTimerDuration = time.Duration(timeout + r.cfg.Rand.Int64N(timeout))
}

// setShortTimer lets the next campaign start after one to three heartbeat intervals.
func (r *Raft) setShortTimer() {
	interval := int64(r.cfg.HeartbeatInterval)
	r.electionTimerDuration = time.Duration(interval + r.cfg.Rand.Int64N(2*interval))
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
	r.unconfirmedRounds = nil
	r.pendingReads = nil
	r.leaseStart = time.Time{}
	r.resetTimer()
}

// acceptLeader follows the sender as the leader of the current term.
func (r *Raft) acceptLeader(leader ReplicaID) {
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.lastLeaderContact = r.now
	r.allowedForStall = false
	r.electionsLost = 0
	r.resetTimer()
}

// campaign starts a pre-vote (PreCandidate) or an election (Candidate) for the
// next term. Only the election increments the term.
func (r *Raft) campaign(role Role) { r.campaignWithTransfer(role, false) }

// campaignWithTransfer is campaign; transfer is set when the leader of the
// current term has stepped down in favour of this replica.
func (r *Raft) campaignWithTransfer(role Role, transfer bool) {
	r.role = role
	r.leader = ReplicaID{}
	r.votes = map[ReplicaID]bool{r.id: true}
	r.resetTimer()
	request := Message{
		Type:     MsgVote,
		Index:    r.log.lastIndex(),
		LogTerm:  r.log.lastTerm(),
		Term:     r.term + 1,
		Transfer: transfer,
	}
	if role == Candidate {
		r.term++
		r.vote = r.id
		r.electionsLost++
		if r.electionsLost == 1 {
			r.setShortTimer() // a split vote; later ones may come from slow disks or links
		}
	} else {
		request.Type = MsgPreVote
		r.setShortTimer() // it changes no state of the others
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
	expected := PreCandidate
	if m.Type == MsgVoteResp {
		expected = Candidate
	}
	if r.role != expected || m.Reject {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

// inLeaderLease reports whether this replica leads, or had contact with a leader
// or restarted within the election timeout. A leader's lease may then rely on
// this replica granting no vote.
func (r *Raft) inLeaderLease() bool {
	if r.role == Leader {
		return true
	}
	return !r.lastLeaderContact.IsZero() && r.now.Sub(r.lastLeaderContact) < r.cfg.ElectionTimeout
}

// handleVote answers MsgPreVote and MsgVote.
func (r *Raft) handleVote(m Message) {
	response := Message{Type: MsgPreVoteResp, To: m.From, Reject: true}
	if m.Type == MsgVote {
		response.Type = MsgVoteResp
	}
	// A leader that transferred its leadership has given up its lease.
	transferred := m.Transfer && m.Type == MsgVote && m.Term == r.term+1 && r.role != Leader
	if m.Term < r.term || (r.inLeaderLease() && !transferred) {
		// During a leader's lease the candidate's higher term is not adopted.
		r.send(response)
		return
	}
	if m.Type == MsgPreVote {
		response.Reject = !r.isUpToDate(m) || m.Term == r.term
		if !response.Reject {
			response.Term = m.Term
		}
		r.send(response)
		return
	}
	if m.Term > r.term {
		r.becomeFollower(m.Term, ReplicaID{})
	}
	response.Reject = !r.grantVote(m)
	r.send(response)
}

// isUpToDate reports whether the log of a candidate holds at least what this
// replica's log holds.
func (r *Raft) isUpToDate(m Message) bool {
	return m.LogTerm > r.log.lastTerm() || (m.LogTerm == r.log.lastTerm() && m.Index >= r.log.lastIndex())
}

// grantVote votes for the sender in the current term, if it may.
func (r *Raft) grantVote(m Message) bool {
	if !r.isUpToDate(m) {
		return false
	}
	if r.role == Candidate && (m.Index > r.log.lastIndex() || m.From.ID > r.id.ID) {
		r.resetTimer() // the vote is split: only the other one repeats it soon
	}
	if !r.vote.IsZero() && r.vote != m.From {
		return false
	}
	r.vote = m.From
	r.resetTimer()
	return true
}

// TransferLeadership transfers the leadership to an active voter that holds the
// whole log. The leader steps down, and so gives up its lease, before the other
// voter campaigns. It returns false if this replica doesn't lead, has uncommitted
// entries, or no other voter is up to date.
func (r *Raft) TransferLeadership(now time.Time) bool {
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
		r.campaignWithTransfer(Candidate, true)
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.electionsLost = 0
	r.leader = r.id
	r.votes = nil
	r.leaseStart = time.Time{}
	r.lastRound = 0
	r.unconfirmedRounds = nil
	r.pendingReads = nil
	r.progress = map[ReplicaID]*progress{}
	r.termStartIndex = r.appendAsLeader(EntryCommand, nil)
	r.syncProgress()
	r.sendRound()
}

// syncProgress adds and removes entries of r.progress so that it covers the
// members of the latest membership.
func (r *Raft) syncProgress() {
	members := r.log.membership().Members()
	updated := make(map[ReplicaID]*progress, len(members))
	for _, id := range members {
		p := r.progress[id]
		if p == nil {
			p = &progress{next: r.log.lastIndex() + 1, lastProgress: r.now, trackedSince: r.now}
		}
		updated[id] = p
	}
	r.progress = updated
}
