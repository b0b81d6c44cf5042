package jobhost

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/fairshare"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
)

const (
	// shareLogInterval is the shortest time between two log lines about one workspace
	// that is beyond its share.
	shareLogInterval = 1 * time.Second
	// maxSharedNames bounds the number of workspaces with metrics of their own; the
	// others are counted together.
	maxSharedNames   = 128
	otherWorkspaces  = "other"
	withoutWorkspace = "none"
)

// share decides on a request by the share of its workspace, and bounds its queue. It
// returns nil as the shared request for a service that is not shared: only services
// with slots in the document are. The caller holds the lock.
func (b *broker) share(now time.Time, r *rpc.SlotRequest, q *placement.Query) (*fairshare.Request, fairshare.Decision) {
	table := b.server.cfg.Follower.Table()
	if table == nil {
		return nil, fairshare.Uncontended()
	}
	service := table.Service(r.Service)
	if service == nil || service.Slots == 0 {
		return nil, fairshare.Uncontended()
	}
	room := b.targets.Room(now, *q)
	if room.Slots == 0 {
		return nil, fairshare.Uncontended() // at best a target that failed before takes the request
	}
	shared := follow.ShareRequest(table, r)
	shares := b.shares[r.Service]
	if shares == nil {
		shares = fairshare.New()
		b.shares[r.Service] = shares
	}
	decision := shares.Ask(now, shared, fairshare.Capacity{Slots: room.Slots, Free: room.Free})
	switch {
	case decision.Contended && !decision.MayQueue:
		q.MaxQueue = placement.NoQueue
	case decision.Contended:
		q.MaxQueue = queueInTime(q.MaxQueue, shares.Hold(), service.Slots, r)
	}
	return &shared, decision
}

// queueInTime returns how many requests, at most limit, may wait at a target so that the
// last one is in time: a target with all slots in use frees one each time the mean hold time
// divided by its slots has passed. The response to a caller that returns, or that is
// late anyway, only has to end before its deadline.
func queueInTime(limit int, hold time.Duration, slots int, r *rpc.SlotRequest) int {
	left := time.Duration(r.RemainingMS) * time.Millisecond
	if r.ObjectiveMS > 0 {
		left = min(left, time.Duration(r.ObjectiveMS)*time.Millisecond)
	}
	inTime := int(left * time.Duration(slots) / max(hold, time.Millisecond))
	if limit = min(limit, inTime); limit <= 0 {
		return placement.NoQueue
	}
	return limit
}

// refuseBeyondShare returns the refusal of a request whose workspace holds its share.
// The caller holds the lock.
func (b *broker) refuseBeyondShare(now time.Time, r *rpc.SlotRequest, d fairshare.Decision) *outcome.Error {
	retryAfter := b.returnsOf(r.Service).NextBeyond(now, r.Workspace, d.Share, time.Duration(r.RemainingMS)*time.Millisecond)
	slots, taken, targets := b.targets.Free(r.Service)
	b.sharing.refused(now, r, d, slots, taken)
	code := outcome.BeyondShare
	if r.Workspace == "" {
		code = outcome.TargetBusy // a gateway of a former version names no workspace and knows no other code
	}
	return outcome.New(code, outcome.NotRun, "workspace %q is beyond its share of service %s: %d requests, share %.1f of %d slots at %d targets, %d requests there, priority %d, returning %t",
		r.Workspace, r.Service, d.InFlight, d.Share, slots, targets, taken, r.Priority, r.IsRetry).WithRetryAfter(retryAfter)
}

// shareMeters counts and logs decisions by share, while slots are scarce.
type shareMeters struct {
	registry metrics.Registry
	log      *telemetry.Log
	names    map[string]bool // workspaces with metrics of their own
	refusals map[shareKey]*shareRefusals
}

// shareKey names a workspace at a service.
type shareKey struct{ service, workspace string }

// shareRefusals are the refusals since the last log line.
type shareRefusals struct {
	count    int
	loggedAt time.Time
}

func newShareMeters(r metrics.Registry, log *telemetry.Log) *shareMeters {
	return &shareMeters{registry: r, log: log, names: make(map[string]bool), refusals: make(map[shareKey]*shareRefusals)}
}

// name returns the name under which a workspace is counted.
func (m *shareMeters) name(workspace string) string {
	switch {
	case workspace == "":
		return withoutWorkspace
	case m.names[workspace]:
		return workspace
	case len(m.names) >= maxSharedNames:
		return otherWorkspaces
	}
	m.names[workspace] = true
	return workspace
}

// granted counts a grant while slots are scarce.
func (m *shareMeters) granted(workspace string, d fairshare.Decision) {
	if d.Contended {
		metrics.GetOrRegisterCounter("broker.shares.granted."+m.name(workspace), m.registry).Inc(1)
	}
}

// refused counts a refusal, and logs the first one and then one each
// shareLogInterval.
func (m *shareMeters) refused(now time.Time, r *rpc.SlotRequest, d fairshare.Decision, slots, taken int) {
	name := m.name(r.Workspace)
	metrics.GetOrRegisterCounter("broker.shares.refused."+name, m.registry).Inc(1)
	key := shareKey{service: r.Service, workspace: name}
	refusals := m.refusals[key]
	if refusals == nil {
		refusals = &shareRefusals{}
		m.refusals[key] = refusals
	}
	refusals.count++
	if now.Sub(refusals.loggedAt) < shareLogInterval {
		return
	}
	m.log.Info("workspace_beyond_share", "service", r.Service, "workspace", name, "priority", r.Priority, "in_flight", d.InFlight,
		"share", int(d.Share), "slots", slots, "requests", taken, "refused", refusals.count)
	refusals.count, refusals.loggedAt = 0, now
}
