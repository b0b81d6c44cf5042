// Package site holds what the programs of a site share: they take their
// settings from the provider's file, log to standard output, follow control
// and serve their metrics.
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

	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/platform"
	"banyanwalk/services/follow"
)

const (
	// collectAt is the growth of the heap, in percent, at which it is collected:
	// hosts are billed for memory at its peak.
	collectAt = 60
	// memoryShare is the part of the memory that the collector keeps to.
	memoryShare = 0.7
	// stopTimeout bounds the end of the HTTP listeners beside the main one.
	stopTimeout = 200 * time.Millisecond
	// settingsInterval is the pause between two looks at the settings file, which
	// may change without a signal; only the seeds in it change.
	settingsInterval = 2 * time.Second
)

// Process is one program of a site.
type Process struct {
	Settings *platform.Settings
	Log      *telemetry.Log
	Metrics  metrics.Registry

	settingsFile []byte // as it was read at the start
	metricsPort  int
	out          *telemetry.AsyncWriter
	hangups      chan os.Signal
}

// Main runs a program until it is told to stop, and ends the process.
func Main(program, summary string, run func(ctx context.Context, p *Process) error) {
	set := settings.New(program, summary+"; its settings come from the file that "+platform.SettingsEnvVar+" names")
	port := set.Int("metrics-port", 0, "port for /metrics on the host's address; 0: none")
	level := set.String("log-level", "info", "log level")
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, start(program, *port, *level, run))
}

func start(program string, port int, level string, run func(ctx context.Context, p *Process) error) error {
	file, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	loaded, err := platform.ParseSettings(file)
	if err != nil {
		return errors.Wrap(err, "settings file "+os.Getenv(platform.SettingsEnvVar))
	}
	p := &Process{Settings: loaded, settingsFile: file, Metrics: metrics.NewRegistry(), metricsPort: port,
		out: telemetry.NewAsyncWriter(os.Stdout), hangups: make(chan os.Signal, 1)}
	p.Log, err = telemetry.NewLog(telemetry.Options{Process: program + "/" + loaded.Host, DataCentre: loaded.DataCentre, Level: level, Output: p.out})
	if err != nil {
		return errors.Wrap(err, "-log-level")
	}
	debug.SetGCPercent(collectAt)
	if loaded.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(loaded.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Notify(p.hangups, syscall.SIGHUP) // unhandled it would end the process
	defer signal.Stop(p.hangups)
	background, end := context.WithCancel(context.Background())
	var logging, serving conc.WaitGroup
	logging.Go(func() { p.out.Run(background) })
	serving.Go(func() { p.serveMetrics(ctx) })
	p.Log.Info("process_started", "data_centre_named", loaded.DataCentre, "first_start", loaded.Bootstrap,
		"seeds", len(loaded.ControlSeeds), "memory", loaded.MemoryBytes, "lost_hosts", loaded.ToleratedHostLosses)
	err = run(ctx, p)
	p.Log.Info("process_stopped", "error", err)
	stop()
	serving.Wait()
	end()
	logging.Wait()
	return err
}

// Follower returns the view of a process with the given role.
func (p *Process) Follower(role string, storage func() *rpc.StorageState, broker func() uint64) *follow.Follower {
	config := p.FollowConfig(rpc.Member{Name: p.Settings.Host, Role: role, DataCentre: p.Settings.DataCentre})
	config.Storage = storage
	config.Broker = broker
	return follow.New(config)
}

// FollowConfig returns what the view of a member begins with.
func (p *Process) FollowConfig(member rpc.Member) follow.Config {
	return follow.Config{
		Member: member,
		Seeds:  p.Settings.ControlSeeds,
		Decode: func(body []byte) (*routing.Document, error) {
			document, _, err := platform.DecodeDocument(body)
			return document, err
		},
		Log: p.Log,
	}
}

// WatchSettings reads the settings file again on SIGHUP and when it has
// changed, until ctx ends. f is told the new seeds; a control host has none and
// needs none, as its log names the others.
func (p *Process) WatchSettings(ctx context.Context, f *follow.Follower) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known := p.settingsFile
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
			signalled = true
		case <-ticker.C:
		}
		file, err := platform.ReadSettings()
		if !signalled && err == nil && bytes.Equal(file, known) {
			continue
		}
		known = file
		var loaded *platform.Settings
		if err == nil {
			loaded, err = platform.ParseSettings(file)
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

// Listen opens a TCP listener on one of the addresses of the settings.
func Listen(what, addr string) (net.Listener, error) {
	if addr == "" {
		return nil, errors.Newf("the settings name no address for %s", what)
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen for %s", what)
}

// ServeHTTP answers with a handler until ctx ends.
func ServeHTTP(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxOrderBytes, CloseOnShutdown: true, Logger: telemetry.DiscardHTTPLogger{},
	}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(bounded) // calls that are still open have had their time
	})
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve http")
}

// maxOrderBytes bounds an order; a document may be large.
const maxOrderBytes = 32 << 20

// serveMetrics serves the registry as text until ctx ends.
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
	err = ServeHTTP(ctx, l, func(ctx *fasthttp.RequestCtx) { metrics.WriteOnce(p.Metrics, ctx) })
	if err != nil {
		p.Log.Warn("metrics_not_served", "error", err)
	}
}
