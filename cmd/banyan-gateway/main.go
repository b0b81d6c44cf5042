// Command banyan-gateway serves callers: it checks API keys and limits and
// forwards requests to targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"banyanwalk/cmd/internal/member"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/services/gateway"
	"banyanwalk/services/node"
)

const program = "banyan-gateway"

// memoryLimitPercent is the part of the memory that is the Go runtime's soft limit.
const memoryLimitPercent = 70

type options struct {
	member.Member
	listen  string
	cfg     gateway.Config
	httpTLS *tlsconf.ListenerFlags
}

func main() {
	var o options
	set := settings.New(program, "gateway for callers: keys, limits, routing, retries and streaming")
	o.register(set)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func (o *options) register(set *settings.Set) {
	o.Register(set)
	set.StringVar(&o.listen, "listen", "127.0.0.1:8080", "HTTP address for callers")
	set.DurationVar(&o.cfg.DrainDelay, "drain-delay", gateway.DefaultDrainDelay, "time from the first failing /readyz to the closing of the listener at shutdown")
	set.DurationVar(&o.cfg.DrainTimeout, "drain-timeout", gateway.DefaultDrainTimeout, "time for requests in flight to finish at shutdown")
	set.Int64Var(&o.cfg.MemoryBytes, "memory-bytes", 0, "memory that this process may use, in bytes; bounds what requests and connections may hold together; 0: unknown, requests then hold 64 MiB at most")
	set.AddCheck(func() error {
		if o.cfg.MemoryBytes < 0 {
			return errors.Newf("-memory-bytes: %d is negative", o.cfg.MemoryBytes)
		}
		return nil
	})
	o.httpTLS = tlsconf.AddListenerFlags(set)
	set.RequireAddress("listen", &o.listen)
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	common, err := o.NewNodeCommon("gateway")
	if err != nil {
		return err
	}
	listener, err := o.httpTLS.Listen(o.listen)
	if err != nil {
		return err
	}
	if o.cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(o.cfg.MemoryBytes * memoryLimitPercent / 100)
	}
	g := &node.Gateway{Common: common, Listener: listener, Settings: o.cfg}
	return g.Run(ctx)
}
