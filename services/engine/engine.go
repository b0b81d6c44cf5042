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
	leavingGrace = 200 * time.Millisecond // keeps the listener open after the leaving announcement
	drainTimeout = 30 * time.Second
)

// Engine is one simulated target: it serves generated responses over HTTP and
// records what it served. The record covers all incarnations of the engine.
type Engine struct {
	cfg            Config
	log            *telemetry.Log
	recorder       *recorder
	faults         faultState
	currentProcess atomic.Pointer[processRun]
}

// processRun is the state of one incarnation of the engine, from a call of Run
// to its end. ctx ends when the incarnation crashes.
type processRun struct {
	incarnation uint64
	ctx         context.Context
	crash       context.CancelCauseFunc
}

// New returns an engine that is not yet serving; Run starts it.
func New(cfg Config, log *telemetry.Log) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, log: log, recorder: newRecorder(cfg)}
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() Stats { return e.recorder.snapshot() }

// Inject activates faults. It acts on ResetToCold and Crash at once.
func (e *Engine) Inject(f Faults) {
	e.faults.apply(f, time.Now())
	if f.ResetToCold {
		e.recorder.resetToCold()
	}
	if f.Crash {
		e.crash("injected")
	}
}

// Run serves on l as a new, cold incarnation until ctx ends, then shuts down
// gracefully. It returns ErrCrashed if the engine crashed.
func (e *Engine) Run(ctx context.Context, l net.Listener) error {
	runCtx, crash := context.WithCancelCause(context.WithoutCancel(ctx))
	defer crash(nil)
	process := &processRun{incarnation: uint64(time.Now().UnixNano()), ctx: runCtx, crash: crash}
	e.recorder.startIncarnation(process.incarnation)
	e.currentProcess.Store(process)
	server := &http.Server{Handler: e.routes(process)} // no idle timeout: idle connections stay open
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { e.sampleLoad(runCtx) })
	announcer := newAnnouncer(e, process.incarnation, l.Addr().String())
	wg.Go(func() { announcer.run(runCtx, ctx) })
	e.log.Info("engine_started", "name", e.cfg.Name, "address", l.Addr(), "incarnation", process.incarnation)
	select {
	case <-runCtx.Done():
		_ = server.Close()
		e.log.Warn("engine_crashed", "name", e.cfg.Name)
		return ErrCrashed
	case <-ctx.Done():
		return e.drain(runCtx, server, announcer)
	}
}

// drain tells the agent that the engine is leaving, keeps accepting for
// leavingGrace and then waits up to drainTimeout for in-flight requests.
func (e *Engine) drain(runCtx context.Context, server *http.Server, announcer *announcer) error {
	if announcer.announceLeaving(runCtx) {
		pause.For(runCtx, leavingGrace)
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

// crash aborts the current incarnation together with its in-flight requests.
func (e *Engine) crash(reason string) {
	process := e.currentProcess.Load()
	if process == nil || process.ctx.Err() != nil {
		return
	}
	e.recorder.countCrash()
	e.log.Warn("engine_crash", "reason", reason)
	process.crash(ErrCrashed)
}

// sampleLoad refreshes the reported load every LoadSampleInterval, so that GET
// /load returns a value of up to that age. With 0 it returns the current load.
func (e *Engine) sampleLoad(ctx context.Context) {
	if e.cfg.LoadSampleInterval == 0 {
		return
	}
	ticker := time.NewTicker(e.cfg.LoadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.recorder.sampleLoad()
		}
	}
}
