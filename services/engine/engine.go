package engine

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/infra/pause"
	"banyanwalk/infra/telemetry"
)

const (
	leaveGrace   = 200 * time.Millisecond // between the leaving announcement and the closed listener
	drainTimeout = 30 * time.Second
)

// Engine is one stand-in target. Its record survives crashes.
type Engine struct {
	cfg    Config
	log    *telemetry.Log
	record *record
	faults faultState
	life   atomic.Pointer[life]
}

// life is one incarnation of the engine's process.
type life struct {
	incarnation uint64
	ctx         context.Context
	crash       context.CancelCauseFunc
}

// New returns an engine that does not run yet.
func New(cfg Config, log *telemetry.Log) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, log: log, record: newRecord(cfg)}
}

// Runs returns a copy of the engine's record.
func (e *Engine) Runs() Runs { return e.record.snapshot() }

// Inject puts faults in force.
func (e *Engine) Inject(f Faults) {
	e.faults.apply(f, time.Now())
	if f.Cold {
		e.record.turnCold()
	}
	if f.Crash {
		e.crash("injected")
	}
}

// Run serves on l as a new, cold incarnation until ctx ends, then drains. It
// returns ErrCrashed when the engine crashed.
func (e *Engine) Run(ctx context.Context, l net.Listener) error {
	runCtx, crash := context.WithCancelCause(context.WithoutCancel(ctx))
	defer crash(nil)
	current := &life{incarnation: uint64(time.Now().UnixNano()), ctx: runCtx, crash: crash}
	e.record.start(current.incarnation)
	e.life.Store(current)
	server := &http.Server{Handler: e.routes(current)} // idle connections stay open
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { e.sampleLoad(runCtx) })
	announcer := newAnnouncer(e, current.incarnation, l.Addr().String())
	wg.Go(func() { announcer.run(runCtx, ctx) })
	e.log.Info("engine_started", "name", e.cfg.Name, "address", l.Addr(), "incarnation", current.incarnation)
	select {
	case <-runCtx.Done():
		_ = server.Close()
		e.log.Warn("engine_crashed", "name", e.cfg.Name)
		return ErrCrashed
	case <-ctx.Done():
		return e.drain(runCtx, server, announcer)
	}
}

// drain announces the departure and finishes what runs.
func (e *Engine) drain(runCtx context.Context, server *http.Server, announcer *announcer) error {
	if announcer.leave(runCtx) {
		pause.For(runCtx, leaveGrace)
	}
	ctx, cancel := context.WithTimeout(runCtx, drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(context.Cause(runCtx), ErrCrashed) {
		_ = server.Close()
		return ErrCrashed
	}
	return errors.Wrap(err, "drain engine")
}

// crash ends the current incarnation at once.
func (e *Engine) crash(reason string) {
	current := e.life.Load()
	if current == nil || current.ctx.Err() != nil {
		return
	}
	e.record.crashed()
	e.log.Warn("engine_crash", "reason", reason)
	current.crash(ErrCrashed)
}

func (e *Engine) sampleLoad(ctx context.Context) {
	if e.cfg.LoadLag == 0 {
		return
	}
	ticker := time.NewTicker(e.cfg.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.record.sampleLoad()
		}
	}
}
