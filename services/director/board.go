package director

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"banyanwalk/core/catalog"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

const (
	// targetTimeout is how long a silent target is kept. Reports may be seconds
	// late.
	targetTimeout = 20 * time.Second
	// renewalInterval is the time between two pushes of a target that only renews its
	// report. Followers keep a target for several times as long.
	renewalInterval = 2500 * time.Millisecond
	// memberTimeout is how long a silent process of the site is kept.
	memberTimeout = 5 * time.Second
	// loadTimeout is how long the load of a silent process still counts.
	loadTimeout = 2 * time.Second
	// heardTimeout is how long a gateway counts as heard after a report. Idle gateways
	// report every 500 ms.
	heardTimeout = 800 * time.Millisecond
	// spentRetention is how long the tokens spent by a process count after its
	// last report. The sum must not jump when a silent process reports again.
	spentRetention = 10 * time.Minute
	// storageRetention is how long a silent storage host stays known by name, so
	// that it can be retired while it is down.
	storageRetention = 10 * time.Minute
)

// registry holds the latest reports of targets and members. But for the processes of
// targets that leave, which the catalog holds, it is not replicated:
// targets report to any control host, and members follow all of them. It is safe
// for concurrent use.
type registry struct {
	mu              sync.Mutex
	revision        uint64
	changes         uint64 // changes of targets that routing depends on
	roster          *roster.Roster
	targetRevisions map[string]uint64      // registry revision of the last push, by target ID
	pushedAt        map[string]time.Time   // when that revision was given, by target ID
	limits          map[string]targetLimit // newest reading of the limit that a target names, by target ID
	members         map[string]*memberRecord
	totalSpent      map[string]uint64       // by workspace, of all processes that were ever heard of
	spent           map[uint64]*spentTokens // by incarnation, including those of silent and ended processes
	hostIncarnation uint64                  // random ID of this incarnation of the control host
	sums            loadSums
	urgent          chan struct{} // closed and replaced when followers must be told immediately
}

// spentTokens counts the tokens that one process instance has spent, by
// workspace. Only what it spends after its first report to this host counts, as
// this host may have started later.
type spentTokens struct {
	baseline   map[string]uint64
	tokens     map[string]uint64
	reportedAt time.Time
}

type memberRecord struct {
	load          rpc.MemberLoad
	limitSequence uint64 // of the newest report of a target's limit
	reportedAt    time.Time
}

func newRegistry() *registry {
	return &registry{
		roster:          roster.New(),
		targetRevisions: make(map[string]uint64),
		pushedAt:        make(map[string]time.Time),
		limits:          make(map[string]targetLimit),
		members:         make(map[string]*memberRecord),
		totalSpent:      make(map[string]uint64),
		spent:           make(map[uint64]*spentTokens),
		hostIncarnation: rand.Uint64(),
		urgent:          make(chan struct{}),
	}
}

// reportTarget merges a target's report and returns what the merge changed.
func (r *registry) reportTarget(now time.Time, report roster.Report) roster.MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.roster.Merge(now, report)
	r.recordChange(now, report.ID, result)
	return result
}

// removeTarget handles a target's own announcement that it has shut down.
func (r *registry) removeTarget(now time.Time, id string, incarnation int64) roster.MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.roster.Deregister(now, id, incarnation)
	r.recordChange(now, id, result)
	return result
}

// markLeaving takes processes of targets that are recorded to leave, and has all
// followers told of them.
func (r *registry) markLeaving(processes []roster.Leaving) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, process := range processes {
		r.recordChange(now, process.Target, r.roster.MarkLeaving(now, process.Target, process.Incarnation))
	}
	r.notifyLocked()
}

// incarnationOf returns the incarnation of the known process of a target, or 0.
func (r *registry) incarnationOf(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.roster.Get(id); record != nil {
		return record.Incarnation
	}
	return 0
}

func (r *registry) recordChange(now time.Time, id string, result roster.MergeResult) {
	if result == roster.Stale || result == roster.Renewed && now.Sub(r.pushedAt[id]) < renewalInterval {
		return
	}
	r.revision++
	r.targetRevisions[id], r.pushedAt[id] = r.revision, now
	if result == roster.Changed {
		r.changes++
		r.notifyLocked()
	}
}

// notifyLocked makes the feeds push immediately. The caller holds the lock.
func (r *registry) notifyLocked() {
	close(r.urgent)
	r.urgent = make(chan struct{})
}

// notify makes the feeds push immediately.
func (r *registry) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyLocked()
}

// reportMember stores a member's report about itself. A new process or a change
// of its storage state is pushed immediately; a change of its load is not.
func (r *registry) reportMember(now time.Time, load rpc.MemberLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.members[load.Member.Name]
	r.reportSpent(now, &load)
	if load.ChangesOnly && load.Debts == nil && previous != nil && previous.load.Member.Incarnation == load.Member.Incarnation {
		load.Debts = previous.load.Debts
	}
	load.Spent = nil // kept in r.spent
	record := &memberRecord{load: load, reportedAt: now}
	if previous != nil && previous.load.Member.Incarnation == load.Member.Incarnation {
		record.limitSequence = previous.limitSequence
	}
	r.members[load.Member.Name] = record
	r.mergeLimits(now, record)
	for _, leaving := range load.Leaving {
		r.recordChange(now, leaving.Target, r.roster.MarkLeaving(now, leaving.Target, leaving.Incarnation))
	}
	if previous == nil || previous.load.Member.Incarnation != load.Member.Incarnation || !sameStorage(previous.load.Member.Storage, load.Member.Storage) {
		r.notifyLocked()
	}
}

// reportSpent records the tokens that a process has spent. The caller holds the lock.
func (r *registry) reportSpent(now time.Time, load *rpc.MemberLoad) {
	usage := r.spent[load.Member.Incarnation]
	if usage == nil {
		usage = &spentTokens{baseline: load.Spent, tokens: maps.Clone(load.Spent)}
		r.spent[load.Member.Incarnation] = usage
	}
	usage.reportedAt = now
	for workspace, tokens := range load.Spent {
		before := usage.counted(workspace)
		if usage.tokens == nil {
			usage.tokens = make(map[string]uint64)
		}
		usage.tokens[workspace] = tokens
		r.totalSpent[workspace] += usage.counted(workspace) - before // wraps around for a returned token
	}
}

// counted returns the tokens of a workspace that count: those spent since the first
// report. A returned token may leave less than the baseline.
func (u *spentTokens) counted(workspace string) uint64 {
	tokens, baseline := u.tokens[workspace], u.baseline[workspace]
	return max(tokens, baseline) - baseline
}

func sameStorage(a, b *rpc.StorageState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Leads == b.Leads && a.Term == b.Term && len(a.Voters) == len(b.Voters) && len(a.Learners) == len(b.Learners)
}

// prune removes targets, members and spent tokens of processes that have been
// silent for too long, and returns the removed targets.
func (r *registry) prune(now time.Time) []*roster.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		retention := memberTimeout
		if m.load.Member.Storage != nil {
			retention = storageRetention
		}
		if now.Sub(m.reportedAt) > retention {
			delete(r.members, name)
		}
	}
	for process, usage := range r.spent {
		if now.Sub(usage.reportedAt) > spentRetention {
			delete(r.spent, process)
		}
	}
	expired := r.roster.Expire(now.Add(-targetTimeout))
	r.changes += uint64(len(expired))
	for _, record := range expired {
		delete(r.targetRevisions, record.ID)
		delete(r.pushedAt, record.ID)
	}
	for id := range r.limits {
		if r.roster.Get(id) == nil {
			delete(r.limits, id)
			delete(r.targetRevisions, id)
		}
	}
	return expired
}

// readyTargets returns the number of changes so far and, unless it is known, the
// last reports of the targets in service.
func (r *registry) readyTargets(known uint64) (changes uint64, reports []roster.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changes == known {
		return known, nil
	}
	for _, record := range r.roster.All() {
		if record.State == roster.Ready {
			reports = append(reports, record.Report)
		}
	}
	return r.changes, reports
}

// targetsSince returns the targets that have changed after a revision, and the
// current revision.
func (r *registry) targetsSince(now time.Time, revision uint64) (targets []rpc.TargetReport, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, changed := range r.targetRevisions {
		record := r.roster.Get(id)
		if changed <= revision || record == nil {
			continue
		}
		target := rpc.TargetReport{Report: record.Report, AgeMS: now.Sub(record.ReceivedAt).Milliseconds(), Leaving: record.Leaving}
		if limit, found := r.limits[id]; found {
			report := limit.report
			report.AgeMS = now.Sub(limit.readAt).Milliseconds()
			target.Limit = &report
		}
		targets = append(targets, target)
	}
	return targets, r.revision
}

// brokerID returns the ID of the current broker, or 0. The caller holds the lock.
func (r *registry) brokerID(now time.Time) uint64 {
	var hosts []rpc.Member
	for _, m := range r.members {
		if m.load.Member.Storage != nil && now.Sub(m.reportedAt) <= loadTimeout {
			hosts = append(hosts, m.load.Member)
		}
	}
	if leader := storageLeader(hosts); leader != nil {
		return leader.BrokerID()
	}
	return 0
}

// isStorageLeader reports whether a member is the leading storage host.
func (r *registry) isStorageLeader(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	return m != nil && m.load.Member.Storage != nil && m.load.Member.Storage.Leads
}

// urgentChange returns a channel that is closed at the next urgent change.
func (r *registry) urgentChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.urgent
}

// storageWithout returns how many storage hosts would remain without the named
// one, and the replica ID of that host, or 0 if it is unknown. Silent hosts and
// hosts being retired do not count as remaining.
func (r *registry) storageWithout(now time.Time, name string, state *catalog.State) (left int, id uint64) {
	for _, m := range r.storageHosts(now, storageRetention) {
		if m.Name == name {
			id = m.Storage.ID
		}
	}
	for _, m := range r.storageHosts(now, memberTimeout) {
		if _, retired := state.Retirement(m.Name); !retired && m.Name != name {
			left++
		}
	}
	return left, id
}

// storageHosts returns the storage hosts that reported within the given time.
func (r *registry) storageHosts(now time.Time, within time.Duration) []rpc.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []rpc.Member
	for _, m := range r.members {
		if m.load.Member.Storage != nil && now.Sub(m.reportedAt) <= within {
			found = append(found, m.load.Member)
		}
	}
	return found
}
