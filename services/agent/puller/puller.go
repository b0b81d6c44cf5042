package puller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/batch"
	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/agent"
)

// Timeouts, intervals and size limits.
const (
	DefaultLease        = 15 * time.Second
	DefaultDrainTimeout = 30 * time.Second

	longPollWait        = 1500 * time.Millisecond // how long control holds a pull open while it has no items
	pollGrace           = 1 * time.Second         // added to longPollWait for the client's timeout of a pull
	emptyPullBackoff    = 250 * time.Millisecond
	failedPullBackoff   = 100 * time.Millisecond
	renewInterval       = 2 * time.Second
	maxReadyTime        = 2 * time.Second // after which ready items without a spare slot are returned
	sweepInterval       = 100 * time.Millisecond
	slotClaimWindow     = 1 * time.Millisecond // a launched item may not occupy its slot before this has passed
	maxItemsPerPull     = 256
	maxResultsPerCommit = 256
	maxCommitBytes      = 4 << 20
	maxResultBytes      = 11 << 20 // a result line must fit into one payload record
	commitTimeout       = 10 * time.Second
	renewTimeout        = 5 * time.Second
)

// Causes with which the context of a running item is cancelled.
var (
	errStoppedByControl = errors.New("control stopped the item")
	errShutdown         = errors.New("the agent shuts down")
)

// Control carries calls to the control replicas, as in package controlclient.
type Control interface {
	// CallIdempotent retries an idempotent call until it succeeds, fails with a
	// permanent error or ctx ends.
	CallIdempotent(ctx context.Context, method wire.Method, request, response any) error
	// Poll makes one long-poll call, which control may hold open.
	Poll(ctx context.Context, method wire.Method, request, response any) error
}

// Config describes the puller of one agent. Zero durations take defaults.
type Config struct {
	Agent        string // host name, as in agent.Config
	Slots        agent.BatchSlots
	Control      Control
	Log          *telemetry.Log
	Metrics      metrics.Registry // nil: no metrics
	Lease        time.Duration    // lease duration of an item, renewed while the item is held
	DrainTimeout time.Duration    // longest wait at shutdown for items that must not be stopped
}

// Puller pulls and runs the batch items of one agent. All its state belongs to
// the goroutine of Run.
type Puller struct {
	cfg         Config
	incarnation uint64 // start time in Unix nanoseconds, so that it rises with each restart
	pullNumber  uint64

	ready           map[string][]*item // by model, oldest first
	held            map[batch.ItemID]*item
	uncommitted     map[uint32][]*item // ended items whose results await a commit, by group
	targetStates    map[fleet.TargetID]*targetState
	completionRates map[string]*completionRate // by model

	inFlightPull   *pullCall
	nextPullAt     time.Time // earliest time of the next pull
	roundTrip      time.Duration
	lastRenewal    time.Time
	renewInFlight  bool
	commitInFlight map[uint32]bool // by group
	draining       bool

	wg         conc.WaitGroup
	callbacks  chan func() // executed by Run's goroutine
	wakeTimer  *time.Timer
	nextWakeAt time.Time
	launched   metrics.Meter
	finished   metrics.Meter
	returned   metrics.Meter
}

// New returns a puller that holds no items yet.
func New(cfg Config) *Puller {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = DefaultDrainTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Puller{
		cfg:             cfg,
		incarnation:     uint64(time.Now().UnixNano()),
		pullNumber:      1,
		ready:           make(map[string][]*item),
		held:            make(map[batch.ItemID]*item),
		uncommitted:     make(map[uint32][]*item),
		targetStates:    make(map[fleet.TargetID]*targetState),
		completionRates: make(map[string]*completionRate),
		commitInFlight:  make(map[uint32]bool),
		callbacks:       make(chan func()),
		wakeTimer:       time.NewTimer(time.Hour),
		launched:        metrics.GetOrRegisterMeter("puller.items.launched", cfg.Metrics),
		finished:        metrics.GetOrRegisterMeter("puller.items.finished", cfg.Metrics),
		returned:        metrics.GetOrRegisterMeter("puller.items.returned", cfg.Metrics),
	}
}

// Run fills spare slots until ctx ends. It then drains: it returns the items that
// can be returned, waits for those that must not be stopped, and ends when control
// has acknowledged all results or DrainTimeout has passed. The calls of
// Config.Control must work until Run has returned.
func (p *Puller) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer p.wg.Wait()
	defer cancelWork()
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	for {
		p.schedule(workCtx, time.Now())
		select {
		case <-ctx.Done():
			p.drain(workCtx)
			return nil
		case callback := <-p.callbacks:
			callback()
		case <-p.cfg.Slots.Changed():
		case <-p.wakeTimer.C:
		case now := <-sweepTicker.C:
			p.returnStaleItems(now)
		}
	}
}

// schedule starts the items, pulls, commits and renewals that are due.
func (p *Puller) schedule(ctx context.Context, now time.Time) {
	targets := p.cfg.Slots.Targets()
	if p.cfg.Slots.Fresh() && !p.draining {
		for _, t := range targets {
			p.fillSlots(ctx, t, now)
		}
		p.maybePull(ctx, targets, now)
	}
	p.maybeCommit(ctx)
	p.maybeRenew(ctx, now)
}

// post passes a callback to Run's goroutine, or drops it if ctx has ended.
func (p *Puller) post(ctx context.Context, callback func()) {
	select {
	case p.callbacks <- callback:
	case <-ctx.Done():
	}
}

// wakeAfter makes Run call schedule again within d from now at the latest.
func (p *Puller) wakeAfter(now time.Time, d time.Duration) {
	at := now.Add(d)
	if p.nextWakeAt.After(now) && !at.Before(p.nextWakeAt) {
		return
	}
	p.nextWakeAt = at
	p.wakeTimer.Reset(d)
}

// drain shuts down gracefully: it stops pulling, returns items that can be
// returned and waits for the remaining results to be acknowledged.
func (p *Puller) drain(ctx context.Context) {
	p.draining = true
	p.cfg.Log.Info("puller_draining", "held", len(p.held))
	timeout := time.NewTimer(p.cfg.DrainTimeout)
	defer timeout.Stop()
	p.abandonPull(ctx)
	for _, it := range p.held {
		p.releaseOnShutdown(it)
	}
	for len(p.held) > 0 || p.inFlightPull != nil {
		p.schedule(ctx, time.Now())
		select {
		case callback := <-p.callbacks:
			callback()
		case <-timeout.C:
			p.cfg.Log.Warn("puller_drain_timeout", "held", len(p.held))
			return
		}
	}
}

// releaseOnShutdown returns a ready item to control and cancels a running one if
// it is idempotent, so that it can run again elsewhere.
func (p *Puller) releaseOnShutdown(it *item) {
	switch it.state {
	case itemReady:
		p.removeReady(it)
		p.returnItem(it)
	case itemRunning:
		if it.pulled.Lease.Template.Idempotent {
			it.cancelRun(errShutdown)
		}
	}
}

// returnStaleItems returns the ready items of a model without spare slots once the
// oldest has waited for maxReadyTime, so that other agents can run them.
func (p *Puller) returnStaleItems(now time.Time) {
	for model, items := range p.ready {
		if len(items) == 0 || now.Sub(items[0].readyAt) < maxReadyTime || p.spareSlots(model) > 0 {
			continue
		}
		for _, it := range items {
			p.returnItem(it)
		}
		delete(p.ready, model)
	}
}

func (p *Puller) spareSlots(model string) int {
	spare := 0
	for _, t := range p.cfg.Slots.Targets() {
		if t.Model == model {
			spare += p.cfg.Slots.SpareOn(t.ID)
		}
	}
	return spare
}

// removeReady removes an item from the ready list.
func (p *Puller) removeReady(it *item) {
	model := it.pulled.Lease.Template.Model
	items := p.ready[model]
	for i := range items {
		if items[i] == it {
			p.ready[model] = append(items[:i:i], items[i+1:]...)
			return
		}
	}
}

// pullCall is a pull that is in flight.
type pullCall struct {
	wants  []batch.Want
	cancel context.CancelFunc
	sentAt time.Time
}

// pullRequest builds the request of a pull under the current pull number.
func (p *Puller) pullRequest(wants []batch.Want, wait time.Duration) *rpc.ItemsPull {
	return &rpc.ItemsPull{
		Agent: p.cfg.Agent, Incarnation: p.incarnation, Request: p.pullNumber, Wants: wants,
		LeaseMS: p.cfg.Lease.Milliseconds(), WaitMS: wait.Milliseconds(),
	}
}
