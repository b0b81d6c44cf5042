// Package node assembles the long-running programs from their parts and runs
// them until they have drained. It takes open listeners and decides nothing.
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

// Common is what gateways and agents share.
type Common struct {
	Name       string   // unique in the fleet
	DataCentre string   // of this host
	Controls   []string // wire addresses of the control replicas
	ServerTLS  *tls.Config
	ClientTLS  *tls.Config
	Log        *telemetry.Log
	Metrics    metrics.Registry
	Admin      net.Listener // /metrics, /healthz, /readyz; nil: none
}

func (c *Common) control(subscriber string) *controlclient.Client {
	return controlclient.New(controlclient.Config{
		Name:       subscriber,
		DataCentre: c.DataCentre,
		Addrs:      c.Controls,
		TLS:        c.ClientTLS,
		Log:        c.Log,
	})
}

// task is one part of a program. It ends with its context.
type task func(ctx context.Context) error

// serve runs foreground until ctx ends and it has drained. The subscription
// to control and the admin listener outlive it, so that requests in flight
// keep a fresh view.
func (c *Common) serve(ctx context.Context, control *controlclient.Client, ready func() error, foreground ...task) error {
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	p := pool.New().WithErrors()
	p.Go(func() error { return control.Run(background) })
	if c.Admin != nil {
		p.Go(func() error { return telemetry.ServeAdmin(background, c.Admin, c.Metrics, ready) })
	}
	p.Go(func() error {
		defer end()
		return together(ctx, foreground)
	})
	return p.Wait()
}

// together runs tasks until all have ended. The first failure ends the rest.
func together(ctx context.Context, tasks []task) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, t := range tasks {
		p.Go(t)
	}
	return p.Wait()
}
