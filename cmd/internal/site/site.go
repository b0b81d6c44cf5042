// Package site implements what the programs of a site share: reading and
// reloading the provider's settings file, logging to standard output, following
// the control hosts, serving metrics and handling signals.
package site

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/quota"
	"banyanwalk/core/routing"
	"banyanwalk/infra/httplimits"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/platform"
	"banyanwalk/services/follow"
)

const (
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	// It is below Go's default of 100 because hosts are billed for their peak
	// memory.
	gcPercent = 60
	// memoryLimitFraction is the fraction of the host's memory that is set as the
	// Go runtime's soft memory limit.
	memoryLimitFraction = 0.7
	// httpShutdownTimeout bounds the graceful shutdown of the HTTP servers of this
	// package. The callers' listener of a gateway has a shutdown of its own.
	httpShutdownTimeout = 200 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes, because it may change without a SIGHUP. Only the seeds in it
	// change.
	settingsPollInterval = 2 * time.Second
)

// Process is the environment of a running program of a site.
type Process struct {
	Settings *platform.Settings
	Log      *telemetry.Log
	Metrics  metrics.Registry
	Limits   *httplimits.Limits // of all HTTP servers of the process

	initialSettings []byte // content of the settings file at the start
	metricsPort     int
	logWriter       *telemetry.AsyncWriter
	reloadSignals   chan os.Signal
}

// Main parses the command line, runs the program until SIGTERM or SIGINT, and
// exits the process.
func Main(program, summary string, run func(ctx context.Context, p *Process) error) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP) // first of all: the default action of SIGHUP ends the process
	set := settings.New(program, summary+"; the environment variable "+platform.SettingsEnvVar+" names its settings file")
	port := set.Int("metrics-port", 0, "port for /metrics on the address of the host; 0: none")
	level := set.String("log-level", "info", "log level")
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, start(program, *port, *level, reloadSignals, run))
}

// start reads the settings file, sets up logging, memory limits and signals, and
// calls run. The log is flushed last, so that it contains process_stopped.
func start(program string, port int, level string, reloadSignals chan os.Signal, run func(ctx context.Context, p *Process) error) error {
	content, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	loaded, err := platform.ParseSettings(content)
	if err != nil {
		return errors.Wrap(err, "settings file "+os.Getenv(platform.SettingsEnvVar))
	}
	p := &Process{Settings: loaded, initialSettings: content, Metrics: metrics.NewRegistry(), metricsPort: port,
		logWriter: telemetry.NewAsyncWriter(os.Stdout), reloadSignals: reloadSignals}
	p.Log, err = telemetry.NewLog(telemetry.Options{Process: program + "/" + loaded.Host, DataCentre: loaded.DataCentre, Level: level, Output: p.logWriter})
	if err != nil {
		return errors.Wrap(err, "-log-level")
	}
	p.Limits = httplimits.New(httplimits.Config{Name: "site", MemoryBytes: loaded.MemoryBytes, MaxDescriptors: loaded.MaxDescriptors, Metrics: p.Metrics})
	debug.SetGCPercent(gcPercent)
	if loaded.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer signal.Stop(reloadSignals)
	loggingCtx, stopLogging := context.WithCancel(context.Background())
	var logTask, metricsTask conc.WaitGroup
	logTask.Go(func() { p.logWriter.Run(loggingCtx) })
	metricsTask.Go(func() { p.serveMetrics(ctx) })
	p.Log.Info("process_started", "data_centre_named", loaded.DataCentre, "first_start", loaded.Bootstrap,
		"seeds", len(loaded.ControlSeeds), "memory", loaded.MemoryBytes, "lost_hosts", loaded.ToleratedHostLosses)
	err = run(ctx, p)
	if err != nil {
		p.Log.Error("process_failed", "error", err)
	}
	p.Log.Info("process_stopped", "error", err)
	stop()
	metricsTask.Wait()
	stopLogging()
	logTask.Wait()
	return err
}

// NewFollower returns a follower of the site's state for a process with the given
// role. storage and broker may be nil, as in follow.Config.
func (p *Process) NewFollower(role string, storage func() *rpc.StorageState, broker func() uint64) *follow.Follower {
	config := p.FollowerConfig(rpc.Member{Name: p.Settings.Host, Role: role, DataCentre: p.Settings.DataCentre})
	config.Storage = storage
	config.Broker = broker
	config.AcceptEarly = role == rpc.RoleGateway
	if bounds := p.Settings.Quota; spendsTokens(role) && bounds.Window > 0 {
		config.Quota = &quota.Bounds{Window: bounds.Window, Overage: bounds.Overage, Slack: bounds.Slack}
	}
	return follow.New(config)
}

// spendsTokens reports whether processes of a role spend tokens of workspaces: gateways do,
// and the broker on a storage host.
func spendsTokens(role string) bool { return role == rpc.RoleGateway || role == rpc.RoleStorage }

// FollowerConfig returns the follower configuration that all roles share.
func (p *Process) FollowerConfig(member rpc.Member) follow.Config {
	return follow.Config{
		Member: member,
		Seeds:  p.Settings.ControlSeeds,
		Decode: DecodeDocument,
		Log:    p.Log,

		Metrics: p.Metrics,
	}
}

// DecodeDocument decodes the canonical encoding of a document.
func DecodeDocument(body []byte) (*routing.Document, error) {
	document, _, err := platform.DecodeDocument(body)
	return document, err
}

// WatchSettings reloads the settings file on SIGHUP and when its content has
// changed, until ctx ends, and passes the new seeds to f. f is nil on a control
// host with a disk: it needs no seeds, because its replicated log names the other
// control hosts.
func (p *Process) WatchSettings(ctx context.Context, f *follow.Follower) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent := p.initialSettings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.reloadSignals:
			signalled = true
		case <-ticker.C:
		}
		content, err := platform.ReadSettings()
		if !signalled && err == nil && bytes.Equal(content, lastContent) {
			continue
		}
		lastContent = content
		var loaded *platform.Settings
		if err == nil {
			loaded, err = platform.ParseSettings(content)
		}
		if err != nil {
			p.Log.Warn("settings_reload_failed", "signalled", signalled, "error", err)
			continue
		}
		if f != nil {
			f.Seed(loaded.ControlSeeds)
		}
		p.Log.Info("settings_reloaded", "signalled", signalled, "seeds", len(loaded.ControlSeeds))
	}
}

// Listen opens a TCP listener on an address from the settings file. purpose
// describes it in errors.
func Listen(purpose, addr string) (net.Listener, error) {
	if addr == "" {
		return nil, errors.Newf("the settings file has no listen address for %s", purpose)
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen for %s", purpose)
}

// ServeHTTP serves HTTP requests with the handler until ctx ends, within limits of the
// process.
func (p *Process) ServeHTTP(ctx context.Context, l net.Listener, limits *httplimits.Limits, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{
		Handler: limits.Handler(documentCopies, handler), NoDefaultServerHeader: true, IdleTimeout: operatorIdleTimeout, CloseOnShutdown: true,
		Logger: telemetry.DiscardHTTPLogger{},
	}
	limits.Apply(server)
	var sweeping conc.WaitGroup
	defer sweeping.Wait()
	sweepCtx, stop := context.WithCancel(ctx)
	defer stop()
	sweeping.Go(func() { limits.Run(sweepCtx) })
	drained := make(chan struct{})
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer close(drained)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownCtx) // an error means that requests were still open at the timeout
	})
	err := server.Serve(l)
	if !cancelShutdown() {
		<-drained // Serve returns as soon as the listener is closed
		return nil
	}
	return errors.Wrap(err, "serve http")
}

const (
	// operatorIdleTimeout is how long a connection there may stay idle.
	operatorIdleTimeout = 90 * time.Second
	// documentCopies is how many copies of its body a request there holds: operators send
	// documents, which are parsed, encoded anew and proposed to the group.
	documentCopies = 5
)

// serveMetrics serves the metrics registry as text until ctx ends.
func (p *Process) serveMetrics(ctx context.Context) {
	if p.metricsPort == 0 {
		return
	}
	host, _, err := net.SplitHostPort(p.Settings.ControlRPCAddr)
	if err != nil {
		p.Log.Warn("metrics_not_served", "error", err)
		return
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(p.metricsPort)))
	if err != nil {
		p.Log.Warn("metrics_not_served", "error", err)
		return
	}
	err = p.ServeHTTP(ctx, l, p.Limits.ForOperators(), func(ctx *fasthttp.RequestCtx) { metrics.WriteOnce(p.Metrics, ctx) })
	if err != nil {
		p.Log.Warn("metrics_not_served", "error", err)
	}
}
