package follow

import (
	"strconv"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/core/quota"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/rpc"
)

// ApplyPush merges one push from a control host.
func (f *Follower) ApplyPush(now time.Time, from string, push *rpc.FollowPush) {
	f.Seed(push.ControlHosts)
	if push.Relay {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPush = now
	viewChanged := f.mergeCatalog(from, push)
	if f.mergeTargets(now, push.Targets) {
		viewChanged = true
	}
	if f.mergeLeaving(now, from, push.Leaving) {
		viewChanged = true
	}
	f.mergeVerdicts(now, from, push.Verdicts)
	f.lastPushes[from] = now
	if f.primary == "" && f.Buckets.Bounded() { // a gateway that has just started may spend little until it hears of the others
		f.choosePrimary(now)
	}
	if push.ConfirmedAgeMS != nil {
		f.mergeConfirmedAge(time.Duration(*push.ConfirmedAgeMS) * time.Millisecond)
	}
	if len(push.StorageHosts) > 0 {
		f.storageHosts, f.storageHostsReceivedAt = push.StorageHosts, now
		f.updateBrokers(now)
		viewChanged = true
	}
	if push.PeerLoads != nil {
		f.mergePeerLoads(now, from, push.PeerLoads)
	}
	if viewChanged {
		f.notifyChanged()
	}
}

// notifyChanged tells that the view has changed. The caller holds the lock.
func (f *Follower) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// mergeCatalog takes the catalog of a push. An early one counts only until a
// confirmed one has come; after that it is kept until its sender confirms it, as the
// sender does not repeat it then.
func (f *Follower) mergeCatalog(from string, push *rpc.FollowPush) bool {
	changed := false
	switch {
	case push.Catalog != nil:
		changed = f.takeCatalog(from, push.Catalog)
		f.confirmCatalog(from, push.Catalog.State.Revision)
		delete(f.unconfirmed, from)
	case push.EarlyCatalog != nil && f.cfg.AcceptEarly && (f.table.Load() == nil || f.early.Load()):
		f.early.Store(true) // before the table is visible
		changed = f.takeCatalog(from, push.EarlyCatalog)
	case push.EarlyCatalog != nil && f.cfg.AcceptEarly:
		f.unconfirmed[from] = push.EarlyCatalog
	}
	if push.ConfirmedRevision > 0 {
		changed = f.takeUnconfirmed(from, push.ConfirmedRevision) || changed
		f.confirmCatalog(from, push.ConfirmedRevision)
	}
	return changed
}

// takeUnconfirmed takes the early catalog that was kept of a control host, which has now
// confirmed it.
func (f *Follower) takeUnconfirmed(from string, revision uint64) bool {
	changed := false
	if kept := f.unconfirmed[from]; kept != nil && kept.State.Revision == revision {
		changed = f.takeCatalog(from, kept)
	}
	delete(f.unconfirmed, from)
	if current := f.catalog.Load(); current.Revision < revision {
		f.cfg.Log.Error("confirmed_catalog_missing", "from", from, "revision", revision, "revision_held", current.Revision)
	}
	return changed
}

// confirmCatalog notes that a control host has confirmed the catalog up to a revision.
func (f *Follower) confirmCatalog(from string, revision uint64) {
	if current := f.catalog.Load(); f.early.Load() && current.Revision >= revision {
		f.early.Store(false)
		f.cfg.Log.Info("catalog_confirmed", "from", from, "revision", current.Revision, "version", current.Version)
	}
}

// takeCatalog takes a catalog only if it is newer: the view never goes back.
func (f *Follower) takeCatalog(from string, packed *rpc.PackedCatalog) bool {
	current := f.catalog.Load()
	if packed.State.Revision <= current.Revision {
		return false
	}
	state, err := packed.Unpack()
	if err != nil {
		f.cfg.Log.Error("document_unreadable", "version", packed.State.Version, "from", from, "error", err)
		return false
	}
	if state.Version != current.Version {
		document, err := f.cfg.Decode(state.Body)
		if err != nil {
			f.cfg.Log.Error("document_unreadable", "version", state.Version, "from", from, "error", err)
			return false
		}
		if f.Buckets.Bounded() {
			f.Buckets.SetRates(f.QuotaNow(), workspaceRates(document))
		}
		f.table.Store(routing.Compile(document))
	}
	f.takeRollouts(from, current, state) // before the targets of the same push are known
	f.catalog.Store(state)
	f.Targets.SetOutOfService(state.DataCentresOut)
	f.cfg.Log.Info("catalog_taken", "from", from, "revision", state.Revision, "version", state.Version,
		"version_before", current.Version, "early", f.early.Load(), "out", len(state.DataCentresOut), "founders", len(state.InitialHosts))
	return true
}

func workspaceRates(document *routing.Document) map[string]quota.Rate {
	rates := make(map[string]quota.Rate, len(document.Workspaces))
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		rates[w.Name] = quota.Rate{PerSecond: w.RatePerSecond, Burst: w.Burst}
	}
	return rates
}

// mergeConfirmedAge records the age of a confirmed catalog. The caller holds the
// lock.
func (f *Follower) mergeConfirmedAge(age time.Duration) {
	if at := boottime.Now().Add(-age); at > boottime.Instant(f.confirmed.Load()) {
		f.confirmed.Store(int64(at))
	}
}

func (f *Follower) mergeTargets(now time.Time, reports []rpc.TargetReport) bool {
	changed := false
	for i := range reports {
		reportedAt := now.Add(-time.Duration(reports[i].AgeMS) * time.Millisecond)
		report := reports[i].Report
		if err := report.Validate(); err != nil {
			f.cfg.Log.Warn("target_report_refused", "target", report.ID, "error", err)
			continue
		}
		if reports[i].Leaving && f.roster.MarkLeaving(now, report.ID, report.Incarnation) == roster.Changed {
			changed = true
			f.cfg.Log.Info("target_leaving_taken", "target", report.ID, "target_incarnation", report.Incarnation)
		}
		if f.roster.Merge(reportedAt, report) != roster.Changed {
			continue
		}
		changed = true
		f.cfg.Log.Info("target_seen", "target", report.ID, "addr", report.Addr, "version", report.Version, "state", report.State.String(),
			"born", report.Incarnation, "sequence", report.Sequence, "age_ms", reports[i].AgeMS, "cold_ms", report.ColdFor.Milliseconds())
	}
	if len(reports) > 0 {
		f.Targets.SetRecords(f.roster.All())
	}
	for i := range reports {
		if limit := reports[i].Limit; limit != nil && f.Targets.ApplyLimit(now, *limit) {
			f.cfg.Log.Info("target_limit_taken", "target", limit.Target, "per_second", limit.PerSecond, "age_ms", limit.AgeMS)
		}
	}
	return changed
}

// mergeLeaving takes processes of targets that a quorum of the control hosts knows to leave.
func (f *Follower) mergeLeaving(now time.Time, from string, processes []roster.Leaving) bool {
	changed := false
	for _, process := range processes {
		if f.roster.MarkLeaving(now, process.Target, process.Incarnation) != roster.Changed {
			continue
		}
		changed = true
		f.cfg.Log.Info("target_leaving_taken", "target", process.Target, "target_incarnation", process.Incarnation, "from", from)
	}
	if changed {
		f.Targets.SetRecords(f.roster.All())
	}
	return changed
}

// mergePeerLoads takes the aggregate of the other processes' loads and quota use.
func (f *Follower) mergePeerLoads(now time.Time, from string, peers *rpc.PeerLoads) {
	if !f.Buckets.Bounded() && f.peerLoads != nil && f.peerLoads.HostIncarnation != peers.HostIncarnation {
		f.Buckets.ForgetSource(aggregatorID(f.peerLoads))
	}
	f.peerLoadsReceivedAt = now
	if !peers.WithoutLoads {
		f.peerLoads = peers
	}
	if f.Buckets.Bounded() {
		f.Buckets.ApplyPeers(f.QuotaNow(), quota.PeerReport{Source: aggregatorID(peers), Spent: peers.Spent, Primary: from == f.primary, Live: f.liveGateways(peers)})
	} else {
		f.Buckets.ApplyReport(aggregatorID(peers), peers.Spent)
	}
	if peers.Gateways > 0 {
		f.Buckets.ApplyInitialDebts(peers.Debts)
	}
	if !peers.WithoutLoads {
		f.setPeerLoads(peers)
	}
}

// aggregatorID identifies the incarnation of the control host that computed the aggregate.
func aggregatorID(peers *rpc.PeerLoads) string { return strconv.FormatUint(peers.HostIncarnation, 16) }

// setPeerLoads passes the other processes' loads to target selection. A broker omits
// the requests that it has placed itself.
func (f *Follower) setPeerLoads(peers *rpc.PeerLoads) {
	broker := uint64(0)
	if f.cfg.Broker != nil {
		broker = f.cfg.Broker()
	}
	loads := peers.Loads
	if broker != 0 && peers.BrokerID == broker {
		loads = make(map[string]placement.Load, len(peers.Loads))
		for id, load := range peers.Loads {
			loads[id] = load.Direct()
		}
	}
	f.Targets.SetPeerLoads(loads, peers.Members+1)
	f.Targets.SetGateways(peers.Gateways + 1)
}
