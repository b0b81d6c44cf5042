// Package agent is the only door to the targets of one host. It admits
// requests of all gateways together, runs batch items in what they leave
// spare, matches answers to requests, keeps attempts from running twice and
// reports crashes.
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
	drainPoll           = 5 * time.Millisecond
	// departureNotice is how long the departure may take to reach control
	// before the agent drains without it.
	departureNotice = 2 * time.Second
)

// Control is the agent's link to the control replicas, as in package
// controlclient.
type Control interface {
	// View returns the newest view of the fleet; it is never nil.
	View() *fleet.View
	// Fresh reports whether the view may be used to admit work.
	Fresh(now time.Time) bool
	// CallAgain makes an idempotent call on any replica until ctx ends.
	CallAgain(ctx context.Context, method wire.Method, request, response any) error
}

// Config describes one agent. Zero durations take defaults.
type Config struct {
	Name          string // host name, unique in the fleet
	DataCentre    string
	AdvertiseAddr string // host:port at which gateways reach the wire listener; empty: the listener's
	Control       Control
	Log           *telemetry.Log
	Metrics       metrics.Registry // nil: none are kept
	TLS           *tls.Config      // of the wire listener; nil: in the clear
	Admission     admission.Config
	DrainTimeout  time.Duration // for requests that run when the agent is told to stop
	AnnounceTTL   time.Duration // a target that is silent for so long is dropped
}

// Agent guards the targets of one host. It is safe for concurrent use.
type Agent struct {
	cfg         Config
	incarnation uint64
	start       time.Time
	addr        atomic.Pointer[string] // advertised
	counters    counters
	draining    atomic.Bool
	changed     chan struct{} // spare capacity appeared
	beat        chan struct{} // the list of targets changed
	work        conc.WaitGroup
	chunks      sync.Pool       // of *[]byte, chunkBytes each
	life        context.Context // of all connections to targets
	kill        context.CancelFunc

	mu       sync.Mutex
	targets  map[fleet.TargetID]*target
	fences   map[fleet.TargetID]*fence
	active   int // requests that are past their first checks
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
	life, kill := context.WithCancel(context.Background())
	a := &Agent{
		cfg:         cfg,
		incarnation: rand.Uint64() | 1,
		start:       time.Now(),
		counters:    newCounters(cfg.Metrics),
		changed:     make(chan struct{}, 1),
		beat:        make(chan struct{}, 1),
		life:        life,
		kill:        kill,
		targets:     make(map[fleet.TargetID]*target),
		fences:      make(map[fleet.TargetID]*fence),
		attempts:    dedupe.NewTable(dedupe.DefaultWindow, dedupe.DefaultMaximum),
	}
	a.chunks.New = func() any {
		chunk := make([]byte, chunkBytes)
		return &chunk
	}
	a.addr.Store(&a.cfg.AdvertiseAddr)
	return a
}

// Incarnation identifies this life of the agent. Attempts are bound to it.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves gateways on wireListener and announcements on announceListener
// until ctx ends. Then it takes no new work, finishes what runs within the
// drain timeout, and returns.
func (a *Agent) Run(ctx context.Context, wireListener, announceListener net.Listener) error {
	if a.cfg.AdvertiseAddr == "" {
		addr := wireListener.Addr().String()
		a.chunks.New = func() any {
			chunk := make([]byte, chunkBytes)
			return &chunk
		}
		a.addr.Store(&addr)
	}
	defer a.work.Wait()
	defer a.kill()
	server := wire.NewServer(a.cfg.Log, a.cfg.TLS)
	server.Handle(rpc.MethodExecute, a.handleExecute)
	wire.HandleUnary(server, rpc.MethodOrder, a.handleOrder)
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 2)
	a.work.Go(func() { served <- server.Serve(serving, wireListener) })
	a.work.Go(func() { served <- a.serveAnnouncements(serving, announceListener) })
	a.work.Go(func() { a.heartbeats(serving) })
	a.work.Go(func() { a.sweep(serving) })
	a.cfg.Log.Info("agent_started", "address", *a.addr.Load(), "incarnation", a.incarnation)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		a.drain()
		return nil
	}
}

// drain refuses new work and waits for what runs.
func (a *Agent) drain() {
	a.cfg.Log.Info("agent_draining")
	a.draining.Store(true)
	for _, t := range a.snapshot() {
		t.close(outcome.TargetLeaving)
	}
	notice, cancel := context.WithTimeout(a.life, departureNotice)
	defer cancel()
	if err := a.sendHeartbeat(notice); err != nil {
		a.cfg.Log.Warn("departure_not_noticed", "error", err)
	}
	deadline := time.NewTimer(a.cfg.DrainTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPoll)
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

// Ready returns the reason why the agent admits nothing, or nil.
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

// now returns the agent's monotonic clock.
func (a *Agent) now() admission.Time { return time.Since(a.start) }

func (a *Agent) target(id fleet.TargetID) (*target, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, found := a.targets[id]
	return t, found
}

// snapshot returns the current targets, in no order.
func (a *Agent) snapshot() []*target {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*target, 0, len(a.targets))
	for _, t := range a.targets {
		list = append(list, t)
	}
	return list
}

func (a *Agent) countActive(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active += n
}

func (a *Agent) activeRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// notify puts a value into a signal channel unless one is there already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
