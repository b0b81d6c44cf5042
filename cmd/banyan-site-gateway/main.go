// Command banyan-site-gateway serves the callers of a site.
package main

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/entry"
)

func main() {
	site.Main("banyan-site-gateway", "gateway of a site: callers' requests and jobs", run)
}

func run(ctx context.Context, p *site.Process) error {
	callers, err := site.Listen("callers", p.Settings.FrontendAddr)
	if err != nil {
		return err
	}
	readiness, err := site.Listen("readiness", p.Settings.ReadinessAddr)
	if err != nil {
		return err
	}
	follower := p.Follower(rpc.RoleGateway, nil, nil)
	gateway := entry.New(entry.Config{
		Name:             p.Settings.Host,
		DataCentre:       p.Settings.DataCentre,
		Follower:         follower,
		HeaderNames:      platform.HeaderNames(),
		Jobs:             platform.JobCalls{},
		Log:              p.Log,
		Metrics:          p.Metrics,
		Grace:            p.Settings.ShutdownGrace,
		RefuseStaleAfter: p.Settings.RefuseStaleAfter,
	})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := pool.New().WithErrors().WithFirstError()
	tasks.Go(func() error { return follower.Run(background) })
	tasks.Go(func() error {
		return site.ServeHTTP(background, readiness, platform.ReadinessHandler(gateway.Ready))
	})
	tasks.Go(func() error {
		p.WatchSettings(background, follower)
		return nil
	})
	tasks.Go(func() error {
		defer stop()
		return gateway.Serve(ctx, callers)
	})
	return tasks.Wait()
}
