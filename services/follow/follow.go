// Package follow keeps a process's view of its site current: it follows every
// control host that it knows of, so that any one of them is enough, and merges
// what they push. While none is reached the view stays as it is.
package follow

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/catalog"
	"banyanwalk/core/placement"
	"banyanwalk/core/quota"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

const (
	// targetSilence is how long a target may be silent, by the newest push
	// that has come, before it gets no requests any more.
	targetSilence = 8 * time.Second
	// memberSilence is the same for what other processes report.
	memberSilence = 2 * time.Second
	// deafAfter is how long without any push a process takes itself for cut
	// off, and keeps to its share of the quotas.
	deafAfter  = 1500 * time.Millisecond
	checkEvery = 500 * time.Millisecond
)

// Config describes the process and the control hosts that it starts from.
type Config struct {
	Member  rpc.Member                                   // Store is filled in by Storage
	Storage func() *rpc.StorageState                     // nil unless this is a storage host
	Broker  func() uint64                                // number of the broker in this process, 0: none; nil: never
	Seeds   []string                                     // wire addresses of control hosts
	Decode  func(body []byte) (*routing.Document, error) // the canonical encoding of a document
	TLS     *tls.Config
	Log     *telemetry.Log
}

// Follower is the view of one process. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	Targets *placement.Targets // who is in service, and how full
	Buckets *quota.Buckets     // what workspaces may still spend

	table   atomic.Pointer[routing.Table]
	catalog atomic.Pointer[catalog.State]

	mu       sync.Mutex
	roster   *roster.Roster
	members  map[string]*memberState
	newest   time.Time // when the last push came
	deaf     bool
	controls map[string]bool // addresses that are followed
	added    chan string
	changed  chan struct{} // closed and replaced after each change of the view

	sequence atomic.Uint64
	nudge    atomic.Pointer[chan struct{}] // closed and replaced when feeds should report at once
}

type memberState struct {
	load  rpc.MemberLoad
	heard time.Time // when the report was new here
}

// New returns a follower that knows nothing yet.
func New(cfg Config) *Follower {
	cfg.Member.Process = rand.Uint64()
	f := &Follower{
		cfg:      cfg,
		Targets:  placement.New(cfg.Member.DataCentre),
		Buckets:  quota.New(),
		roster:   roster.New(),
		members:  make(map[string]*memberState),
		controls: make(map[string]bool),
		added:    make(chan string, maxControls),
		changed:  make(chan struct{}),
	}
	f.catalog.Store(&catalog.State{})
	nudge := make(chan struct{})
	f.nudge.Store(&nudge)
	f.Seed(cfg.Seeds)
	return f
}

// maxControls bounds the control hosts that are followed.
const maxControls = 64

// Seed adds control hosts by their wire addresses.
func (f *Follower) Seed(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range addrs {
		if f.controls[addr] || len(f.controls) >= maxControls {
			continue
		}
		f.controls[addr] = true
		f.added <- addr
	}
}

// Table returns the routing table in force, or nil before the first one.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// Catalog returns the newest catalog. It must not be changed.
func (f *Follower) Catalog() *catalog.State { return f.catalog.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Stores returns the storage hosts that were heard of late, the leader of the
// newest term first.
func (f *Follower) Stores() []rpc.StorageState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var hosts []rpc.StorageState
	leader := -1
	for _, m := range f.members {
		store := m.load.Member.Store
		if store == nil || now.Sub(m.heard) > memberSilence {
			continue
		}
		hosts = append(hosts, *store)
		if store.Leads && (leader < 0 || store.Term > hosts[leader].Term) {
			leader = len(hosts) - 1
		}
	}
	if leader > 0 {
		hosts[0], hosts[leader] = hosts[leader], hosts[0]
	}
	return hosts
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-f.added:
			wg.Go(func() { f.feed(ctx, addr) })
		case now := <-ticker.C:
			f.check(now)
		}
	}
}

// Nudge makes the process report its load at once.
func (f *Follower) Nudge() {
	next := make(chan struct{})
	close(*f.nudge.Swap(&next))
}

// load returns what this process reports about itself.
func (f *Follower) load() rpc.MemberLoad {
	member := f.cfg.Member
	if f.cfg.Storage != nil {
		member.Store = f.cfg.Storage()
	}
	broker := f.broker()
	return rpc.MemberLoad{
		Member:   member,
		Sequence: f.sequence.Add(1),
		Spent:    f.Buckets.Spent(),
		Loads:    f.reported(broker),
		Broker:   broker,
	}
}

// broker returns the number of the broker that this process asks, or 0.
func (f *Follower) broker() uint64 {
	if hosts := f.Stores(); len(hosts) > 0 {
		return hosts[0].Broker()
	}
	return 0
}

// reported returns what this process has at each target. A broker leaves out
// what it has placed for others, as they report that themselves.
func (f *Follower) reported(broker uint64) map[string]placement.Load {
	own := f.Targets.Own(broker)
	if f.cfg.Broker == nil {
		return own
	}
	batch := make(map[string]placement.Load)
	for id, load := range own {
		if load.Batch > 0 {
			batch[id] = placement.Load{Batch: load.Batch}
		}
	}
	return batch
}

// Process returns the number of this life of the process.
func (f *Follower) Process() uint64 { return f.cfg.Member.Process }

// Take merges one push of the control host from. Feeds call it.
func (f *Follower) Take(now time.Time, from string, push *rpc.FollowPush) {
	f.Seed(push.Controls)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = now
	altered := f.mergeCatalog(from, push.Catalog)
	if f.mergeTargets(now, push.Targets) {
		altered = true
	}
	if f.mergeMembers(now, push.Members) {
		altered = true
	}
	if altered {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// mergeCatalog keeps the newest catalog: the view never goes back.
func (f *Follower) mergeCatalog(from string, state *catalog.State) bool {
	held := f.catalog.Load()
	if state == nil || state.Revision <= held.Revision {
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
	f.Targets.SetOut(state.Out)
	f.cfg.Log.Info("catalog_taken", "from", from, "revision", state.Revision, "version", state.Version,
		"version_before", held.Version, "out", len(state.Out), "founders", len(state.Founders))
	return true
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

// mergeMembers takes what other processes report of themselves. It reports
// whether a storage host has changed.
func (f *Follower) mergeMembers(now time.Time, loads []rpc.MemberLoad) bool {
	altered := false
	for _, load := range loads {
		known := f.members[load.Member.Name]
		if known != nil && known.load.Member.Process == load.Member.Process && load.Sequence <= known.load.Sequence {
			continue
		}
		f.members[load.Member.Name] = &memberState{load: load, heard: now}
		if load.Member.Name != f.cfg.Member.Name {
			f.Buckets.Learn(processKey(&load.Member), load.Spent)
		}
		altered = altered || load.Member.Store != nil
	}
	if len(loads) > 0 {
		f.sumLoads(now)
	}
	return altered
}

func processKey(m *rpc.Member) string {
	return m.Name + "/" + time.Duration(m.Process).String()
}

// sumLoads adds up what the other processes have at each target.
func (f *Follower) sumLoads(now time.Time) {
	sum := make(map[string]placement.Load)
	processes := 1
	broker := uint64(0)
	if f.cfg.Broker != nil {
		broker = f.cfg.Broker()
	}
	for name, m := range f.members {
		if name == f.cfg.Member.Name || now.Sub(m.heard) > memberSilence {
			continue
		}
		processes++
		for id, load := range m.load.Loads {
			if broker != 0 && m.load.Broker == broker {
				load = load.Direct()
			}
			total := sum[id]
			total.Online += load.Online
			total.Batch += load.Batch
			sum[id] = total
		}
	}
	f.Targets.SetOthers(sum, processes)
}

// check drops what has become old, and notices when no control host is heard.
func (f *Follower) check(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expired := f.roster.Expire(f.newest.Add(-targetSilence)); len(expired) > 0 {
		for _, record := range expired {
			f.cfg.Log.Warn("target_silent", "target", record.ID, "addr", record.Addr, "silent_ms", now.Sub(record.Heard).Milliseconds())
		}
		f.Targets.SetRecords(f.roster.All())
	}
	f.sumLoads(now)
	f.checkDeaf(now)
}

func (f *Follower) checkDeaf(now time.Time) {
	deaf := now.Sub(f.newest) > deafAfter
	if deaf == f.deaf {
		return
	}
	f.deaf = deaf
	gateways := 1
	for _, m := range f.members {
		if m.load.Member.Role == rpc.RoleGateway && m.load.Member.Name != f.cfg.Member.Name {
			gateways++
		}
	}
	if !deaf {
		f.Buckets.Share(1)
		f.cfg.Log.Info("control_regained", "controls", len(f.controls))
		return
	}
	f.Buckets.Share(gateways)
	f.cfg.Log.Warn("control_lost", "controls", len(f.controls), "silent_ms", now.Sub(f.newest).Milliseconds(), "quota_share", gateways)
}
