// Command banyan-site-control runs a control host of a site: operators' orders,
// targets' reports and the replicated catalog. On a host without a disk it
// sends callers on to those that have one.
package main

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/director"
	"banyanwalk/services/follow"
	"banyanwalk/services/relay"
	"banyanwalk/services/replicated"
)

// findTimeout bounds the time in which a host that joins asks its seeds for
// the others; operators give up a host after a second.
const findTimeout = 1 * time.Second

// confirmsPerBound is how often the catalog is confirmed within the time that a
// gateway may act on an unconfirmed one, so that one failure does no harm.
const confirmsPerBound = 5

func main() {
	site.Main("banyan-site-control", "control host of a site: orders, reports and the catalog", run)
}

func run(ctx context.Context, p *site.Process) error {
	orders, err := site.Listen("operators", p.Settings.OperatorAddr)
	if err != nil {
		return err
	}
	wire, err := site.Listen("the site's processes", p.Settings.ControlRPCAddr)
	if err != nil {
		return err
	}
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	if p.Settings.DataDir == "" {
		startRelay(tasks, p, orders, wire)
	} else if err := startControl(ctx, tasks, p, orders, wire); err != nil {
		return err
	}
	return tasks.Wait()
}

// startControl starts a control host.
func startControl(ctx context.Context, tasks *pool.ContextPool, p *site.Process, orders, wire net.Listener) error {
	joining := !p.Settings.Bootstrap || !p.Settings.IsSeed()
	control, err := director.New(director.Config{
		Name:         p.Settings.Host,
		DataCentre:   p.Settings.DataCentre,
		Addr:         p.Settings.ControlRPCAddr,
		InitialHosts: peers(ctx, p, joining),
		Joining:      joining,
		VoterCount:   p.Settings.VoterCount(),
		DataDir:      p.Settings.DataDir,
		ConfirmEvery: p.Settings.RefuseStaleAfter / confirmsPerBound,
		Log:          p.Log,
		Metrics:      p.Metrics,
	})
	if err != nil {
		return err
	}
	tasks.Go(func(ctx context.Context) error { return control.Run(ctx, wire) })
	serve(tasks, p, nil, orders, platform.ControlHandler(control, p.Log))
	return nil
}

// startRelay starts what a host without a disk does.
func startRelay(tasks *pool.ContextPool, p *site.Process, orders, wire net.Listener) {
	config := p.FollowConfig(controlMember(p))
	config.WithoutPeerLoads = true
	follower := follow.New(config)
	server := relay.New(follower, p.Log)
	tasks.Go(follower.Run)
	tasks.Go(func(ctx context.Context) error { return server.Run(ctx, wire) })
	serve(tasks, p, follower, orders, platform.RedirectHandler(server.ControlHost, p.Settings.OperatorAddr))
}

// serve watches the settings and answers operators and targets.
func serve(tasks *pool.ContextPool, p *site.Process, follower *follow.Follower, orders net.Listener, handler fasthttp.RequestHandler) {
	tasks.Go(func(ctx context.Context) error {
		p.WatchSettings(ctx, follower)
		return nil
	})
	tasks.Go(func(ctx context.Context) error { return site.ServeHTTP(ctx, orders, handler) })
}

// peers returns the control hosts that this one founds the catalog's group with
// or asks to join it. The seeds of a host that joins may be relays, which know
// the control hosts. A host whose disk holds the group knows its members.
func peers(ctx context.Context, p *site.Process, joining bool) []string {
	seeds := p.Settings.ControlSeeds
	if !joining || replicated.HasState(p.Settings.DataDir) {
		return seeds
	}
	bounded, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	named := follow.FindControlHosts(bounded, controlMember(p), seeds, nil)
	p.Log.Info("controls_found", "seeds", len(seeds), "named", len(named))
	all := append(slices.Clone(seeds), named...)
	slices.Sort(all)
	return slices.Compact(all)
}

// controlMember tells a control process apart from the gateway of its host.
func controlMember(p *site.Process) rpc.Member {
	return rpc.Member{Name: p.Settings.Host + "/control", Role: rpc.RoleControl, DataCentre: p.Settings.DataCentre}
}
