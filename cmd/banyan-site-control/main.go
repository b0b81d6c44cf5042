// Command banyan-site-control runs a control host of a site: operators' orders,
// targets' reports and the replicated catalog.
package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/cmd/internal/site"
	"banyanwalk/platform"
	"banyanwalk/services/director"
)

func main() {
	site.Main("banyan-site-control", "control host of a site: orders, reports and the catalog", run)
}

func run(ctx context.Context, p *site.Process) error {
	if p.Settings.DataDir == "" {
		return errors.New("a control host needs a disk: data_dir is empty")
	}
	orders, err := site.Listen("operators", p.Settings.Operators)
	if err != nil {
		return err
	}
	wire, err := site.Listen("the site's processes", p.Settings.ControlWire)
	if err != nil {
		return err
	}
	control, err := director.New(director.Config{
		Name:       p.Settings.Host,
		DataCentre: p.Settings.DataCentre,
		Addr:       p.Settings.ControlWire,
		Founders:   p.Settings.ControlSeeds,
		Joining:    !p.Settings.FirstStart || !p.Settings.IsSeed(),
		Voters:     p.Settings.Voters(),
		DataDir:    p.Settings.DataDir,
		Log:        p.Log,
		Metrics:    p.Metrics,
	})
	if err != nil {
		return err
	}
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { return control.Run(ctx, wire) })
	tasks.Go(func(ctx context.Context) error {
		p.WatchSettings(ctx, nil)
		return nil
	})
	tasks.Go(func(ctx context.Context) error {
		return site.ServeHTTP(ctx, orders, platform.ControlHandler(control, p.Log))
	})
	return tasks.Wait()
}
