// Command banyan-site-store runs a storage host of a site: it keeps jobs and
// runs their items.
package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/jobhost"
)

// keepMargin is how much longer than asked a finished job is kept: hosts see a
// job at different times, by less than a call may take.
const keepMargin = 15 * time.Second

func main() {
	site.Main("banyan-site-store", "storage host of a site: keeps jobs and runs their items", run)
}

func run(ctx context.Context, p *site.Process) error {
	if p.Settings.DataDir == "" {
		return errors.New("a storage host needs a disk: data_dir is empty")
	}
	wire, err := site.Listen("the site's processes", p.Settings.StorageRPCAddr)
	if err != nil {
		return err
	}
	host := jobhost.New(jobhost.Config{
		Name:         p.Settings.Host,
		Addr:         p.Settings.StorageRPCAddr,
		MayBootstrap: p.Settings.Bootstrap,
		VoterCount:   p.Settings.VoterCount(),
		DataDir:      p.Settings.DataDir,
		JobRetention: p.Settings.JobRetention + keepMargin,
		HeaderNames:  platform.HeaderNames(),
		Log:          p.Log,
		Metrics:      p.Metrics,
	})
	follower := p.Follower(rpc.RoleStorage, host.StorageState, host.BrokerID)
	host.SetFollower(follower)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := pool.New().WithErrors().WithFirstError()
	tasks.Go(func() error { return follower.Run(background) })
	tasks.Go(func() error {
		p.WatchSettings(background, follower)
		return nil
	})
	tasks.Go(func() error {
		defer stop()
		return host.Run(ctx, wire)
	})
	return tasks.Wait()
}
