// Command banyan-site-gateway runs a gateway of a site: it serves callers'
// requests and jobs, and a readiness check.
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

// run serves callers until ctx ends. The follower, the readiness check and the
// settings watcher run until the gateway has drained its requests.
func run(ctx context.Context, p *site.Process) error {
	callerListener, err := site.Listen("callers", p.Settings.FrontendAddr)
	if err != nil {
		return err
	}
	readinessListener, err := site.Listen("readiness", p.Settings.ReadinessAddr)
	if err != nil {
		return err
	}
	follower := p.NewFollower(rpc.RoleGateway, nil, nil)
	gateway := entry.New(entry.Config{
		Name:             p.Settings.Host,
		DataCentre:       p.Settings.DataCentre,
		Follower:         follower,
		HeaderNames:      platform.HeaderNames(),
		Jobs:             platform.JobCalls{},
		PromptParts:      platform.SharedPromptParts,
		RequestTokens:    platform.RequestTokens,
		Log:              p.Log,
		Metrics:          p.Metrics,
		Grace:            p.Settings.ShutdownGrace,
		MemoryBytes:      p.Settings.MemoryBytes,
		Limits:           p.Limits,
		RefuseStaleAfter: p.Settings.RefuseStaleAfter,
	})
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := pool.New().WithErrors().WithFirstError()
	tasks.Go(func() error { return follower.Run(backgroundCtx) })
	tasks.Go(func() error {
		return p.ServeHTTP(backgroundCtx, readinessListener, p.Limits.ForOperators(), platform.ReadinessHandler(gateway.Ready))
	})
	tasks.Go(func() error {
		p.WatchSettings(backgroundCtx, follower)
		return nil
	})
	tasks.Go(func() error {
		defer stop()
		return gateway.Serve(ctx, callerListener)
	})
	return tasks.Wait()
}
