// Package agent implements the host agent: a reverse proxy through which all
// requests to the targets of one host pass. It applies admission control to the
// requests of all gateways together, runs batch items in the capacity that
// online requests leave spare, verifies that each response belongs to its
// request, deduplicates attempts, and reports target crashes to control.
package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/admission"
	"banyanwalk/core/dedupe"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const (
	defaultDrainTimeout = 30 * time.Second
	drainPollInterval   = 5 * time.Millisecond
	// leaveNoticeTimeout bounds the last heartbeat, which tells control that the
	// agent is leaving. The agent drains even if that heartbeat fails.
	leaveNoticeTimeout = 2 * time.Second
)

// Control is the agent's client of the control replicas. Package controlclient
// implements it.
type Control interface {
	// View returns the newest view of the fleet; it is never nil.
	View() *fleet.View
	// Fresh reports whether the view may be used to admit work.
	Fresh(now time.Time) bool
	// CallIdempotent makes an idempotent call and retries it on any replica until it
	// succeeds or ctx ends.
	CallIdempotent(ctx context.Context, method wire.Method, request, response any) error
}

// Config describes one agent. Zero durations take defaults.
type Config struct {
	Name          string // host name, unique in the fleet
	DataCentre    string
	AdvertiseAddr string // host:port at which gateways reach the wire listener; empty: the listener's address
	Control       Control
	Log           *telemetry.Log
	Metrics       metrics.Registry // nil: metrics are not exported
	TLS           *tls.Config      // of the wire listener; nil: plaintext
	Admission     admission.Config
	DrainTimeout  time.Duration // how long in-flight requests may take after the agent is told to stop
	AnnounceTTL   time.Duration // a target is dropped when it sends no announcement for this long
}

// Agent proxies requests to the targets of one host. It is safe for concurrent
// use.
type Agent struct {
	cfg           Config
	incarnation   uint64
	startedAt     time.Time
	addr          atomic.Pointer[string] // advertised address of the wire listener
	counters      counters
	draining      atomic.Bool
	changed       chan struct{} // signalled when spare capacity appears
	heartbeatDue  chan struct{} // signalled when the list of targets changes
	background    conc.WaitGroup
	chunks        sync.Pool       // of *[]byte, chunkBytes each
	targetsCtx    context.Context // parent of every target's context; cancelled after the drain
	cancelTargets context.CancelFunc

	mu       sync.Mutex
	targets  map[fleet.TargetID]*target
	fences   map[fleet.TargetID]*fence
	active   int // requests that execute is handling
	attempts *dedupe.Table
}

// New returns an agent in a new incarnation, without targets.
func New(cfg Config) *Agent {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = defaultDrainTimeout
	}
	if cfg.AnnounceTTL == 0 {
		cfg.AnnounceTTL = defaultAnnounceTTL
	}
	targetsCtx, cancelTargets := context.WithCancel(context.Background())
	a := &Agent{
		cfg:           cfg,
		incarnation:   rand.Uint64() | 1,
		startedAt:     time.Now(),
		counters:      newCounters(cfg.Metrics),
		changed:       make(chan struct{}, 1),
		heartbeatDue:  make(chan struct{}, 1),
		targetsCtx:    targetsCtx,
		cancelTargets: cancelTargets,
		targets:       make(map[fleet.TargetID]*target),
		fences:        make(map[fleet.TargetID]*fence),
		attempts:      dedupe.NewTable(dedupe.DefaultWindow, dedupe.DefaultMaxEntries),
	}
	a.chunks.New = func() any {
		chunk := make([]byte, chunkBytes)
		return &chunk
	}
	a.addr.Store(&a.cfg.AdvertiseAddr)
	return a
}

// Incarnation returns the random number that identifies this run of the agent's
// process. An attempt names the incarnation it is meant for.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves gateways on wireListener and announcements on announceListener
// until ctx ends. Then it refuses new work, waits up to the drain timeout for
// the in-flight requests, and returns.
func (a *Agent) Run(ctx context.Context, wireListener, announceListener net.Listener) error {
	if a.cfg.AdvertiseAddr == "" {
		addr := wireListener.Addr().String()
		a.chunks.New = func() any {
			chunk := make([]byte, chunkBytes)
			return &chunk
		}
		a.addr.Store(&addr)
	}
	defer a.background.Wait()
	defer a.cancelTargets()
	server := wire.NewServer(a.cfg.Log, a.cfg.TLS)
	server.Handle(rpc.MethodExecute, a.handleExecute)
	wire.HandleUnary(server, rpc.MethodOrder, a.handleOrder)
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 2)
	a.background.Go(func() { served <- server.Serve(serving, wireListener) })
	a.background.Go(func() { served <- a.serveAnnouncements(serving, announceListener) })
	a.background.Go(func() { a.heartbeatLoop(serving) })
	a.background.Go(func() { a.dropSilentTargets(serving) })
	a.cfg.Log.Info("agent_started", "address", *a.addr.Load(), "incarnation", a.incarnation)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		a.drain()
		return nil
	}
}

// drain refuses new work and waits for the in-flight requests.
func (a *Agent) drain() {
	a.cfg.Log.Info("agent_draining")
	a.draining.Store(true)
	for _, t := range a.snapshot() {
		t.close(outcome.TargetLeaving)
	}
	noticeCtx, cancel := context.WithTimeout(a.targetsCtx, leaveNoticeTimeout)
	defer cancel()
	if err := a.sendHeartbeat(noticeCtx); err != nil {
		a.cfg.Log.Warn("departure_not_noticed", "error", err)
	}
	deadline := time.NewTimer(a.cfg.DrainTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for a.activeRequests() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			a.cfg.Log.Warn("drain_timeout", "running", a.activeRequests())
			return
		}
	}
	a.cfg.Log.Info("agent_drained")
}

// Ready returns nil if the agent can admit requests, or else the reason why it
// can't.
func (a *Agent) Ready() error {
	switch {
	case a.draining.Load():
		return outcome.New(outcome.Draining, outcome.NotRun, "agent is draining")
	case !a.Fresh():
		return outcome.New(outcome.StateStale, outcome.NotRun, "no confirmed state")
	case len(a.snapshot()) == 0:
		return outcome.New(outcome.NoTarget, outcome.NotRun, "no target has announced itself")
	default:
		return nil
	}
}

// now returns the monotonic time since the agent was created.
func (a *Agent) now() admission.Time { return time.Since(a.startedAt) }

func (a *Agent) findTarget(id fleet.TargetID) (*target, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, found := a.targets[id]
	return t, found
}

// snapshot returns the current targets in no particular order.
func (a *Agent) snapshot() []*target {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*target, 0, len(a.targets))
	for _, t := range a.targets {
		list = append(list, t)
	}
	return list
}

func (a *Agent) addActive(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active += n
}

func (a *Agent) activeRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// notify signals c, a channel with a buffer of one, without blocking. Signals
// that nobody has received yet are merged.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
