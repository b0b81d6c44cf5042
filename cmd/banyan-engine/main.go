// Command banyan-engine is a simulated target for tests and demos: a model engine
// or a plain service that announces itself to its agent and can be made to fail.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/bundle"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/engine"
)

const (
	program       = "banyan-engine"
	crashExitCode = 3
)

type options struct {
	listen     string
	dataCentre string
	logLevel   string
	kind       string
	overload   string
	prefillMS  int
	tokenMS    float64
	loadLagMS  int
	cfg        engine.Config
}

func main() {
	var o options
	set := settings.New(program, "simulated model engine or plain service")
	o.register(set)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	err := run(&o)
	if errors.Is(err, engine.ErrCrashed) {
		os.Exit(crashExitCode)
	}
	settings.Exit(program, err)
}

func (o *options) register(set *settings.Set) {
	set.StringVar(&o.listen, "listen", "127.0.0.1:0", "HTTP address to serve on")
	set.StringVar(&o.cfg.AgentURL, "agent", "", "URL of the agent's announcement path, such as http://127.0.0.1:7100/v1/announce")
	set.StringVar(&o.cfg.AdvertiseAddress, "advertise", "", "address to announce; empty: the listener's")
	set.StringVar(&o.cfg.Name, "name", "engine", "name, unique on its host")
	set.StringVar(&o.dataCentre, "data-centre", "", "data centre named in the log")
	set.StringVar(&o.kind, "kind", string(bundle.KindModel), "model or service")
	set.StringVar(&o.cfg.Model, "model", "", "model or service name of the bundle")
	set.IntVar(&o.prefillMS, "prefill-ms", 20, "time before the first token, milliseconds")
	set.Float64Var(&o.tokenMS, "token-ms", 5, "time for each token at up to -warm concurrent requests, milliseconds")
	set.IntVar(&o.cfg.WarmCapacity, "warm", 16, "capacity in concurrent requests when warm")
	set.IntVar(&o.cfg.ColdCapacity, "cold", 2, "capacity in concurrent requests right after a start")
	set.IntVar(&o.cfg.WarmupRequests, "warmup-requests", 64, "completed requests until the engine is warm; 0: always warm")
	set.StringVar(&o.overload, "overload", string(engine.OverloadFail), "reaction to overload while cold: record, fail or exit")
	set.DurationVar(&o.cfg.FailDuration, "fail-for", 2*time.Second, "how long an overloaded engine fails all requests")
	set.IntVar(&o.loadLagMS, "load-lag-ms", 200, "age of the reported load, milliseconds")
	set.BoolVar(&o.cfg.CheckFencing, "check-fencing", false, "reject orders with an outdated fencing number")
	set.StringVar(&o.cfg.PoisonMarker, "poison", "POISON", "text that crashes the engine when a body contains it; \"-\" for none")
	set.Uint64Var(&o.cfg.Seed, "seed", 0, "seed of the generated text")
	set.StringVar(&o.logLevel, "log-level", "info", "log level")
	set.RequireAddress("listen", &o.listen)
	set.RequireNonEmpty("model", &o.cfg.Model)
	set.RequireNonEmpty("name", &o.cfg.Name)
	set.AddCheck(o.check)
}

// check validates the flags and fills in the engine configuration from them.
func (o *options) check() error {
	o.cfg.Kind = bundle.Kind(o.kind)
	if o.cfg.Kind != bundle.KindModel && o.cfg.Kind != bundle.KindService {
		return errors.Newf("-kind: %q is neither model nor service", o.kind)
	}
	o.cfg.Overload = engine.OverloadReaction(o.overload)
	switch o.cfg.Overload {
	case engine.OverloadRecord, engine.OverloadFail, engine.OverloadExit:
	default:
		return errors.Newf("-overload: %q is not record, fail or exit", o.overload)
	}
	if o.cfg.ColdCapacity < 1 || o.cfg.ColdCapacity > o.cfg.WarmCapacity {
		return errors.Newf("-cold: must be 1 to -warm, not %d", o.cfg.ColdCapacity)
	}
	if o.prefillMS < 0 || o.tokenMS < 0 || o.loadLagMS < 0 || o.cfg.WarmupRequests < 0 {
		return errors.New("-prefill-ms, -token-ms, -load-lag-ms and -warmup-requests must not be negative")
	}
	o.cfg.PrefillTime = time.Duration(o.prefillMS) * time.Millisecond
	o.cfg.TokenTime = time.Duration(o.tokenMS * float64(time.Millisecond))
	o.cfg.LoadSampleInterval = time.Duration(o.loadLagMS) * time.Millisecond
	return nil
}

func run(o *options) error {
	log, err := telemetry.NewLog(telemetry.Options{
		Process:    "engine/" + o.cfg.Name,
		DataCentre: o.dataCentre,
		Level:      o.logLevel,
		Output:     os.Stderr,
	})
	if err != nil {
		return errors.Wrap(err, "-log-level")
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return engine.New(o.cfg, log).Run(ctx, listener)
}
