package node

import (
	"context"
	"net"

	"banyanwalk/infra/wire"
	"banyanwalk/services/gateway"
	"banyanwalk/services/gateway/batchapi"
)

// Gateway is the program that serves callers' HTTP requests.
type Gateway struct {
	Common
	Listener net.Listener   // HTTP requests from callers
	Settings gateway.Config // drain timeouts; Run sets the rest
}

// Run serves callers until ctx ends and the gateway has drained.
func (g *Gateway) Run(ctx context.Context) error {
	control := g.newControlClient(g.Name)
	cfg := g.Settings
	cfg.Name = g.Name
	cfg.DataCentre = g.DataCentre
	cfg.State = control
	cfg.Control = control
	cfg.Limiter = gateway.NewRateLimiter(g.Name, control, g.Log, g.Metrics)
	cfg.Pool = wire.NewPool(g.ClientTLS)
	cfg.Log = g.Log
	cfg.Metrics = g.Metrics
	cfg.Mounts = []gateway.Mount{batchapi.New(control, g.Log)}
	defer cfg.Pool.Close()
	server := gateway.New(cfg)
	return g.serve(ctx, control, server.Ready, func(ctx context.Context) error {
		g.Log.Info("gateway_started", "listen", g.Listener.Addr())
		return server.Serve(ctx, g.Listener)
	})
}
