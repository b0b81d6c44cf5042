package raft

import "slices"

// blankPeer is a peer that answered a probe as blank: its log has never held an
// entry.
type blankPeer struct {
	id   ReplicaID
	term uint64
}

// probePeers sends MsgProbe to the peers, at most once per heartbeat interval,
// while this replica has no leader and is not a voter, belongs to a group that
// never committed anything, or may have been replaced. A leader takes the probe
// as a request to join. A blank replica also learns whether its peers are blank,
// and bootstraps the group once all of them are. A learner probes too, because
// the entry that added it may have been lost with its leader.
func (r *Raft) probePeers() {
	if r.now.Sub(r.lastProbe) < r.cfg.HeartbeatInterval || (!r.log.isBlank() && r.inLeaderLease()) {
		return
	}
	r.lastProbe = r.now
	for _, id := range r.probeTargets() {
		if id != r.id.ID {
			r.send(Message{Type: MsgProbe, To: ReplicaID{ID: id}})
		}
	}
	if r.log.isBlank() {
		r.maybeBootstrap()
	}
}

func (r *Raft) handleProbe(m Message) {
	r.send(Message{Type: MsgProbeResp, To: m.From, Blank: r.log.isBlank()})
	if r.role == Leader {
		r.maybeAddLearner(m.From)
	}
}

func (r *Raft) handleProbeResp(m Message) {
	if !r.log.isBlank() {
		return
	}
	if !m.Blank {
		delete(r.blankPeers, m.From.ID)
		return
	}
	r.blankPeers[m.From.ID] = blankPeer{id: m.From, term: m.Term}
	r.maybeBootstrap()
}

// maybeBootstrap creates the group's first entry once every configured peer is
// known to be blank. Only the peer with the lowest ID does so, so there is only
// one such entry. Its term is above all terms of the peers, so that it differs
// from the first entry of an earlier bootstrap that was lost with its disk.
func (r *Raft) maybeBootstrap() {
	if r.cfg.Joining || r.id.ID != slices.Min(r.cfg.Peers) {
		return
	}
	term := r.term
	initial := Membership{Voters: []ReplicaID{r.id}}
	for _, id := range r.cfg.Peers {
		if id == r.id.ID {
			continue
		}
		peer, ok := r.blankPeers[id]
		if !ok {
			return
		}
		term = max(term, peer.term)
		initial.Voters = replaceHost(initial.Voters, peer.id)
	}
	r.term = term + 1
	r.vote = ReplicaID{}
	r.blankPeers = map[uint64]blankPeer{}
	r.log.appendEntries([]Entry{{
		Index: 1,
		Term:  r.term,
		Type:  EntryMembership,
		Data:  initial.Encode(),
	}})
	r.campaign(PreCandidate)
}

// maybeAddLearner adds a replica that is not yet a member as a learner. Its host
// must be configured or already a member, unless the membership is open, and no
// other incarnation of the host may be active.
func (r *Raft) maybeAddLearner(id ReplicaID) {
	membership := r.log.membership()
	if membership.IsVoter(id) || membership.IsLearner(id) || !r.canChangeMembership() {
		return
	}
	voter, isVoter := membership.voter(id.ID)
	learner, isLearner := membership.learner(id.ID)
	switch {
	case !isVoter && !isLearner && !r.hasOpenMembership() && !slices.Contains(r.cfg.Peers, id.ID):
		return
	case isVoter && r.isActive(voter):
		return
	case isLearner && r.isActive(learner):
		return
	}
	r.changeMembership(membership.withLearner(id))
}

// canChangeMembership reports whether a membership change may start: the leader
// has committed an entry of its term and no other change is in progress.
func (r *Raft) canChangeMembership() bool {
	return r.role == Leader &&
		r.log.committed >= r.termStartIndex &&
		r.log.membershipIndex() <= r.log.committed &&
		!r.log.membership().IsJoint()
}

// isActive reports whether a member has answered within an election timeout.
func (r *Raft) isActive(id ReplicaID) bool {
	if id == r.id {
		return true
	}
	p := r.progress[id]
	return p != nil && !p.lastResponse.IsZero() && r.now.Sub(p.lastResponse) < r.cfg.ElectionTimeout
}

func (r *Raft) changeMembership(next Membership) {
	r.appendAsLeader(EntryMembership, next.Encode())
	r.syncProgress()
}

// advanceMembershipChange takes the next step of a membership change: it leaves a
// committed joint configuration, steps down if this leader is no longer a voter,
// removes a learner that is unresponsive, or inactive while its host has an
// active voter, or promotes a learner that has caught up.
func (r *Raft) advanceMembershipChange() {
	if r.role != Leader || r.log.committed < r.termStartIndex || r.log.membershipIndex() > r.log.committed {
		return
	}
	membership := r.log.membership()
	if membership.IsJoint() {
		r.changeMembership(membership.withoutOutgoing())
		return
	}
	if !membership.IsVoter(r.id) {
		r.becomeFollower(r.term, ReplicaID{})
		return
	}
	if host := r.unresponsiveLearner(membership); host != 0 {
		r.changeMembership(membership.withoutLearner(host))
		return
	}
	for _, id := range membership.Learners {
		voter, isVoter := membership.voter(id.ID)
		switch {
		case r.canPromote(id) && !isVoter && r.hasOpenMembership():
			if next, wanted := r.withNewHostPromoted(membership, id); wanted {
				r.changeMembership(next)
				return
			}
		case r.canPromote(id):
			r.changeMembership(membership.withPromoted(id))
			return
		case isVoter && r.isActive(voter) && !r.isActive(id):
			r.changeMembership(membership.withoutLearner(id.ID))
			return
		}
	}
}

// canPromote reports whether a learner may become a voter: it has synced the log
// up to the commit index, and holds the data outside the log that entries refer
// to, up to the commit index at which it first caught up.
func (r *Raft) canPromote(id ReplicaID) bool {
	p := r.progress[id]
	if p.match < r.log.committed || !r.isActive(id) {
		return false
	}
	if p.catchUpIndex == 0 {
		p.catchUpIndex = r.log.committed
	}
	return p.dataIndex >= p.catchUpIndex
}

// SetDataIndex sets the index up to which this replica holds all data outside the
// log that entries refer to.
func (r *Raft) SetDataIndex(index uint64) { r.dataIndex = index }

// RemoveHost starts the permanent removal of a host from the membership.
func (r *Raft) RemoveHost(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.canChangeMembership() {
		return ErrOverloaded
	}
	r.changeMembership(r.log.membership().withRemoved(id))
	return nil
}
