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
	foundEvery = 250 * time.Millisecond
	// foundAfter is how long the set of storage hosts must have stayed the
	// same before it founds the job group; hosts start within a second.
	foundAfter = 1 * time.Second
	// foundAtLatest is how long the group waits for the wanted number of hosts.
	foundAtLatest = 4 * time.Second
	// storageSilence is after how long a storage host counts as down.
	storageSilence = 2 * time.Second
)

// founder watches which storage hosts have come, on the leader.
type founder struct {
	seen  []uint64
	since time.Time
	first time.Time
}

// foundStorage names the founders of the job group once they have all come.
func (s *Server) foundStorage(ctx context.Context, now time.Time) {
	if len(s.state.state().InitialHosts) > 0 {
		return
	}
	var hosts []rpc.Member
	for _, m := range s.board.stores(now, storageSilence) {
		if m.Store.Founder {
			hosts = append(hosts, m)
		}
	}
	if !s.founder.settled(now, hosts, s.cfg.Voters) {
		return
	}
	chosen := spread(hosts, s.cfg.Voters)
	err := s.execute(ctx, catalog.Command{Bootstrap: &catalog.BootstrapStorage{Hosts: chosen}})
	s.log.Info("storage_founded", "hosts", len(chosen), "known", len(hosts), "error", err)
}

// settled reports whether the hosts may found the group.
func (f *founder) settled(now time.Time, hosts []rpc.Member, wanted int) bool {
	var seen []uint64
	for _, m := range hosts {
		seen = append(seen, m.Store.ID)
	}
	slices.Sort(seen)
	if len(seen) == 0 {
		*f = founder{}
		return false
	}
	if f.first.IsZero() {
		f.first = now
	}
	if !slices.Equal(seen, f.seen) {
		f.seen, f.since = seen, now
	}
	enough := len(seen) >= wanted || now.Sub(f.first) >= foundAtLatest
	return enough && now.Sub(f.since) >= foundAfter
}

// spread chooses hosts from as many data centres as possible, and returns
// their replica ids, sorted.
func spread(hosts []rpc.Member, wanted int) []uint64 {
	slices.SortFunc(hosts, func(a, b rpc.Member) int { return cmp.Compare(a.Store.ID, b.Store.ID) })
	taken := make(map[string]int)
	var chosen []uint64
	for len(chosen) < wanted && len(chosen) < len(hosts) {
		best := -1
		for i, m := range hosts {
			if slices.Contains(chosen, m.Store.ID) {
				continue
			}
			if best < 0 || taken[m.DataCentre] < taken[hosts[best].DataCentre] {
				best = i
			}
		}
		chosen = append(chosen, hosts[best].Store.ID)
		taken[hosts[best].DataCentre]++
	}
	slices.Sort(chosen)
	return chosen
}

// Retire asks for a storage host to be emptied. It fails with UnknownName for
// an unknown host and with Overloaded when too few hosts would be left.
func (s *Server) Retire(ctx context.Context, name string) error {
	if _, found := s.state.state().Retirement(name); found {
		return nil
	}
	now := time.Now()
	left, id := s.board.without(now, name, s.state.state())
	var err error
	switch {
	case id == 0 && now.Sub(s.started) < memberSilence:
		err = outcome.New(outcome.NoQuorum, outcome.NotRun, "this host has just started and may not know %q yet", name)
	case id == 0:
		err = outcome.New(outcome.UnknownName, outcome.NotRun, "no storage host %q", name)
	case left < s.cfg.Voters:
		err = outcome.New(outcome.Overloaded, outcome.NotRun, "%d storage hosts would be left of %d", left, s.cfg.Voters)
	default:
		err = s.execute(ctx, catalog.Command{Retire: &catalog.RetireHost{Host: id, Name: name}})
	}
	s.log.Info("storage_retire", "host", name, "left", left, "error", err)
	return err
}

// Retired reports whether a storage host holds nothing any more that the
// group needs.
func (s *Server) Retired(ctx context.Context, name string) (done bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
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

// endRetirements notes which retired hosts have no vote any more.
func (s *Server) endRetirements(ctx context.Context, now time.Time) {
	state := s.state.state()
	for _, r := range state.Retired {
		if r.Done {
			continue
		}
		leader := storeLeader(s.board.stores(now, storageSilence))
		if leader == nil || len(leader.Voters) < s.cfg.Voters || slices.Contains(leader.Voters, r.Host) {
			continue
		}
		err := s.execute(ctx, catalog.Command{Retire: &catalog.RetireHost{Host: r.Host, Name: r.Name, Done: true}})
		s.log.Info("storage_retired", "host", r.Name, "voters", len(leader.Voters), "error", err)
	}
}

// storeLeader returns the state of the storage host that leads the newest
// term, or nil.
func storeLeader(hosts []rpc.Member) *rpc.StorageState {
	if leader := rpc.StorageLeader(hosts); leader >= 0 {
		return hosts[leader].Store
	}
	return nil
}
