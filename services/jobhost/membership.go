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

// open waits until it is known who founds the group or who belongs to it, and
// opens the replica. It returns nil when ctx ends before.
func (s *Server) open(ctx context.Context) (*replicated.Group[jobs.Answer], error) {
	id, err := replicated.ID(s.cfg.Addr)
	if err != nil {
		return nil, err
	}
	founders, known := s.awaitFounders(ctx)
	if !known || !s.awaitNeed(ctx, id, founders) {
		return nil, nil
	}
	peers := slices.Clone(founders)
	for _, host := range s.cfg.Follower.Stores() {
		peers = append(peers, append([]uint64{host.ID}, host.Voters...)...)
	}
	founds := s.cfg.Founder && slices.Contains(founders, id)
	if founds {
		peers = founders
	}
	slices.Sort(peers)
	return replicated.Open[jobs.Answer](replicated.Config{
		Group:         jobGroup,
		Addr:          s.cfg.Addr,
		Peers:         slices.Compact(peers),
		Joining:       !founds,
		Voters:        s.cfg.Voters,
		Dir:           s.cfg.DataDir,
		SnapshotEvery: snapshotEvery,
		SnapshotBytes: snapshotBytes,
		Complete:      s.state.complete.Load,
		ClientTLS:     s.cfg.ClientTLS,
		Log:           s.log,
		Metrics:       s.cfg.Metrics,
	}, s.state)
}

// awaitFounders waits for the founders of the group. A host with state need not
// wait: its log names the others.
func (s *Server) awaitFounders(ctx context.Context) (founders []uint64, known bool) {
	hasState := replicated.HasState(s.cfg.DataDir)
	for {
		changed := s.cfg.Follower.Changed()
		if founders := s.cfg.Follower.Catalog().InitialHosts; len(founders) > 0 {
			return founders, true
		}
		if hasState {
			return nil, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		case <-time.After(reviewEvery):
		}
	}
}

// awaitNeed waits until the group needs this host: at once when it founds the
// group, belonged to it or may have, else when one of the members or the spare
// one is gone. It returns false when ctx ends before.
func (s *Server) awaitNeed(ctx context.Context, id uint64, founders []uint64) bool {
	if len(founders) == 0 || slices.Contains(founders, id) {
		return true
	}
	for !isNeeded(id, s.cfg.Voters+spareLearners, s.cfg.Follower.Stores()) {
		if !pause.For(ctx, reviewEvery) {
			return false
		}
	}
	return true
}

// isNeeded reports whether a host is to join a group that wants so many hosts.
// hosts are those that are heard, the leader first. Of several that could join
// the ones with the lowest ids do.
func isNeeded(id uint64, wanted int, hosts []rpc.StorageState) bool {
	if len(hosts) == 0 || !hosts[0].Leads {
		return false
	}
	members := slices.Concat(hosts[0].Voters, hosts[0].Learners)
	if slices.Contains(members, id) {
		return true
	}
	present, before := 0, 0
	for i := range hosts {
		switch {
		case slices.Contains(members, hosts[i].ID):
			present++
		case hosts[i].ID < id:
			before++
		}
	}
	return present+before < wanted
}

// review passes the retired hosts on to the replica, and tells the others when
// the leadership changes.
func (s *Server) review(ctx context.Context, group *replicated.Group[jobs.Answer]) error {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-group.Replica().LeadershipChanged():
			s.cfg.Follower.Nudge()
		case <-ticker.C:
		}
		var retired []uint64
		for _, r := range s.cfg.Follower.Catalog().Retired {
			retired = append(retired, r.Host)
		}
		group.Replica().SetRetiredHosts(retired)
	}
}
