package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

const (
	housekeepInterval = 250 * time.Millisecond
	// bootstrapSettleTime is how long the set of storage hosts must have been
	// unchanged before the job group is created. Hosts start within a second of
	// each other.
	bootstrapSettleTime = 1 * time.Second
	// bootstrapMaxWait is how long the bootstrap waits for the wanted number of hosts.
	bootstrapMaxWait = 4 * time.Second
	// storageTimeout is how long a storage host may be silent before it counts as
	// down.
	storageTimeout = 2 * time.Second
)

// bootstrapState tracks, on the leader, which storage hosts have appeared.
type bootstrapState struct {
	hosts          []uint64
	unchangedSince time.Time
	firstSeen      time.Time
}

// bootstrapStorage records the initial hosts of the job group once all of them have
// appeared.
func (s *Server) bootstrapStorage(ctx context.Context, now time.Time) {
	if len(s.state.state().InitialHosts) > 0 {
		return
	}
	var hosts []rpc.Member
	for _, m := range s.registry.storageHosts(now, storageTimeout) {
		if m.Storage.MayBootstrap {
			hosts = append(hosts, m)
		}
	}
	if !s.bootstrap.settled(now, hosts, s.cfg.VoterCount) {
		return
	}
	chosen := chooseInitialHosts(hosts, s.cfg.VoterCount)
	err := s.execute(ctx, catalog.Command{Bootstrap: &catalog.BootstrapStorage{Hosts: chosen}})
	s.log.Info("storage_founded", "hosts", len(chosen), "known", len(hosts), "error", err)
}

// settled reports whether the hosts may form the group now.
func (s *bootstrapState) settled(now time.Time, hosts []rpc.Member, wanted int) bool {
	var ids []uint64
	for _, m := range hosts {
		ids = append(ids, m.Storage.ID)
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		*s = bootstrapState{}
		return false
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = now
	}
	if !slices.Equal(ids, s.hosts) {
		s.hosts, s.unchangedSince = ids, now
	}
	enough := len(ids) >= wanted || now.Sub(s.firstSeen) >= bootstrapMaxWait
	return enough && now.Sub(s.unchangedSince) >= bootstrapSettleTime
}

// chooseInitialHosts chooses hosts from as many data centres as possible and returns
// their sorted replica IDs.
func chooseInitialHosts(hosts []rpc.Member, wanted int) []uint64 {
	slices.SortFunc(hosts, func(a, b rpc.Member) int { return cmp.Compare(a.Storage.ID, b.Storage.ID) })
	perDataCentre := make(map[string]int)
	var chosen []uint64
	for len(chosen) < wanted && len(chosen) < len(hosts) {
		best := -1
		for i, m := range hosts {
			if slices.Contains(chosen, m.Storage.ID) {
				continue
			}
			if best < 0 || perDataCentre[m.DataCentre] < perDataCentre[hosts[best].DataCentre] {
				best = i
			}
		}
		chosen = append(chosen, hosts[best].Storage.ID)
		perDataCentre[hosts[best].DataCentre]++
	}
	slices.Sort(chosen)
	return chosen
}

// Retire requests that a storage host be drained. It fails with UnknownName for
// an unknown host and with Overloaded if too few hosts would remain.
func (s *Server) Retire(ctx context.Context, name string) error {
	if _, found := s.state.state().Retirement(name); found {
		return nil
	}
	now := time.Now()
	left, id := s.registry.storageWithout(now, name, s.state.state())
	var err error
	switch {
	case id == 0 && now.Sub(s.startedAt) < memberTimeout:
		err = outcome.New(outcome.NoQuorum, outcome.NotRun, "this host has just started and may not know %q yet", name)
	case id == 0:
		err = outcome.New(outcome.UnknownName, outcome.NotRun, "no storage host %q", name)
	case left < s.cfg.VoterCount:
		err = outcome.New(outcome.Overloaded, outcome.NotRun, "%d storage hosts would be left of %d", left, s.cfg.VoterCount)
	default:
		err = s.execute(ctx, catalog.Command{Retire: &catalog.RetireHost{Host: id, Name: name}})
	}
	s.log.Info("storage_retire", "host", name, "left", left, "error", err)
	return err
}

// Retired reports whether the group no longer needs any data on a storage host.
func (s *Server) Retired(ctx context.Context, name string) (done bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := s.group.ReadBarrier(bounded); err != nil {
		return false, err
	}
	r, found := s.state.state().Retirement(name)
	if !found {
		return false, outcome.New(outcome.UnknownName, outcome.NotRun, "storage host %q is not being retired", name)
	}
	return r.Done, nil
}

// completeRetirements marks retired hosts that no longer have a vote as done.
func (s *Server) completeRetirements(ctx context.Context, now time.Time) {
	state := s.state.state()
	for _, r := range state.Retired {
		if r.Done {
			continue
		}
		leader := storageLeader(s.registry.storageHosts(now, storageTimeout))
		if leader == nil || len(leader.Voters) < s.cfg.VoterCount || slices.Contains(leader.Voters, r.Host) {
			continue
		}
		err := s.execute(ctx, catalog.Command{Retire: &catalog.RetireHost{Host: r.Host, Name: r.Name, Done: true}})
		s.log.Info("storage_retired", "host", r.Name, "voters", len(leader.Voters), "error", err)
	}
}

// storageLeader returns the state of the storage host that leads the newest term,
// or nil.
func storageLeader(hosts []rpc.Member) *rpc.StorageState {
	if leader := rpc.StorageLeader(hosts); leader >= 0 {
		return hosts[leader].Storage
	}
	return nil
}
