// Command banyan-site-store runs a storage host of a site: it stores batch jobs and
// runs their items.
package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/jobhost"
	"banyanwalk/services/replicated"
)

// jobRetentionMargin is added to the configured retention of finished jobs. Hosts
// learn of a job at different times; the difference is less than the longest
// duration of a call.
const jobRetentionMargin = 15 * time.Second

func main() {
	site.Main("banyan-site-store", "storage host of a site: stores batch jobs and runs their items", run)
}

// run serves the storage host until ctx ends or a task fails. The follower and the
// settings watcher run until the storage host has stopped.
func run(ctx context.Context, p *site.Process) error {
	if p.Settings.DataDir == "" {
		return errors.New("a storage host needs a disk: data_dir is empty")
	}
	rpcListener, err := site.Listen("the site's processes", p.Settings.StorageRPCAddr)
	if err != nil {
		return err
	}
	mayBootstrap, err := replicated.BeginFirstStart(durable.OS{}, p.Settings.DataDir, p.Settings.Bootstrap)
	if err != nil {
		return err
	}
	host := jobhost.New(jobhost.Config{
		Name:         p.Settings.Host,
		Addr:         p.Settings.StorageRPCAddr,
		MayBootstrap: mayBootstrap,
		VoterCount:   p.Settings.VoterCount(),
		DataDir:      p.Settings.DataDir,
		JobRetention: p.Settings.JobRetention + jobRetentionMargin,
		MemoryBytes:  p.Settings.MemoryBytes,
		HeaderNames:  platform.HeaderNames(),
		PromptParts:  platform.ItemPromptParts,
		ItemTokens:   platform.ItemTokens,
		Log:          p.Log,
		Metrics:      p.Metrics,
	})
	follower := p.NewFollower(rpc.RoleStorage, host.StorageState, host.BrokerID)
	host.SetFollower(follower)
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	hostCtx, stopHost := context.WithCancel(ctx)
	defer stopHost()
	tasks := pool.New().WithErrors().WithFirstError()
	tasks.Go(func() error {
		defer stopHost()
		return follower.Run(backgroundCtx)
	})
	tasks.Go(func() error {
		p.WatchSettings(backgroundCtx, follower)
		return nil
	})
	tasks.Go(func() error {
		defer stop()
		return host.Run(hostCtx, rpcListener)
	})
	return tasks.Wait()
}
