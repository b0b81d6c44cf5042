// Command banyan-dev runs a whole demo fleet in one process: a control host,
// a gateway, and agents with simulated targets. Its state is in a temporary
// directory.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
)

const program = "banyan-dev"

type options struct {
	listen      string
	adminListen string
	bundle      string
	logFile     string
	engines     int
}

func main() {
	var o options
	set := settings.New(program, "a whole demo fleet in one process")
	set.StringVar(&o.listen, "listen", "127.0.0.1:8080", "HTTP address for callers")
	set.StringVar(&o.adminListen, "admin-listen", "127.0.0.1:8081", "HTTP address for operators")
	set.StringVar(&o.bundle, "bundle", "examples/latvia.yaml", "bundle to put in force")
	set.StringVar(&o.logFile, "log-file", "", "write the log to this file; empty: to a file in the temporary directory")
	set.IntVar(&o.engines, "engines", 3, "number of simulated model engines")
	set.RequireAddress("listen", &o.listen)
	set.RequireAddress("admin-listen", &o.adminListen)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings.Exit(program, run(ctx, &o, os.Stdout))
}

func openLog(path string) (*os.File, *telemetry.Log, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	log, err := telemetry.NewLog(telemetry.Options{Process: program, DataCentre: "all", Output: file})
	return file, log, err
}
