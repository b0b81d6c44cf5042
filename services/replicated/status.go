package replicated

import (
	"banyanwalk/core/raft"
	"banyanwalk/infra/rpc"
)

// Status returns the state of this host's replica for operators.
func (g *Group[R]) Status() rpc.ReplicaStatus {
	status := g.replica.Status()
	leader, _ := Addr(status.Leader)
	if status.Leader == 0 {
		leader = ""
	}
	return rpc.ReplicaStatus{
		Leader: leader, Leads: status.IsLeader, Term: status.Term, Commit: status.Commit, Applied: status.Applied,
		Voters: addrs(status.Voters), Learners: addrs(status.Learners), Changing: len(status.Outgoing) > 0,
	}
}

func addrs(replicas []raft.ReplicaID) []string {
	all := make([]string, 0, len(replicas))
	for _, id := range IDs(replicas) {
		if addr, found := Addr(id); found {
			all = append(all, addr)
		}
	}
	return all
}
