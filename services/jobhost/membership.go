package jobhost

import (
	"context"
	"slices"
	"time"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/replicated"
)

// openReplica waits until the group's initial hosts or members are known and the
// group needs this host, then opens the replica. It returns nil if ctx ends
// first.
func (s *Server) openReplica(ctx context.Context) (*replicated.Group[jobs.ApplyResult], error) {
	id, err := replicated.ID(s.cfg.Addr)
	if err != nil {
		return nil, err
	}
	initialHosts, known := s.waitForInitialHosts(ctx)
	if !known || !s.waitUntilNeeded(ctx, id, initialHosts) {
		return nil, nil
	}
	peers := slices.Clone(initialHosts)
	for _, host := range s.cfg.Follower.StorageHosts() {
		peers = append(peers, append([]uint64{host.ID}, host.Voters...)...)
	}
	isInitialHost := s.cfg.MayBootstrap && slices.Contains(initialHosts, id)
	if isInitialHost {
		peers = initialHosts
	}
	slices.Sort(peers)
	return replicated.Open[jobs.ApplyResult](replicated.Config{
		Group:         jobGroup,
		Addr:          s.cfg.Addr,
		Peers:         slices.Compact(peers),
		Joining:       !isInitialHost,
		VoterCount:    s.cfg.VoterCount,
		Dir:           s.cfg.DataDir,
		SnapshotEvery: snapshotEntries,
		SnapshotBytes: snapshotBytes,
		DataComplete:  s.state.hasAllTexts.Load,
		FS:            s.cfg.FS,
		ClientTLS:     s.cfg.ClientTLS,
		Log:           s.log,
		Metrics:       s.cfg.Metrics,
	}, s.state)
}

// waitForInitialHosts waits until the catalog names the group's initial hosts. A host with
// stored state does not wait, because its log names the other members. known is
// false if ctx ends first.
func (s *Server) waitForInitialHosts(ctx context.Context) (initialHosts []uint64, known bool) {
	hasState := replicated.HasState(s.cfg.DataDir)
	for {
		changed := s.cfg.Follower.Changed()
		if hosts := s.cfg.Follower.Catalog().InitialHosts; len(hosts) > 0 {
			return hosts, true
		}
		if hasState {
			return nil, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		case <-time.After(membershipPollInterval):
		}
	}
}

// waitUntilNeeded waits until the group needs this host. An initial host and a host that
// was a member, or may have been, are needed at once; any other is needed when a
// member or the spare learner is missing. It returns false if ctx ends first.
func (s *Server) waitUntilNeeded(ctx context.Context, id uint64, initialHosts []uint64) bool {
	if len(initialHosts) == 0 || slices.Contains(initialHosts, id) {
		return true
	}
	for !shouldJoin(id, s.cfg.VoterCount+spareLearners, s.cfg.Follower.StorageHosts()) {
		if !pause.For(ctx, membershipPollInterval) {
			return false
		}
	}
	return true
}

// shouldJoin reports whether host id should join a group that wants the given
// number of hosts. hosts are the reachable storage hosts, the leader first. If
// there are several candidates, those with the lowest ids join.
func shouldJoin(id uint64, wantedHosts int, hosts []rpc.StorageState) bool {
	if len(hosts) == 0 || !hosts[0].Leads {
		return false
	}
	members := slices.Concat(hosts[0].Voters, hosts[0].Learners)
	if slices.Contains(members, id) {
		return true
	}
	presentMembers, lowerCandidates := 0, 0
	for i := range hosts {
		switch {
		case slices.Contains(members, hosts[i].ID):
			presentMembers++
		case hosts[i].ID < id:
			lowerCandidates++
		}
	}
	return presentMembers+lowerCandidates < wantedHosts
}

// watchMembership passes the retired hosts of the catalog to the replica, and
// publishes this host's state at once when the leadership changes.
func (s *Server) watchMembership(ctx context.Context, group *replicated.Group[jobs.ApplyResult]) error {
	ticker := time.NewTicker(membershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-group.Replica().LeadershipChanged():
			s.cfg.Follower.ReportNow()
		case <-ticker.C:
		}
		var retired []uint64
		for _, r := range s.cfg.Follower.Catalog().Retired {
			retired = append(retired, r.Host)
		}
		group.Replica().SetRetiredHosts(retired)
	}
}
