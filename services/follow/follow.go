// Package follow keeps a process's view of its site current: it follows every
// control host that it knows of, so that any one of them is enough, and merges
// what they push. While none is reached the view stays as it is.
package follow

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/catalog"
	"banyanwalk/core/placement"
	"banyanwalk/core/quota"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/boottime"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

const (
	// targetSilence is how long a target may be silent, by the newest push
	// that has come, before it gets no requests any more.
	targetSilence = 8 * time.Second
	// storesSilence is after how long without a list of the storage hosts none
	// is taken to be there. Lists come each second.
	storesSilence = 3 * time.Second
	// primarySilence is after how long the control host that is asked for what
	// the others do is left for another one. Hosts push every 400 ms.
	primarySilence = 800 * time.Millisecond
	// deafAfter is how long without any push a process takes itself for cut
	// off, and keeps to its share of the quotas.
	deafAfter  = 1500 * time.Millisecond
	checkEvery = 250 * time.Millisecond
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
	// WithoutSums is set for processes that do not need to know what the others do.
	WithoutSums bool
}

// Follower is the view of one process. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	Targets *placement.Targets // who is in service, and how full
	Buckets *quota.Buckets     // what workspaces may still spend

	table   atomic.Pointer[routing.Table]
	catalog atomic.Pointer[catalog.State]
	// confirmed is when the catalog was last known to be current, in boottime.
	confirmed atomic.Int64

	mu       sync.Mutex
	roster   *roster.Roster
	stores   []rpc.Member
	listed   time.Time // when the storage hosts were listed last
	others   *rpc.Others
	summed   time.Time            // when others came
	pushed   map[string]time.Time // when each control host pushed last
	newest   time.Time            // when the last push came
	primary  string               // control host that is asked for what the others do
	deaf     bool
	controls map[string]bool // addresses that are followed
	added    chan string
	changed  chan struct{} // closed and replaced after each change of the view

	sequence atomic.Uint64
	nudge    atomic.Pointer[chan struct{}] // closed and replaced when feeds should report at once
}

// New returns a follower that knows nothing yet.
func New(cfg Config) *Follower {
	cfg.Member.Process = rand.Uint64()
	f := &Follower{
		cfg:      cfg,
		Targets:  placement.New(cfg.Member.DataCentre),
		Buckets:  quota.New(),
		roster:   roster.New(),
		pushed:   make(map[string]time.Time),
		controls: make(map[string]bool),
		added:    make(chan string, maxControls),
		changed:  make(chan struct{}),
	}
	f.catalog.Store(&catalog.State{})
	f.confirmed.Store(int64(boottime.Never))
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

// Controls returns the wire addresses of the control hosts that were heard of
// late, sorted.
func (f *Follower) Controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var heard []string
	for addr, at := range f.pushed {
		if now.Sub(at) <= primarySilence {
			heard = append(heard, addr)
		}
	}
	slices.Sort(heard)
	return heard
}

// Follows reports whether the control host at a wire address is followed, also
// while it is not reached.
func (f *Follower) Follows(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controls[addr]
}

// StaleFor returns how long ago the catalog was last known to be current, more
// than a hundred years if it never was.
func (f *Follower) StaleFor() time.Duration {
	return boottime.Since(boottime.Instant(f.confirmed.Load()))
}

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
	if now.Sub(f.listed) > storesSilence {
		return nil
	}
	hosts := make([]rpc.StorageState, 0, len(f.stores))
	for _, m := range f.stores {
		hosts = append(hosts, *m.Store)
	}
	if leader := rpc.StorageLeader(f.stores); leader > 0 {
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
func (f *Follower) Nudge() { f.wakeFeeds() }

func (f *Follower) wakeFeeds() {
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
		Debts:    f.Buckets.Debts(time.Now()),
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
