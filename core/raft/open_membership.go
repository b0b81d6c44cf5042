package raft

import "slices"

// isOpen reports whether hosts that are not configured may join.
func (r *Raft) isOpen() bool { return r.cfg.Voters > 0 }

// SetRetired names the hosts that are to have no vote. Each one keeps its vote
// until a learner of another host can take it.
func (r *Raft) SetRetired(hosts []uint64) { r.retired = hosts }

// maybeReplaced reports whether this voter has heard no leader for so long that
// the group may have gone on without it. It then asks to join, as it would
// never learn that it has no vote any more.
func (r *Raft) maybeReplaced() bool {
	return r.isOpen() && r.leader.IsZero() && r.now.Sub(r.heard) >= 2*r.cfg.ElectionTimeout
}

// probedHosts are the hosts that an outsider asks: those that it is told and
// those that its log names.
func (r *Raft) probedHosts() []uint64 {
	hosts := slices.Clone(r.cfg.Peers)
	if r.isOpen() {
		for _, member := range r.log.membership().Members() {
			hosts = append(hosts, member.ID)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// withWantedVoter gives the vote to a learner of a new host, if one is free or
// a voter has to yield its own.
func (r *Raft) withWantedVoter(m Membership, learner ReplicaID) (next Membership, wanted bool) {
	if slices.Contains(r.retired, learner.ID) {
		return m, false
	}
	if len(m.Voters) < r.cfg.Voters {
		return m.withPromoted(learner), true
	}
	for _, voter := range m.Voters {
		if r.mustYield(voter) {
			next := m.withPromoted(learner)
			next.Voters = without(next.Voters, voter.ID)
			return next, true
		}
	}
	return m, false
}

// mustYield reports whether a voter is retired or has been silent for too long.
func (r *Raft) mustYield(voter ReplicaID) bool {
	if slices.Contains(r.retired, voter.ID) {
		return true
	}
	return voter != r.id && r.isSilent(voter)
}

// isSilent reports whether a member has not answered for ReplaceAfter.
func (r *Raft) isSilent(id ReplicaID) bool {
	p := r.progress[id]
	if p == nil {
		return false
	}
	since := p.followed
	if p.heard.After(since) {
		since = p.heard
	}
	return r.now.Sub(since) >= r.cfg.ReplaceAfter
}

// silentLearner returns the host of a learner that is gone, or 0. It joins
// anew when it returns.
func (r *Raft) silentLearner(m Membership) uint64 {
	if !r.isOpen() {
		return 0
	}
	for _, id := range m.Learners {
		if r.isSilent(id) {
			return id.ID
		}
	}
	return 0
}
