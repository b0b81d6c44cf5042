package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/replicated"
)

// siteStatus returns this host's view of the site, for operators.
func (s *Server) siteStatus(_ context.Context, _ *rpc.StatusRequest) (*rpc.SiteStatus, error) {
	state := s.state.state()
	members, targets := s.registry.status(time.Now())
	return &rpc.SiteStatus{
		Host: s.cfg.Name, Replica: s.group.Status(), CatalogConfirmed: s.isCurrent(), Version: state.Version, DataCentresOut: state.DataCentresOut,
		Retired: state.Retired, ControlHosts: replicated.Addrs(s.group.Members()), Members: members, Targets: targets,
	}, nil
}

// status returns the members sorted by role and name, and the targets sorted by
// service and ID.
func (r *registry) status(now time.Time) ([]rpc.MemberStatus, []rpc.TargetStatus) {
	loads := r.sumPeerLoads(now, "").Loads
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []rpc.MemberStatus
	for _, m := range r.members {
		status := rpc.MemberStatus{Name: m.load.Member.Name, Role: m.load.Member.Role, DataCentre: m.load.Member.DataCentre,
			SilentMS: now.Sub(m.reportedAt).Milliseconds()}
		if store := m.load.Member.Storage; store != nil {
			status.Addr, _ = replicated.Addr(store.ID)
			status.Leads = store.Leads
		}
		members = append(members, status)
	}
	var targets []rpc.TargetStatus
	for _, record := range r.roster.All() {
		targets = append(targets, rpc.TargetStatus{ID: record.ID, Service: record.Service, Addr: record.Addr, DataCentre: record.DataCentre, Version: record.Version,
			State: record.State.String(), Slots: record.Slots, Online: loads[record.ID].Online, Batch: loads[record.ID].Batch, SilentMS: now.Sub(record.ReceivedAt).Milliseconds()})
	}
	slices.SortFunc(members, func(a, b rpc.MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(targets, func(a, b rpc.TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return members, targets
}
