// Command banyan-control runs a control host: one of the few hosts with a disk,
// which replicate the state of the fleet (bundles, marks, membership and batch
// jobs).
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/infra/settings"
	"banyanwalk/services/node"
)

const program = "banyan-control"

func main() {
	var o options
	set := settings.New(program, "control host: replicated state, batch jobs and the HTTP API for operators")
	o.register(set)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := o.Log("control/" + strconv.FormatUint(o.id, 10))
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	cfg, err := o.config(log, registry)
	if err != nil {
		return err
	}
	c := &node.Control{Settings: cfg, BatchShards: o.batchShards}
	if c.Listener, err = net.Listen("tcp", o.listen); err != nil {
		return errors.Wrap(err, "-listen")
	}
	if o.adminListen != "" {
		if c.Operators, err = o.httpTLS.Listen(o.adminListen); err != nil {
			return errors.Wrap(err, "-admin-listen")
		}
	}
	if c.Admin, err = settings.ListenOptional(o.MetricsListen); err != nil {
		return err
	}
	return c.Run(ctx)
}
