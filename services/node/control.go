package node

import (
	"context"
	"net"

	"banyanwalk/infra/telemetry"
	"banyanwalk/services/control"
	"banyanwalk/services/control/limits"
	"banyanwalk/services/control/workgroup"
)

// Control is the program of one control replica.
type Control struct {
	Settings    control.Config
	BatchShards int          // number of replicated groups that share the batch jobs
	Listener    net.Listener // wire connections from other processes
	Operators   net.Listener // HTTP API for operators; nil: none
	Admin       net.Listener // /metrics, /healthz, /readyz; nil: none
}

// Run opens the replicated groups and serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	server, err := control.New(c.Settings)
	if err != nil {
		return err
	}
	limits.Register(server)
	if _, err := workgroup.New(server, workgroup.Config{Groups: uint32(c.BatchShards)}); err != nil {
		return err
	}
	tasks := []task{func(ctx context.Context) error { return server.Run(ctx, c.Listener) }}
	if c.Operators != nil {
		tasks = append(tasks, func(ctx context.Context) error { return server.ServeAdmin(ctx, c.Operators) })
	}
	if c.Admin != nil {
		tasks = append(tasks, func(ctx context.Context) error {
			return telemetry.ServeAdmin(ctx, c.Admin, c.Settings.Metrics, server.Ready)
		})
	}
	c.Settings.Log.Info("control_started", "listen", c.Listener.Addr())
	return runAll(ctx, tasks)
}
