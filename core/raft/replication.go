package raft

import "time"

// tickLeader sends heartbeats, renews stalled replication, checks the quorum
// and drives changes of the membership.
func (r *Raft) tickLeader() {
	since := r.elected
	if r.leaseFrom.After(since) {
		since = r.leaseFrom
	}
	if r.now.Sub(since) >= r.cfg.ElectionTimeout {
		r.becomeFollower(r.term, ReplicaID{})
		return
	}
	if r.now.Sub(r.heartbeat) >= r.cfg.HeartbeatInterval {
		r.renewStalled()
		r.sendRound()
	}
	r.driveMembership()
}

// renewStalled sends again what has stayed without acknowledgement.
func (r *Raft) renewStalled() {
	for id, p := range r.progress {
		if id == r.id {
			continue
		}
		patience := 2 * r.cfg.HeartbeatInterval
		if p.state == stateSnapshot {
			patience = 2 * r.cfg.ElectionTimeout
		}
		if p.match < r.log.lastIndex() && r.now.Sub(p.advanced) >= patience {
			p.probeFrom(p.match+1, r.now)
		}
	}
}

// sendAppends sends each member what it lacks.
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

// sendAppend sends one message to a member and reports whether another one may
// follow at once.
func (r *Raft) sendAppend(id ReplicaID, p *progress) bool {
	last := r.log.lastIndex()
	if !p.wantsAppend(last, r.log.committed) {
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
		p.unanswered += len(entries[i].Data)
	}
	return p.next <= last
}

func (r *Raft) sendSnapshot(id ReplicaID, p *progress) {
	s := r.log.snapshot
	p.state = stateSnapshot
	p.advanced = r.now
	p.next = s.Index + 1
	r.send(Message{Type: MsgSnapshot, To: id, Index: s.Index, Commit: r.log.committed, Snapshot: &s})
}

func (r *Raft) handleAppend(m Message) {
	answer := Message{Type: MsgAppendResp, To: m.From}
	switch {
	case m.Index < r.log.committed:
		answer.Index = r.log.committed
	case !r.log.matches(m.Index, m.LogTerm):
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = r.conflictHint(m)
	case !validEntries(m):
		return
	default:
		r.log.merge(m.Entries)
		answer.Index = m.Index + uint64(len(m.Entries))
		r.log.committed = max(r.log.committed, min(m.Commit, answer.Index))
	}
	r.send(answer)
}

// validEntries checks what another process sent before it enters the log.
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

// conflictHint returns the index from which the leader should try next: the end
// of the log, or the first entry of the conflicting term.
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
	p.heard = r.now
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
	r.send(Message{Type: MsgHeartbeatResp, To: m.From, Round: m.Round, Index: r.complete})
}

func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.IsEmpty() || len(s.Membership.Voters) == 0 {
		return
	}
	answer := Message{Type: MsgAppendResp, To: m.From, Index: s.Index}
	switch {
	case s.Index <= r.log.committed:
		answer.Index = r.log.committed
	case r.log.matches(s.Index, s.Term):
		r.log.committed = s.Index
	default:
		r.log.restore(*s)
		r.installed = s
	}
	r.send(answer)
}

// maybeCommit commits what a quorum has synced, if it ends in the own term.
func (r *Raft) maybeCommit() {
	reached := r.log.membership().quorum(func(id ReplicaID) uint64 {
		if id == r.id {
			return r.log.stable
		}
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if reached <= r.log.committed || !r.log.matches(reached, r.term) {
		return
	}
	r.log.committed = reached
	r.driveMembership()
}

// roundTime is the moment at which a heartbeat round was sent.
type roundTime struct {
	round uint64
	sent  time.Time
}

// sendRound sends a heartbeat to each member. Its answers renew the lease and
// confirm the reads that came before it.
func (r *Raft) sendRound() {
	r.round++
	r.heartbeat = r.now
	r.rounds = append(r.rounds, roundTime{round: r.round, sent: r.now})
	for _, id := range r.log.membership().Members() {
		p := r.progress[id]
		if id == r.id || p == nil {
			continue
		}
		r.send(Message{
			Type:   MsgHeartbeat,
			To:     id,
			Round:  r.round,
			Commit: min(p.match, r.log.committed),
		})
	}
	r.confirmRounds()
}

func (r *Raft) handleHeartbeatResp(m Message) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil || m.Round > r.round {
		return
	}
	p.heard = r.now
	p.round = max(p.round, m.Round)
	p.complete = max(p.complete, m.Index)
	r.confirmRounds()
}

// confirmRounds renews the lease from the last round that a quorum answered.
func (r *Raft) confirmRounds() {
	confirmed := r.confirmedRound()
	for len(r.rounds) > 0 && r.rounds[0].round <= confirmed {
		r.leaseFrom = r.rounds[0].sent
		r.rounds = r.rounds[1:]
	}
	r.confirmReads(confirmed)
}

func (r *Raft) confirmedRound() uint64 {
	return r.log.membership().quorum(func(id ReplicaID) uint64 {
		if id == r.id {
			return r.round
		}
		if p := r.progress[id]; p != nil {
			return p.round
		}
		return 0
	})
}

// LeaseUntil returns the end of the leader's lease: until then no other replica
// can have been elected. It is zero unless this replica leads, has committed
// an entry of its term and has heard from a quorum, and with NoLease.
func (r *Raft) LeaseUntil() time.Time {
	if r.cfg.NoLease || r.role != Leader || r.leaseFrom.IsZero() || r.log.committed < r.opened {
		return time.Time{}
	}
	margin := r.cfg.ElectionTimeout * leaseMarginPercent / 100
	return r.leaseFrom.Add(r.cfg.ElectionTimeout - margin)
}
