package raft

import "time"

// tickLeader steps down if no quorum has answered a heartbeat within the election
// timeout (check-quorum), sends heartbeats, retries stalled replication and advances
// membership changes.
func (r *Raft) tickLeader() {
	if r.quorumLost() {
		r.becomeFollower(r.term, ReplicaID{})
		return
	}
	r.retryStalled()
	if r.now.Sub(r.lastHeartbeat) >= r.cfg.HeartbeatInterval {
		r.sendRound()
	}
	r.advanceMembershipChange()
}

// quorumLost reports whether a heartbeat round has been without the answers of a
// quorum for the election timeout. If every round was answered, the time since then
// is this replica's own delay. It has no lease then, and the next round tells whether
// it still leads.
func (r *Raft) quorumLost() bool {
	if r.confirmedRound() >= r.lastRound {
		return false
	}
	unansweredSince := r.lastHeartbeat
	if len(r.unconfirmedRounds) > 0 {
		unansweredSince = r.unconfirmedRounds[0].sent
	}
	return r.now.Sub(unansweredSince) >= r.cfg.ElectionTimeout
}

// retryStalled makes members whose acknowledged index has stopped growing go
// back to stateProbe, which sends the missing entries again.
func (r *Raft) retryStalled() {
	for id, p := range r.progress {
		if id == r.id {
			continue
		}
		p.noteKeptUp(r.log.committed, r.now)
		retryAfter := 2 * r.cfg.HeartbeatInterval
		if p.state == stateSnapshot {
			retryAfter = 2 * r.cfg.ElectionTimeout
		}
		if p.match < r.log.lastIndex() && r.now.Sub(p.lastProgress) >= retryAfter {
			p.probeFrom(p.match+1, r.now)
		}
	}
}

// sendAppends sends each member the entries or the snapshot that it lacks.
func (r *Raft) sendAppends() {
	for _, id := range r.log.membership().Members() {
		p := r.progress[id]
		if id == r.id || p == nil {
			continue
		}
		for r.sendAppend(id, p) {
		}
	}
}

// sendAppend sends one append or snapshot to a member, if flow control allows.
// It reports whether there are more entries to send at once.
func (r *Raft) sendAppend(id ReplicaID, p *progress) bool {
	last := r.log.lastIndex()
	if !p.shouldSendAppend(last, r.log.committed) {
		return false
	}
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(id, p)
		return false
	}
	entries := r.log.slice(p.next, last, maxAppendBytes)
	r.send(Message{
		Type:    MsgAppend,
		To:      id,
		Index:   p.next - 1,
		LogTerm: prevTerm,
		Commit:  r.log.committed,
		Entries: entries,
	})
	p.sentCommit = r.log.committed
	if p.state == stateProbe {
		p.paused = true
		return false
	}
	p.next += uint64(len(entries))
	for i := range entries {
		p.unackedBytes += len(entries[i].Data)
	}
	return p.next <= last
}

func (r *Raft) sendSnapshot(id ReplicaID, p *progress) {
	s := r.log.snapshot
	p.state = stateSnapshot
	p.lastProgress = r.now
	p.next = s.Index + 1
	r.send(Message{Type: MsgSnapshot, To: id, Index: s.Index, Commit: r.log.committed, Snapshot: &s})
}

func (r *Raft) handleAppend(m Message) {
	response := Message{Type: MsgAppendResp, To: m.From}
	switch {
	case m.Index < r.log.committed:
		response.Index = r.log.committed
	case !r.log.matches(m.Index, m.LogTerm):
		response.Reject = true
		response.Index = m.Index
		response.Hint = r.conflictHint(m)
	case !validEntries(m):
		return
	default:
		r.log.merge(m.Entries)
		response.Index = m.Index + uint64(len(m.Entries))
		r.log.committed = max(r.log.committed, min(m.Commit, response.Index))
	}
	r.send(response)
}

// validEntries checks the entries of a received append before they enter the
// log: consecutive indexes, no term above the message's, decodable memberships.
func validEntries(m Message) bool {
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			return false
		}
		if e.Type != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(e.Data); err != nil {
			return false
		}
	}
	return true
}

// conflictHint returns the entry that the leader should send next: the one after
// the end of the log, or the first one of the conflicting term.
func (r *Raft) conflictHint(m Message) uint64 {
	if m.Index > r.log.lastIndex() {
		return r.log.lastIndex() + 1
	}
	conflict, _ := r.log.term(m.Index)
	first := m.Index
	for first > r.log.committed+1 && r.log.matches(first-1, conflict) {
		first--
	}
	return first
}

func (r *Raft) handleAppendResp(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastResponse = r.now
	switch {
	case !m.Reject && m.Index > r.log.lastIndex():
		return
	case !m.Reject:
		p.acknowledge(m.Index, r.now)
		r.maybeCommit()
	case m.Index > p.match:
		p.probeFrom(min(m.Hint, m.Index), r.now)
	}
}

func (r *Raft) handleHeartbeat(m Message) {
	r.log.committed = max(r.log.committed, min(m.Commit, r.log.lastIndex()))
	r.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Index: r.dataIndex})
}

func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.IsEmpty() || len(s.Membership.Voters) == 0 {
		return
	}
	response := Message{Type: MsgAppendResp, To: m.From, Index: s.Index}
	switch {
	case s.Index <= r.log.committed:
		response.Index = r.log.committed
	case r.log.matches(s.Index, s.Term):
		r.log.committed = s.Index
	default:
		r.log.restore(*s)
		r.receivedSnapshot = s
	}
	r.send(response)
}

// maybeCommit advances the commit index to what a quorum has synced, if the entry
// there is of the current term (section 5.4.2 of the Raft paper).
func (r *Raft) maybeCommit() {
	synced := r.log.membership().quorumValue(func(id ReplicaID) uint64 {
		if id == r.id {
			return r.log.stable
		}
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if synced <= r.log.committed || !r.log.matches(synced, r.term) {
		return
	}
	r.log.committed = synced
	r.advanceMembershipChange()
}

// roundTime is the time at which a heartbeat round was sent.
type roundTime struct {
	round uint64
	sent  time.Time
}

// sendRound starts a heartbeat round: one heartbeat to each member. Its responses
// renew the lease and confirm the reads requested before the round.
func (r *Raft) sendRound() {
	r.lastRound++
	r.lastHeartbeat = r.now
	r.unconfirmedRounds = append(r.unconfirmedRounds, roundTime{round: r.lastRound, sent: r.now})
	for _, id := range r.log.membership().Members() {
		p := r.progress[id]
		if id == r.id || p == nil {
			continue
		}
		r.send(Message{
			Type:   MsgHeartbeat,
			To:     id,
			Round:  r.lastRound,
			Commit: min(p.match, r.log.committed),
		})
	}
	r.confirmRounds()
}

func (r *Raft) handleHeartbeatResp(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil || m.Round > r.lastRound {
		return
	}
	p.lastResponse = r.now
	p.acknowledgedRound = max(p.acknowledgedRound, m.Round)
	p.dataIndex = max(p.dataIndex, m.Index)
	r.confirmRounds()
}

// confirmRounds renews the lease, and confirms reads, up to the last heartbeat
// round that a quorum answered.
func (r *Raft) confirmRounds() {
	confirmed := r.confirmedRound()
	for len(r.unconfirmedRounds) > 0 && r.unconfirmedRounds[0].round <= confirmed {
		r.leaseStart = r.unconfirmedRounds[0].sent
		r.unconfirmedRounds = r.unconfirmedRounds[1:]
	}
	r.confirmReads(confirmed)
}

func (r *Raft) confirmedRound() uint64 {
	return r.log.membership().quorumValue(func(id ReplicaID) uint64 {
		if id == r.id {
			return r.lastRound
		}
		if p := r.progress[id]; p != nil {
			return p.acknowledgedRound
		}
		return 0
	})
}

// LeaseUntil returns the end of the leader's lease: until then no other replica
// can have been elected. It is zero unless this replica leads, has committed an
// entry of its term and has had a heartbeat round answered by a quorum. It is
// always zero with Config.NoLease.
func (r *Raft) LeaseUntil() time.Time {
	if r.cfg.NoLease || r.role != Leader || r.leaseStart.IsZero() || r.log.committed < r.termStartIndex {
		return time.Time{}
	}
	margin := r.cfg.ElectionTimeout * leaseMarginPercent / 100
	return r.leaseStart.Add(r.cfg.ElectionTimeout - margin)
}
