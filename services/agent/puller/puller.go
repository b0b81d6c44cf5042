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

// Times and sizes of the puller.
const (
	DefaultLease        = 15 * time.Second
	DefaultDrainTimeout = 30 * time.Second

	pollWait       = 1500 * time.Millisecond // control holds an empty pull back for so long
	pollSlack      = 1 * time.Second         // beyond pollWait until a pull is given up
	emptyPause     = 250 * time.Millisecond
	failurePause   = 100 * time.Millisecond
	renewEvery     = 2 * time.Second
	holdTime       = 2 * time.Second // items without a slot go back after it
	sweepEvery     = 100 * time.Millisecond
	launchWindow   = 1 * time.Millisecond // a started item may not have its slot before
	maxWant        = 256                  // items of one pull
	maxCommit      = 256                  // results of one commit
	maxCommitBytes = 4 << 20
	maxResultBytes = 11 << 20 // fits a payload record
	commitTimeout  = 10 * time.Second
	renewTimeout   = 5 * time.Second
)

// Causes of a cancelled item.
var (
	errStopped  = errors.New("control stopped the item")
	errShutdown = errors.New("the agent shuts down")
)

// Control carries calls to the control replicas, as in package controlclient.
type Control interface {
	// CallAgain makes an idempotent call until it succeeds, is refused for good
	// or ctx ends.
	CallAgain(ctx context.Context, method wire.Method, request, response any) error
	// Poll makes one call that control may hold back.
	Poll(ctx context.Context, method wire.Method, request, response any) error
}

// Config describes the puller of one agent. Zero durations take defaults.
type Config struct {
	Agent        string // host name, as in agent.Config
	Slots        agent.BatchSlots
	Control      Control
	Log          *telemetry.Log
	Metrics      metrics.Registry // nil: none are kept
	Lease        time.Duration    // of an item, renewed while it is held
	DrainTimeout time.Duration    // for items that must not be stopped
}

// Puller is the batch side of one agent. All its state belongs to the
// goroutine of Run.
type Puller struct {
	cfg         Config
	incarnation uint64 // start time, so that it rises with each life of the agent
	request     uint64

	ready   map[string][]*item // by model, oldest first
	held    map[batch.ItemID]*item
	results map[uint32][]*item // ended, to be committed, by group
	lanes   map[fleet.TargetID]*lane
	rates   map[string]*rate // completions by model

	pull      *pullCall
	pullAt    time.Time // not before
	roundTrip time.Duration
	renewAt   time.Time
	renewing  bool
	commits   map[uint32]bool // groups with a commit under way
	stopping  bool

	wg       conc.WaitGroup
	events   chan func() // run by Run's goroutine
	wake     *time.Timer
	wakeAt   time.Time
	launched metrics.Meter
	finished metrics.Meter
	returned metrics.Meter
}

// New returns a puller that holds nothing.
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
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		request:     1,
		ready:       make(map[string][]*item),
		held:        make(map[batch.ItemID]*item),
		results:     make(map[uint32][]*item),
		lanes:       make(map[fleet.TargetID]*lane),
		rates:       make(map[string]*rate),
		commits:     make(map[uint32]bool),
		events:      make(chan func()),
		wake:        time.NewTimer(time.Hour),
		launched:    metrics.GetOrRegisterMeter("puller.items.launched", cfg.Metrics),
		finished:    metrics.GetOrRegisterMeter("puller.items.finished", cfg.Metrics),
		returned:    metrics.GetOrRegisterMeter("puller.items.returned", cfg.Metrics),
	}
}

// Run fills spare slots until ctx ends. Then it gives back what it can, waits
// for items that must not be stopped, and returns when control has
// acknowledged all results or the drain timeout has passed. The calls of
// Config.Control must work until Run has returned.
func (p *Puller) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer p.wg.Wait()
	defer end()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		p.step(life, time.Now())
		select {
		case <-ctx.Done():
			p.drain(life)
			return nil
		case event := <-p.events:
			event()
		case <-p.cfg.Slots.Changed():
		case <-p.wake.C:
		case now := <-sweep.C:
			p.sweep(now)
		}
	}
}

// step starts whatever may start now.
func (p *Puller) step(ctx context.Context, now time.Time) {
	targets := p.cfg.Slots.Targets()
	if p.cfg.Slots.Fresh() && !p.stopping {
		for _, t := range targets {
			p.fill(ctx, t, now)
		}
		p.maybePull(ctx, targets, now)
	}
	p.maybeCommit(ctx)
	p.maybeRenew(ctx, now)
}

// post hands an event to Run's goroutine, unless that has ended.
func (p *Puller) post(ctx context.Context, event func()) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// wakeAfter makes the next step come no later than d from now.
func (p *Puller) wakeAfter(now time.Time, d time.Duration) {
	at := now.Add(d)
	if p.wakeAt.After(now) && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	p.wake.Reset(d)
}

// drain ends the puller's work in order.
func (p *Puller) drain(life context.Context) {
	p.stopping = true
	p.cfg.Log.Info("puller_draining", "held", len(p.held))
	limit := time.NewTimer(p.cfg.DrainTimeout)
	defer limit.Stop()
	p.abandonPull(life)
	for _, it := range p.held {
		p.release(it)
	}
	for len(p.held) > 0 || p.pull != nil {
		p.step(life, time.Now())
		select {
		case event := <-p.events:
			event()
		case <-limit.C:
			p.cfg.Log.Warn("puller_drain_timeout", "held", len(p.held))
			return
		}
	}
}

// release gives an item back at shutdown. A running item is stopped if it may
// run again.
func (p *Puller) release(it *item) {
	switch it.state {
	case itemReady:
		p.unready(it)
		p.giveBack(it)
	case itemRunning:
		if it.pulled.Lease.Template.Idempotent {
			it.cancel(errShutdown)
		}
	}
}

// sweep gives back items that have waited long for a slot.
func (p *Puller) sweep(now time.Time) {
	for model, items := range p.ready {
		if len(items) == 0 || now.Sub(items[0].readyAt) < holdTime || p.spareFor(model) > 0 {
			continue
		}
		for _, it := range items {
			p.giveBack(it)
		}
		delete(p.ready, model)
	}
}

func (p *Puller) spareFor(model string) int {
	spare := 0
	for _, t := range p.cfg.Slots.Targets() {
		if t.Model == model {
			spare += p.cfg.Slots.SpareOn(t.ID)
		}
	}
	return spare
}

// unready takes an item out of the ready list.
func (p *Puller) unready(it *item) {
	model := it.pulled.Lease.Template.Model
	items := p.ready[model]
	for i := range items {
		if items[i] == it {
			p.ready[model] = append(items[:i:i], items[i+1:]...)
			return
		}
	}
}

// pullCall is the pull under way.
type pullCall struct {
	wants  []batch.Want
	cancel context.CancelFunc
	sentAt time.Time
}

// pullRequest returns the message of a pull under the current number.
func (p *Puller) pullRequest(wants []batch.Want, wait time.Duration) *rpc.ItemsPull {
	return &rpc.ItemsPull{
		Agent: p.cfg.Agent, Incarnation: p.incarnation, Request: p.request, Wants: wants,
		LeaseMS: p.cfg.Lease.Milliseconds(), WaitMS: wait.Milliseconds(),
	}
}
