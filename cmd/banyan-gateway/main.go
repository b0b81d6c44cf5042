// Command banyan-gateway is the callers' door: it checks keys and limits and
// carries requests to targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"banyanwalk/cmd/internal/member"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/services/gateway"
	"banyanwalk/services/node"
)

const program = "banyan-gateway"

type options struct {
	member.Member
	listen string
	cfg    gateway.Config
	http   *tlsconf.ListenerFlags
}

func main() {
	var o options
	set := settings.New(program, "entry host: keys, limits, routing, retries and streams")
	o.register(set)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func (o *options) register(set *settings.Set) {
	o.Register(set)
	set.StringVar(&o.listen, "listen", "127.0.0.1:8080", "HTTP address for callers")
	set.DurationVar(&o.cfg.DrainDelay, "drain-delay", gateway.DefaultDrainDelay, "time between readyz failing and the listener closing")
	set.DurationVar(&o.cfg.DrainTimeout, "drain-timeout", gateway.DefaultDrainTimeout, "time for running requests on shutdown")
	o.http = tlsconf.AddListenerFlags(set)
	set.RequireAddress("listen", &o.listen)
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	common, err := o.Common("gateway")
	if err != nil {
		return err
	}
	listener, err := o.http.Listen(o.listen)
	if err != nil {
		return err
	}
	g := &node.Gateway{Common: common, Listener: listener, Settings: o.cfg}
	return g.Run(ctx)
}
