package follow

import (
	"strconv"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/rpc"
)

// Take merges one push of the control host from. Feeds call it.
func (f *Follower) Take(now time.Time, from string, push *rpc.FollowPush) {
	f.Seed(push.Controls)
	if push.Relay {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = now
	altered := f.mergeCatalog(from, push.Catalog)
	if f.mergeTargets(now, push.Targets) {
		altered = true
	}
	f.pushed[from] = now
	if push.Confirmed != nil {
		f.mergeConfirmed(time.Duration(*push.Confirmed) * time.Millisecond)
	}
	if len(push.Stores) > 0 {
		f.stores, f.listed = push.Stores, now
		altered = true
	}
	if push.Others != nil {
		f.mergeOthers(now, push.Others)
	}
	if altered {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// mergeCatalog keeps the newest catalog: the view never goes back.
func (f *Follower) mergeCatalog(from string, packed *rpc.PackedCatalog) bool {
	held := f.catalog.Load()
	if packed == nil || packed.State.Revision <= held.Revision {
		return false
	}
	state, err := packed.Unpack()
	if err != nil {
		f.cfg.Log.Error("document_unreadable", "version", packed.State.Version, "from", from, "error", err)
		return false
	}
	if state.Version != held.Version {
		document, err := f.cfg.Decode(state.Body)
		if err != nil {
			f.cfg.Log.Error("document_unreadable", "version", state.Version, "from", from, "error", err)
			return false
		}
		f.table.Store(routing.Compile(document))
	}
	f.catalog.Store(state)
	f.Targets.SetOutOfService(state.DataCentresOut)
	f.cfg.Log.Info("catalog_taken", "from", from, "revision", state.Revision, "version", state.Version,
		"version_before", held.Version, "out", len(state.DataCentresOut), "founders", len(state.InitialHosts))
	return true
}

// mergeConfirmed notes how old a confirmed catalog is; the caller holds the lock.
func (f *Follower) mergeConfirmed(age time.Duration) {
	if at := boottime.Now().Add(-age); at > boottime.Instant(f.confirmed.Load()) {
		f.confirmed.Store(int64(at))
	}
}

func (f *Follower) mergeTargets(now time.Time, reports []rpc.TargetReport) bool {
	altered := false
	for i := range reports {
		heard := now.Add(-time.Duration(reports[i].AgeMS) * time.Millisecond)
		report := reports[i].Report
		if f.roster.Merge(heard, report) != roster.Changed {
			continue
		}
		altered = true
		f.cfg.Log.Info("target_seen", "target", report.ID, "addr", report.Addr, "state", report.State.String(),
			"born", report.Born, "sequence", report.Sequence, "age_ms", reports[i].AgeMS, "cold_ms", report.ColdFor.Milliseconds())
	}
	if len(reports) > 0 {
		f.Targets.SetRecords(f.roster.All())
	}
	return altered
}

// mergeOthers takes what the other processes do.
func (f *Follower) mergeOthers(now time.Time, others *rpc.Others) {
	if f.others != nil && f.others.Host != others.Host {
		f.Buckets.ForgetSource(sourceOf(f.others))
	}
	f.others, f.summed = others, now
	f.Buckets.ApplyReport(sourceOf(others), others.Spent)
	if others.Gateways > 0 {
		f.Buckets.ApplyInitialDebts(others.Debts)
	}
	f.setOthers(others)
}

// sourceOf names the life of the control host that has added up others.
func sourceOf(others *rpc.Others) string { return strconv.FormatUint(others.Host, 16) }

// setOthers tells the choice of targets what the others have there. A broker
// leaves out what it has placed itself.
func (f *Follower) setOthers(others *rpc.Others) {
	broker := uint64(0)
	if f.cfg.Broker != nil {
		broker = f.cfg.Broker()
	}
	loads := others.Loads
	if broker != 0 && others.Broker == broker {
		loads = make(map[string]placement.Load, len(others.Loads))
		for id, load := range others.Loads {
			loads[id] = load.Direct()
		}
	}
	f.Targets.SetOthers(loads, others.Count+1)
}
