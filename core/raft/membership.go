package raft

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// Membership is the set of replicas that make up a group.
//
// While Outgoing is not empty the group is in a joint configuration: a quorum
// is then a majority of Voters and a majority of Outgoing. Every change of
// voters passes through a joint configuration, so replacing a replica that lost
// its disk needs only the hosts that were healthy before.
type Membership struct {
	Voters   []ReplicaID `msgpack:"v"`           // sorted
	Outgoing []ReplicaID `msgpack:"o,omitempty"` // voters before the change in progress, sorted
	Learners []ReplicaID `msgpack:"l,omitempty"` // receive the log but have no vote, sorted
}

// IsJoint reports whether a change of voters is in progress.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// IsVoter reports whether id is in Voters or Outgoing.
func (m Membership) IsVoter(id ReplicaID) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Members returns all voters and learners, sorted and without duplicates.
func (m Membership) Members() []ReplicaID {
	all := slices.Concat(m.Voters, m.Outgoing, m.Learners)
	slices.SortFunc(all, compareReplicas)
	return slices.Compact(all)
}

// voter returns the incarnation of host id among the voters.
func (m Membership) voter(id uint64) (ReplicaID, bool) {
	return findHost(m.Voters, id)
}

// learner returns the incarnation of host id among the learners.
func (m Membership) learner(id uint64) (ReplicaID, bool) {
	return findHost(m.Learners, id)
}

func findHost(set []ReplicaID, id uint64) (ReplicaID, bool) {
	i := slices.IndexFunc(set, func(r ReplicaID) bool { return r.ID == id })
	if i < 0 {
		return ReplicaID{}, false
	}
	return set[i], true
}

// withLearner adds id as a learner in place of any other incarnation of the
// same host among the learners.
func (m Membership) withLearner(id ReplicaID) Membership {
	next := m.clone()
	next.Learners = replaceHost(next.Learners, id)
	return next
}

// withoutLearner removes the learner of host id.
func (m Membership) withoutLearner(id uint64) Membership {
	next := m.clone()
	next.Learners = withoutHost(next.Learners, id)
	return next
}

// withPromoted returns the joint configuration in which id is a voter, in place
// of any former incarnation of its host.
func (m Membership) withPromoted(id ReplicaID) Membership {
	next := m.clone()
	next.Outgoing = slices.Clone(m.Voters)
	next.Learners = withoutHost(next.Learners, id.ID)
	next.Voters = replaceHost(next.Voters, id)
	return next
}

// withRemoved returns the membership without host id: a joint configuration if
// the host is a voter.
func (m Membership) withRemoved(id uint64) Membership {
	next := m.clone()
	next.Learners = withoutHost(next.Learners, id)
	if _, ok := m.voter(id); !ok {
		return next
	}
	next.Outgoing = slices.Clone(m.Voters)
	next.Voters = withoutHost(next.Voters, id)
	return next
}

// withoutOutgoing returns the configuration that ends a joint one: replicas that
// are only in Outgoing are removed.
func (m Membership) withoutOutgoing() Membership {
	next := m.clone()
	next.Outgoing = nil
	return next
}

func (m Membership) clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Outgoing: slices.Clone(m.Outgoing),
		Learners: slices.Clone(m.Learners),
	}
}

func withoutHost(set []ReplicaID, id uint64) []ReplicaID {
	return slices.DeleteFunc(set, func(r ReplicaID) bool { return r.ID == id })
}

func replaceHost(set []ReplicaID, id ReplicaID) []ReplicaID {
	set = append(withoutHost(set, id.ID), id)
	slices.SortFunc(set, compareReplicas)
	return set
}

// majorityValue returns the highest value that a majority of set has reached.
func majorityValue(set []ReplicaID, value func(ReplicaID) uint64) uint64 {
	values := make([]uint64, 0, 8)
	for _, id := range set {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumValue returns the highest value that a quorum has reached: a majority of
// Voters and, in a joint configuration, a majority of Outgoing.
func (m Membership) quorumValue(value func(ReplicaID) uint64) uint64 {
	if len(m.Voters) == 0 {
		return 0
	}
	reached := majorityValue(m.Voters, value)
	if m.IsJoint() {
		reached = min(reached, majorityValue(m.Outgoing, value))
	}
	return reached
}

// hasQuorum reports whether the replicas for which ok returns true form a quorum.
func (m Membership) hasQuorum(ok func(ReplicaID) bool) bool {
	return m.quorumValue(func(id ReplicaID) uint64 {
		if ok(id) {
			return 1
		}
		return 0
	}) == 1
}

// maxMembers limits the number of members of each set when decoding.
const maxMembers = 64

// Encode returns the membership as the data of an EntryMembership.
func (m Membership) Encode() []byte {
	var out []byte
	for _, set := range [][]ReplicaID{m.Voters, m.Outgoing, m.Learners} {
		out = binary.AppendUvarint(out, uint64(len(set)))
		for _, id := range set {
			out = binary.AppendUvarint(out, id.ID)
			out = binary.LittleEndian.AppendUint64(out, id.Incarnation)
		}
	}
	return out
}

// DecodeMembership decodes the output of Encode.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	for _, set := range []*[]ReplicaID{&m.Voters, &m.Outgoing, &m.Learners} {
		n, size := binary.Uvarint(data)
		if size <= 0 || n > maxMembers {
			return Membership{}, errors.New("raft: malformed membership")
		}
		data = data[size:]
		for range n {
			id, size := binary.Uvarint(data)
			if size <= 0 || len(data) < size+8 {
				return Membership{}, errors.New("raft: truncated membership")
			}
			incarnation := binary.LittleEndian.Uint64(data[size:])
			*set = append(*set, ReplicaID{ID: id, Incarnation: incarnation})
			data = data[size+8:]
		}
	}
	if len(data) != 0 {
		return Membership{}, errors.New("raft: trailing bytes after membership")
	}
	return m, nil
}
