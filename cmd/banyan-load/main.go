// Command banyan-load runs a plan of online and batch traffic against gateways and
// reports the results as a table, JSON and a plot.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/settings"
	"banyanwalk/services/load"
)

const program = "banyan-load"

type options struct {
	plan     string
	gateways string
	controls string
	token    string
	jsonFile string
	plotFile string
	duration time.Duration
	seed     uint64
}

func main() {
	var o options
	set := settings.New(program, "open-loop load generator for experiments")
	set.StringVar(&o.plan, "plan", "", "plan file (YAML)")
	set.StringVar(&o.gateways, "gateways", "", "base URLs of the gateways, comma-separated; overrides the plan")
	set.StringVar(&o.controls, "controls", "", "base URLs of the control hosts' listeners for operators; overrides the plan")
	set.StringVar(&o.token, "operator-token", "", "operator token for the plan's events")
	set.StringVar(&o.jsonFile, "json", "", "write the report to this file as JSON")
	set.StringVar(&o.plotFile, "plot", "", "write a plot to this file (.png or .svg)")
	set.DurationVar(&o.duration, "duration", 0, "overrides the duration of the plan")
	set.Uint64Var(&o.seed, "seed", 0, "overrides the seed of the plan")
	set.MarkSecret("operator-token")
	set.RequireNonEmpty("plan", &o.plan)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func run(o *options) error {
	plan, err := load.ReadPlan(o.plan)
	if err != nil {
		return err
	}
	o.applyOverrides(plan)
	if err := plan.Prepare(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := load.NewRunner(plan, o.token, os.Stderr).Run(ctx)
	report.WriteTable(os.Stdout)
	if o.jsonFile != "" {
		if err := writeJSON(o.jsonFile, report); err != nil {
			return err
		}
	}
	if o.plotFile != "" {
		return report.Plot(o.plotFile)
	}
	return nil
}

// applyOverrides replaces the settings of the plan for which a flag was given.
func (o *options) applyOverrides(plan *load.Plan) {
	if o.gateways != "" {
		plan.Gateways = settings.SplitList(o.gateways)
	}
	if o.controls != "" {
		plan.Controls = settings.SplitList(o.controls)
	}
	if o.duration > 0 {
		plan.Duration = o.duration
	}
	if o.seed != 0 {
		plan.Seed = o.seed
	}
}

func writeJSON(path string, report *load.Report) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(encoded, '\n'), 0o644), "write report")
}
