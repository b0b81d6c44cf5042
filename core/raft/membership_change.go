package raft

import "slices"

// blankPeer is a peer that answered a probe with a blank folder.
type blankPeer struct {
	id   ReplicaID
	term uint64
}

// tickOutsider probes the peers while this replica has no leader and no vote,
// or only the vote in a group that it has formed and that never committed.
// For a leader that is the request to join; a blank replica also learns whether
// the peers are blank too, and forms the group when all have said so. A learner
// asks again because the entry that added it may be lost with its leader.
func (r *Raft) tickOutsider() {
	if r.now.Sub(r.probed) < r.cfg.HeartbeatInterval || (!r.log.isBlank() && r.inLease()) {
		return
	}
	r.probed = r.now
	for _, id := range r.probedHosts() {
		if id != r.id.ID {
			r.send(Message{Type: MsgProbe, To: ReplicaID{ID: id}})
		}
	}
	if r.log.isBlank() {
		r.maybeForm()
	}
}

func (r *Raft) handleProbe(m Message) {
	r.send(Message{Type: MsgProbeResp, To: m.From, Blank: r.log.isBlank()})
	if r.role == Leader {
		r.admitLearner(m.From)
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
	r.maybeForm()
}

// maybeForm forms the group once every configured peer is known to be blank.
// Only the lowest ID does so, hence there is one first entry. Its term is above
// all terms of the peers, so that it differs from the first entry of an earlier
// attempt that was lost together with its disk.
func (r *Raft) maybeForm() {
	if r.cfg.Joining || r.id.ID != slices.Min(r.cfg.Peers) {
		return
	}
	term := r.term
	first := Membership{Voters: []ReplicaID{r.id}}
	for _, id := range r.cfg.Peers {
		if id == r.id.ID {
			continue
		}
		peer, ok := r.blankPeers[id]
		if !ok {
			return
		}
		term = max(term, peer.term)
		first.Voters = replace(first.Voters, peer.id)
	}
	r.term = term + 1
	r.vote = ReplicaID{}
	r.blankPeers = map[uint64]blankPeer{}
	r.log.appendEntries([]Entry{{
		Index: 1,
		Term:  r.term,
		Type:  EntryMembership,
		Data:  first.Encode(),
	}})
	r.campaign(PreCandidate)
}

// admitLearner adds a replica that has no vote as a learner, when its host is a
// member under an incarnation that no longer answers, or is configured.
func (r *Raft) admitLearner(id ReplicaID) {
	membership := r.log.membership()
	if membership.IsVoter(id) || membership.IsLearner(id) || !r.mayChange() {
		return
	}
	voter, isVoter := membership.voter(id.ID)
	learner, isLearner := membership.learner(id.ID)
	switch {
	case !isVoter && !isLearner && !r.isOpen() && !slices.Contains(r.cfg.Peers, id.ID):
		return
	case isVoter && r.isActive(voter):
		return
	case isLearner && r.isActive(learner):
		return
	}
	r.changeMembership(membership.withLearner(id))
}

// mayChange reports whether a change of the membership may start.
func (r *Raft) mayChange() bool {
	return r.role == Leader &&
		r.log.committed >= r.opened &&
		r.log.membershipIndex() <= r.log.committed &&
		!r.log.membership().IsJoint()
}

// isActive reports whether a member has answered within an election timeout.
func (r *Raft) isActive(id ReplicaID) bool {
	if id == r.id {
		return true
	}
	p := r.progress[id]
	return p != nil && !p.heard.IsZero() && r.now.Sub(p.heard) < r.cfg.ElectionTimeout
}

func (r *Raft) changeMembership(next Membership) {
	r.appendAsLeader(EntryMembership, next.Encode())
	r.syncProgress()
}

// driveMembership takes the next step of a change: it leaves a committed joint
// configuration, gives the vote to a learner that has caught up, and drops a
// learner that never answered beside a voter that does.
func (r *Raft) driveMembership() {
	if r.role != Leader || r.log.committed < r.opened || r.log.membershipIndex() > r.log.committed {
		return
	}
	membership := r.log.membership()
	if membership.IsJoint() {
		r.changeMembership(membership.final())
		return
	}
	if !membership.IsVoter(r.id) {
		r.becomeFollower(r.term, ReplicaID{})
		return
	}
	if yielding := r.silentLearner(membership); yielding != 0 {
		r.changeMembership(membership.withoutLearner(yielding))
		return
	}
	for _, id := range membership.Learners {
		voter, isVoter := membership.voter(id.ID)
		switch {
		case r.mayVote(id) && !isVoter && r.isOpen():
			if next, wanted := r.withWantedVoter(membership, id); wanted {
				r.changeMembership(next)
				return
			}
		case r.mayVote(id):
			r.changeMembership(membership.withPromoted(id))
			return
		case isVoter && r.isActive(voter) && !r.isActive(id):
			r.changeMembership(membership.withoutLearner(id.ID))
			return
		}
	}
}

// mayVote reports whether a learner may be given the vote: it has synced the
// log up to the commit index, and holds the data that entries name, outside
// the log, up to where the log ended when it caught up.
func (r *Raft) mayVote(id ReplicaID) bool {
	p := r.progress[id]
	if p.match < r.log.committed || !r.isActive(id) {
		return false
	}
	if p.caughtUp == 0 {
		p.caughtUp = r.log.committed
	}
	return p.complete >= p.caughtUp
}

// SetComplete tells up to which index this replica holds all data that entries
// name outside the log.
func (r *Raft) SetComplete(index uint64) { r.complete = index }

// RemoveHost starts the removal of a host that is not to return.
func (r *Raft) RemoveHost(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.mayChange() {
		return ErrOverloaded
	}
	r.changeMembership(r.log.membership().withRemoved(id))
	return nil
}
