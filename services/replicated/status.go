package replicated

import (
	"slices"

	"banyanwalk/infra/rpc"
)

// Status returns the state of this host's replica for operators.
func (g *Group[R]) Status() rpc.ReplicaStatus {
	status := g.replica.Status()
	leader, found := Addr(status.Leader)
	if !found {
		leader = ""
	}
	return rpc.ReplicaStatus{
		Leader: leader, Leads: status.IsLeader, Term: status.Term, Commit: status.Commit, Applied: status.Applied,
		Voters: Addrs(IDs(status.Voters)), Learners: Addrs(IDs(status.Learners)), Changing: len(status.Outgoing) > 0,
	}
}

// Members returns the sorted ids of all replicas in the membership that this
// host knows.
func (g *Group[R]) Members() []uint64 {
	status := g.replica.Status()
	all := slices.Concat(IDs(status.Voters), IDs(status.Outgoing), IDs(status.Learners))
	slices.Sort(all)
	return slices.Compact(all)
}

// Addrs returns the wire addresses that replica ids encode.
func Addrs(ids []uint64) []string {
	all := make([]string, 0, len(ids))
	for _, id := range ids {
		if addr, found := Addr(id); found {
			all = append(all, addr)
		}
	}
	return all
}
