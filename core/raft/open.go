package raft

import "slices"

// hasOpenMembership reports whether hosts that are not configured may join.
func (r *Raft) hasOpenMembership() bool { return r.cfg.VoterCount > 0 }

// SetRetiredHosts sets the hosts that should not be voters. A retired host stays a
// voter until a learner of another host can replace it.
func (r *Raft) SetRetiredHosts(hosts []uint64) { r.retiredHosts = hosts }

// mayHaveBeenReplaced reports whether this voter has had no contact with a leader
// for so long that the group may have replaced it. It then asks to join, because
// nobody would tell it that it is no longer a voter.
func (r *Raft) mayHaveBeenReplaced() bool {
	return r.hasOpenMembership() && r.leader.IsZero() && r.now.Sub(r.lastLeaderContact) >= 2*r.cfg.ElectionTimeout
}

// probeTargets returns the hosts to send MsgProbe to: the configured peers and,
// if the membership is open, the members known from the log.
func (r *Raft) probeTargets() []uint64 {
	hosts := slices.Clone(r.cfg.Peers)
	if r.hasOpenMembership() {
		for _, member := range r.log.membership().Members() {
			hosts = append(hosts, member.ID)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// withNewHostPromoted promotes a learner whose host has no voter, if the group
// has fewer voters than wanted or one of them should be replaced.
func (r *Raft) withNewHostPromoted(m Membership, learner ReplicaID) (next Membership, wanted bool) {
	if slices.Contains(r.retiredHosts, learner.ID) {
		return m, false
	}
	if len(m.Voters) < r.cfg.VoterCount {
		return m.withPromoted(learner), true
	}
	for _, voter := range m.Voters {
		if r.shouldReplaceVoter(voter) {
			next := m.withPromoted(learner)
			next.Voters = withoutHost(next.Voters, voter.ID)
			return next, true
		}
	}
	return m, false
}

// stalledFactor is how many times ReplaceAfter the log of a voter that answers may stand
// still before the voter is replaced. Disks that are full or hang mostly recover before.
const stalledFactor = 4

// shouldReplaceVoter reports whether a voter is retired, unresponsive or unable to write.
func (r *Raft) shouldReplaceVoter(voter ReplicaID) bool {
	if slices.Contains(r.retiredHosts, voter.ID) {
		return true
	}
	return voter != r.id && (r.isUnresponsive(voter) || r.isStalled(voter))
}

// isStalled reports whether the log of a member has long stood still behind the commit
// index, though the member may answer: its disk refuses writes.
func (r *Raft) isStalled(id ReplicaID) bool {
	p := r.progress[id]
	return p != nil && !p.keptUpAt.IsZero() && r.now.Sub(p.keptUpAt) >= stalledFactor*r.cfg.ReplaceAfter
}

// isUnresponsive reports whether a member has not answered for ReplaceAfter.
func (r *Raft) isUnresponsive(id ReplicaID) bool {
	p := r.progress[id]
	if p == nil {
		return false
	}
	lastResponse := p.trackedSince
	if p.lastResponse.After(lastResponse) {
		lastResponse = p.lastResponse
	}
	return r.now.Sub(lastResponse) >= r.cfg.ReplaceAfter
}

// unresponsiveLearner returns the host of an unresponsive learner, or 0. If the
// host returns, it asks to join again.
func (r *Raft) unresponsiveLearner(m Membership) uint64 {
	if !r.hasOpenMembership() {
		return 0
	}
	for _, id := range m.Learners {
		if r.isUnresponsive(id) {
			return id.ID
		}
	}
	return 0
}
