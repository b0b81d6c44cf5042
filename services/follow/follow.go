// Package follow maintains a process's view of its site. It subscribes to every
// known control host, so that any one of them suffices, and merges their pushes.
// While no control host is reachable, the view stays as it is.
package follow

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/catalog"
	"banyanwalk/core/placement"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/quota"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

const (
	// targetTimeout is how long a target may go unreported before it gets no more
	// requests. It is measured at the newest push, so that losing every control
	// host does not remove targets.
	targetTimeout = 8 * time.Second
	// storageHostsTimeout is how long the last list of storage hosts stays valid.
	// Control hosts send the list every second.
	storageHostsTimeout = 3 * time.Second
	// primaryTimeout is how long the primary control host, which reports the
	// aggregate of the other processes, may be silent before another one is
	// chosen. Hosts push every 400 ms.
	primaryTimeout = 800 * time.Millisecond
	// disconnectedAfter is how long a process may go without an aggregate of the
	// other processes before it considers itself disconnected and limits itself
	// to its share of the quotas.
	disconnectedAfter = 1500 * time.Millisecond
	checkInterval     = 250 * time.Millisecond
)

// Config describes the process and the initial control hosts.
type Config struct {
	Member  rpc.Member                                   // Member.Storage is filled in by calling Storage
	Storage func() *rpc.StorageState                     // nil unless this is a storage host
	Broker  func() uint64                                // ID of the broker in this process, 0 if it is inactive; nil if the process never has one
	Seeds   []string                                     // wire addresses of control hosts
	Decode  func(body []byte) (*routing.Document, error) // decodes the canonical encoding of a document
	TLS     *tls.Config
	Log     *telemetry.Log
	// WithoutPeerLoads is set for processes that do not need the aggregate of the
	// other processes' loads and quota use.
	WithoutPeerLoads bool
	// Quota bounds by how much all gateways together may exceed rates and bursts; nil:
	// no bounds.
	Quota *quota.Bounds
	// AcceptEarly is set for processes that may act on a catalog that is older than
	// the newest one, until a control host has confirmed it.
	AcceptEarly bool
	Metrics     metrics.Registry // nil: the follower's metrics are not shown
}

// Follower holds one process's view of the site. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	Targets *placement.Targets // targets in service and their load
	Buckets *quota.Buckets     // token buckets of the workspaces
	Gate    *rollout.Gate      // versions of targets that may get requests

	table    atomic.Pointer[routing.Table]
	catalog  atomic.Pointer[catalog.State]
	early    atomic.Bool // the catalog is not confirmed yet
	verdicts atomic.Pointer[map[quarantine.Ref]Verdict]
	// confirmed is the boottime instant at which the catalog was last known to be
	// current.
	confirmed atomic.Int64

	mu                     sync.Mutex
	roster                 *roster.Roster
	storageHosts           []rpc.Member
	storageHostsReceivedAt time.Time // when the last list of storage hosts arrived
	peerLoads              *rpc.PeerLoads
	peerLoadsReceivedAt    time.Time                     // when peerLoads arrived
	lastPushes             map[string]time.Time          // time of the last push, by control host
	lastPush               time.Time                     // time of the last push of any control host
	unconfirmed            map[string]*rpc.PackedCatalog // early catalogs that wait for their confirmation, by control host
	primary                string                        // control host that is asked for the aggregate of the other processes
	backup                 string                        // asked too, by processes that keep to bounds of quotas
	disconnected           bool
	brokers                quota.Brokers // of tokens
	brokersSeenAt          time.Time     // when brokers were last known
	brokered               bool          // there are brokers
	lastLeader             uint64        // replica id of the storage host that last led
	badLoads               badLoads
	controlHosts           map[string]bool // wire addresses of the followed control hosts
	addedControlHosts      chan string
	changed                chan struct{} // closed and replaced after each change of the view

	sequence  atomic.Uint64
	leavings  atomic.Uint64                 // number of targets that have said to this process that they leave
	reportNow atomic.Pointer[chan struct{}] // closed and replaced to make all streams report immediately
}

// New returns a follower with an empty view.
func New(cfg Config) *Follower {
	cfg.Member.Incarnation = rand.Uint64()
	f := &Follower{
		cfg:               cfg,
		Targets:           placement.New(cfg.Member.DataCentre),
		Buckets:           quota.New(),
		Gate:              rollout.NewGate(boottimeNow),
		roster:            roster.New(),
		lastPushes:        make(map[string]time.Time),
		unconfirmed:       make(map[string]*rpc.PackedCatalog),
		controlHosts:      make(map[string]bool),
		addedControlHosts: make(chan string, maxControlHosts),
		changed:           make(chan struct{}),
	}
	if cfg.Quota != nil {
		f.Buckets.SetBounds(boottimeNow(), *cfg.Quota, cfg.Member.Incarnation)
		if cfg.Member.Role == rpc.RoleStorage {
			f.Buckets.BecomeBroker()
		}
	}
	f.Targets.CountVersions(f.Gate.Serves)
	f.catalog.Store(&catalog.State{})
	f.verdicts.Store(&map[quarantine.Ref]Verdict{})
	f.confirmed.Store(int64(boottime.Never))
	reportNow := make(chan struct{})
	f.reportNow.Store(&reportNow)
	f.Seed(cfg.Seeds)
	return f
}

// maxControlHosts bounds the number of followed control hosts.
const maxControlHosts = 64

// Seed adds control hosts by wire address.
func (f *Follower) Seed(addrs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range addrs {
		if f.controlHosts[addr] || len(f.controlHosts) >= maxControlHosts {
			continue
		}
		f.controlHosts[addr] = true
		f.addedControlHosts <- addr
	}
}

// Table returns the current routing table, or nil before the first one.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// Catalog returns the newest catalog. Callers must not modify it.
func (f *Follower) Catalog() *catalog.State { return f.catalog.Load() }

// CatalogIsEarly reports whether the catalog may be older than what was acknowledged
// before the control hosts started. What it lacks may exist all the same.
func (f *Follower) CatalogIsEarly() bool { return f.early.Load() }

// ControlHosts returns the sorted wire addresses of the control hosts that pushed
// recently.
func (f *Follower) ControlHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var live []string
	for addr, at := range f.lastPushes {
		if now.Sub(at) <= primaryTimeout {
			live = append(live, addr)
		}
	}
	slices.Sort(live)
	return live
}

// Follows reports whether the control host at a wire address is followed, even if
// it is unreachable.
func (f *Follower) Follows(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlHosts[addr]
}

// StaleFor returns the time since the catalog was last known to be current; it
// exceeds a hundred years if it never was.
func (f *Follower) StaleFor() time.Duration {
	return boottime.Since(boottime.Instant(f.confirmed.Load()))
}

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// StorageHosts returns the storage hosts in the last list, with the leader of
// the newest term first. It returns nil if the list has expired.
func (f *Follower) StorageHosts() []rpc.StorageState {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.storageHostsReceivedAt) > storageHostsTimeout {
		return nil
	}
	hosts := make([]rpc.StorageState, 0, len(f.storageHosts))
	for _, m := range f.storageHosts {
		hosts = append(hosts, *m.Storage)
	}
	if leader := rpc.StorageLeader(f.storageHosts); leader > 0 {
		hosts[0], hosts[leader] = hosts[leader], hosts[0]
	}
	return hosts
}

// Run follows the control hosts until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { newRolloutReporter(f).run(ctx) })
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case addr := <-f.addedControlHosts:
			wg.Go(func() { f.followControl(ctx, addr) })
		case now := <-ticker.C:
			f.check(now)
		}
	}
}

// QuotaNow returns the time for Buckets. With bounds, it also counts suspensions.
func (f *Follower) QuotaNow() time.Time {
	if f.Buckets.Bounded() {
		return boottimeNow()
	}
	return time.Now()
}

// boottimeNow returns the time since the machine booted, after 1 January 1970. It counts
// suspensions and does not jump with the time of day.
func boottimeNow() time.Time { return time.Unix(0, 0).Add(time.Duration(boottime.Now())) }

// ReportNow makes the process report its load immediately.
func (f *Follower) ReportNow() { f.wakeReporters() }

func (f *Follower) wakeReporters() {
	next := make(chan struct{})
	close(*f.reportNow.Swap(&next))
}

// ObserveLimit records the limit that a response of a target named.
func (f *Follower) ObserveLimit(now time.Time, target *roster.Record, perSecond float64) {
	if before, after := f.Targets.ObserveLimit(now, target, perSecond); before != after {
		f.cfg.Log.Info("target_limit_read", "target", target.ID, "target_incarnation", target.Incarnation, "per_second", after, "before", before)
	}
}

// ObserveLeaving records that a response of a target said that it leaves. From its return
// on, no request is sent there.
func (f *Follower) ObserveLeaving(now time.Time, target *roster.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roster.IsLeaving(target.ID, target.Incarnation) {
		return
	}
	if f.roster.MarkLeaving(now, target.ID, target.Incarnation) == roster.Changed {
		f.Targets.SetRecords(f.roster.All())
	}
	f.notifyChanged()
	f.leavings.Add(1)
	f.wakeReporters()
	f.cfg.Log.Info("target_leaving_read", "target", target.ID, "target_incarnation", target.Incarnation)
}

func (f *Follower) leavingTargets() []roster.Leaving {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.AllLeaving()
}

// memberLoad returns this process's report about itself.
func (f *Follower) memberLoad() rpc.MemberLoad {
	member := f.cfg.Member
	if f.cfg.Storage != nil {
		member.Storage = f.cfg.Storage()
	}
	broker := f.brokerID()
	load := rpc.MemberLoad{
		Member:   member,
		Sequence: f.sequence.Add(1),
		Spent:    f.Buckets.Spent(),
		Loads:    f.ownLoads(broker),
		BrokerID: broker,
		Limits:   f.Targets.LimitReports(time.Now()),
		Leaving:  f.leavingTargets(),
	}
	if !f.Buckets.Bounded() || f.spendsTokens() {
		load.Debts = f.Buckets.Debts(f.QuotaNow())
	}
	return load
}

// brokerID returns the ID of the broker that this process uses, or 0.
func (f *Follower) brokerID() uint64 {
	if hosts := f.StorageHosts(); len(hosts) > 0 {
		return hosts[0].BrokerID()
	}
	return 0
}

// ownLoads returns this process's load on each target. A broker omits the
// requests that it has placed for other processes, since they report those
// themselves.
func (f *Follower) ownLoads(broker uint64) map[string]placement.Load {
	own := f.Targets.OwnLoads(broker)
	if f.cfg.Broker == nil {
		return own
	}
	batch := make(map[string]placement.Load)
	for id, load := range own {
		if load.Batch > 0 {
			batch[id] = placement.Load{Batch: load.Batch, BatchTokens: load.BatchTokens}
		}
	}
	return batch
}

// Gateways returns the number of gateways that the last aggregate of the other
// processes counted, including this process if it is one; at least 1.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	if f.peerLoads != nil {
		count = f.peerLoads.Gateways
	}
	if f.cfg.Member.Role == rpc.RoleGateway {
		count++
	}
	return max(1, count)
}

// Name returns the name of this process.
func (f *Follower) Name() string { return f.cfg.Member.Name }

// Incarnation returns the random ID of this start of the process.
func (f *Follower) Incarnation() uint64 { return f.cfg.Member.Incarnation }
