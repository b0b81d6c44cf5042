// Command banyan-capacity measures the resource use of the processes of a running
// fleet as the fleet grows, and extrapolates it to the design size.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/settings"
	"banyanwalk/services/capacity"
)

const program = "banyan-capacity"

type options struct {
	controls, gateways, jsonFile string
	cfg                          capacity.Config
}

func main() {
	var o options
	set := settings.New(program, "measures the resource use of a fleet's processes as the fleet grows")
	set.StringVar(&o.cfg.Dir, "dir", "", "directory of a fleet that scripts/fleet.sh started")
	set.StringVar(&o.controls, "controls", "", "wire addresses of the control hosts")
	set.StringVar(&o.gateways, "gateways", "", "base URLs of the gateways")
	set.StringVar(&o.cfg.Bundle, "bundle", "examples/latvia.yaml", "bundle in force")
	set.StringVar(&o.cfg.DataCentre, "data-centre", "lv-east-a", "data centre of the synthetic agents")
	set.StringVar(&o.cfg.Workspace, "workspace", "householders", "workspace that the requests are sent as")
	set.StringVar(&o.cfg.Model, "model", "advisor-llm", "model that the requests are sent to")
	set.BoolVar(&o.cfg.Quick, "quick", false, "only two small steps per series, to try out the command")
	set.StringVar(&o.jsonFile, "json", "", "write the report to this file as JSON")
	set.RequireNonEmpty("dir", &o.cfg.Dir)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func run(o *options) error {
	o.cfg.ControlAddrs = settings.SplitList(o.controls)
	o.cfg.Gateways = settings.SplitList(o.gateways)
	o.cfg.Progress = os.Stderr
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	measurer, err := capacity.New(o.cfg)
	if err != nil {
		return err
	}
	report, err := measurer.Run(ctx)
	if err != nil {
		return err
	}
	report.WriteTable(os.Stdout)
	if o.jsonFile == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(o.jsonFile, append(encoded, '\n'), 0o644), "write report")
}
