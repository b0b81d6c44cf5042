// Command banyan-site-control runs a control host of a site: it serves requests
// from operators and targets and replicates the catalog. On a host without a disk
// it runs a relay, which directs its callers to the control hosts with a disk.
package main

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/core/rollout"
	"banyanwalk/infra/durable"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/director"
	"banyanwalk/services/follow"
	"banyanwalk/services/relay"
	"banyanwalk/services/replicated"
)

// controlDiscoveryTimeout bounds how long a joining host asks its seeds for the
// other control hosts. Operators give up on a host after a second.
const controlDiscoveryTimeout = 1 * time.Second

// confirmationsPerStaleLimit is the number of confirmations of the catalog by a
// quorum within the time for which a gateway may act on an unconfirmed catalog.
// With several of them, one failed confirmation has no effect.
const confirmationsPerStaleLimit = 5

func main() {
	site.Main("banyan-site-control", "control host of a site: operators' requests, targets' reports and the catalog", run)
}

func run(ctx context.Context, p *site.Process) error {
	operatorListener, err := site.Listen("operators", p.Settings.OperatorAddr)
	if err != nil {
		return err
	}
	rpcListener, err := site.Listen("the site's processes", p.Settings.ControlRPCAddr)
	if err != nil {
		return err
	}
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	if p.Settings.DataDir == "" {
		startRelay(tasks, p, operatorListener, rpcListener)
	} else if err := startControl(ctx, tasks, p, operatorListener, rpcListener); err != nil {
		return err
	}
	return tasks.Wait()
}

// startControl starts a control host that replicates the catalog on its disk.
func startControl(ctx context.Context, tasks *pool.ContextPool, p *site.Process, operatorListener, rpcListener net.Listener) error {
	mayCreateGroup, err := replicated.BeginFirstStart(durable.OS{}, p.Settings.DataDir, p.Settings.Bootstrap && p.Settings.IsSeed())
	if err != nil {
		return err
	}
	joining := !mayCreateGroup
	control, err := director.New(director.Config{
		Name:         p.Settings.Host,
		DataCentre:   p.Settings.DataCentre,
		Addr:         p.Settings.ControlRPCAddr,
		InitialHosts: initialPeers(ctx, p, joining),
		Joining:      joining,
		VoterCount:   p.Settings.VoterCount(),
		DataDir:      p.Settings.DataDir,
		ConfirmEvery: p.Settings.RefuseStaleAfter / confirmationsPerStaleLimit,
		Decode:       site.DecodeDocument,
		Health:       platform.HealthHeaders(),
		Rollout:      rollout.Bounds{Share: p.Settings.Rollout.Share, Slack: p.Settings.Rollout.Slack, RollbackDelay: p.Settings.Rollout.RollbackDelay},
		Log:          p.Log,
		Metrics:      p.Metrics,
	})
	if err != nil {
		return err
	}
	tasks.Go(func(ctx context.Context) error { return control.Run(ctx, rpcListener) })
	serveOperators(tasks, p, nil, operatorListener, platform.ControlHandler(control, p.Log))
	return nil
}

// startRelay starts the relay of a host without a disk.
func startRelay(tasks *pool.ContextPool, p *site.Process, operatorListener, rpcListener net.Listener) {
	config := p.FollowerConfig(controlMember(p))
	config.WithoutPeerLoads = true
	follower := follow.New(config)
	server := relay.New(follower, p.Log)
	tasks.Go(follower.Run)
	tasks.Go(func(ctx context.Context) error { return server.Run(ctx, rpcListener) })
	serveOperators(tasks, p, follower, operatorListener, platform.RedirectHandler(server.ControlHost, p.Settings.OperatorAddr))
}

// serveOperators watches the settings file and serves the HTTP API for operators
// and targets.
func serveOperators(tasks *pool.ContextPool, p *site.Process, follower *follow.Follower, listener net.Listener, handler fasthttp.RequestHandler) {
	tasks.Go(func(ctx context.Context) error {
		p.WatchSettings(ctx, follower)
		return nil
	})
	tasks.Go(func(ctx context.Context) error { return p.ServeHTTP(ctx, listener, p.Limits, handler) })
}

// initialPeers returns the addresses of the control hosts with which this host
// founds the Raft group of the catalog, or which it asks to let it join. The seeds
// of a joining host may be relays, so it also asks them for the control hosts. A
// host with the state of the group on its disk already knows the members.
func initialPeers(ctx context.Context, p *site.Process, joining bool) []string {
	seeds := p.Settings.ControlSeeds
	if !joining || replicated.HasState(p.Settings.DataDir) {
		return seeds
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, controlDiscoveryTimeout)
	defer cancel()
	discovered := follow.FindControlHosts(timeoutCtx, controlMember(p), seeds, nil)
	p.Log.Info("controls_found", "seeds", len(seeds), "named", len(discovered))
	all := append(slices.Clone(seeds), discovered...)
	slices.Sort(all)
	return slices.Compact(all)
}

// controlMember identifies the control process of this host. The suffix of the
// name distinguishes it from the gateway of the same host.
func controlMember(p *site.Process) rpc.Member {
	return rpc.Member{Name: p.Settings.Host + "/control", Role: rpc.RoleControl, DataCentre: p.Settings.DataCentre}
}
