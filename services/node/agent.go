package node

import (
	"context"
	"net"

	"banyanwalk/services/agent"
	"banyanwalk/services/agent/puller"
)

// Agent is the program that runs on each host, in front of its targets.
type Agent struct {
	Common
	Listener         net.Listener // wire connections from gateways and control
	AnnounceListener net.Listener // HTTP announcements from the host's targets
	Settings         agent.Config // admission limits and timeouts; Run sets the rest
}

// Run serves requests and runs batch items until ctx ends and the agent has
// drained.
func (a *Agent) Run(ctx context.Context) error {
	control := a.newControlClient("agent/" + a.Name)
	cfg := a.Settings
	cfg.Name = a.Name
	cfg.DataCentre = a.DataCentre
	cfg.Control = control
	cfg.Log = a.Log
	cfg.Metrics = a.Metrics
	cfg.TLS = a.ServerTLS
	server := agent.New(cfg)
	batch := puller.New(puller.Config{Agent: a.Name, Slots: server, Control: control, Log: a.Log, Metrics: a.Metrics})
	return a.serve(ctx, control, server.Ready,
		func(ctx context.Context) error { return server.Run(ctx, a.Listener, a.AnnounceListener) },
		batch.Run,
	)
}
