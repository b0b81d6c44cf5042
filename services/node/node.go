// Package node assembles the gateway, agent and control programs from their
// services and runs them until they have drained. Callers provide the settings
// and the open listeners.
package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/infra/telemetry"
	"banyanwalk/services/controlclient"
)

// Common holds the settings that gateways and agents share.
type Common struct {
	Name         string   // unique in the fleet
	DataCentre   string   // of this host
	ControlAddrs []string // wire addresses of the control replicas
	ServerTLS    *tls.Config
	ClientTLS    *tls.Config
	Log          *telemetry.Log
	Metrics      metrics.Registry
	Admin        net.Listener // /metrics, /healthz, /readyz; nil: none
}

func (c *Common) newControlClient(subscriber string) *controlclient.Client {
	return controlclient.New(controlclient.Config{
		Name:       subscriber,
		DataCentre: c.DataCentre,
		Addrs:      c.ControlAddrs,
		TLS:        c.ClientTLS,
		Log:        c.Log,
	})
}

// task is one service of a program. It returns when its context ends.
type task func(ctx context.Context) error

// serve runs the foreground tasks until ctx ends and they have drained. The
// subscription to control and the admin listener keep running until then, so that
// in-flight requests have a fresh view.
func (c *Common) serve(ctx context.Context, control *controlclient.Client, ready func() error, foreground ...task) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	p := pool.New().WithErrors()
	p.Go(func() error { return control.Run(background) })
	if c.Admin != nil {
		p.Go(func() error { return telemetry.ServeAdmin(background, c.Admin, c.Metrics, ready) })
	}
	p.Go(func() error {
		defer stopBackground()
		return runAll(ctx, foreground)
	})
	return p.Wait()
}

// runAll runs tasks until all have ended. The first failure cancels the others.
func runAll(ctx context.Context, tasks []task) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, t := range tasks {
		p.Go(t)
	}
	return p.Wait()
}
