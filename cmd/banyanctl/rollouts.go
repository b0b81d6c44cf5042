package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

func rolloutCommands() []command {
	return []command{
		{path: []string{"rollouts", "begin"}, argUsage: "SERVICE VERSION", argCount: 2, summary: "move a service of a site to a software version of its targets", run: beginRollout, registerFlags: func(c *invocation) {
			registerSiteFlags(c)
			c.flagSet.DurationVar(&c.options.duration, "duration", 0, "time limit within which the rollout is completed or reverted, such as 10m")
		}},
		{path: []string{"rollouts", "show"}, argUsage: "SERVICE", argCount: 1, summary: "show the newest rollout of a service of a site", run: showRollout, registerFlags: registerSiteFlags},
	}
}

// registerSiteFlags registers the flags of the commands that call a site's control hosts.
func registerSiteFlags(c *invocation) {
	c.flagSet.StringVar(&c.addrs, "control", "", "wire addresses of control hosts, comma-separated, tried in order until one answers")
	c.flagSet.StringVar(&c.caFile, "tls-ca", "", "PEM certificates to trust; empty: connections without TLS")
}

func beginRollout(c *invocation) error {
	if c.options.duration < time.Millisecond {
		return usageErrorf("-duration %v is not positive", c.options.duration)
	}
	request := rpc.RolloutBegin{Service: c.args[0], Version: c.args[1], DurationMS: c.options.duration.Milliseconds()}
	var ack rpc.Ack
	if err := callControlHosts(c, rpc.MethodRolloutBegin, &request, &ack); err != nil {
		return err
	}
	return c.print(struct {
		Service string `json:"service"`
		Version string `json:"version"`
	}{request.Service, request.Version}, func(out io.Writer) {
		fmt.Fprintf(out, "the rollout of version %s of service %s is in the log\n", request.Version, request.Service)
	})
}

func showRollout(c *invocation) error {
	var status rpc.RolloutStatus
	if err := callControlHosts(c, rpc.MethodRolloutShow, &rpc.RolloutShow{Service: c.args[0]}, &status); err != nil {
		return err
	}
	return c.print(&status, func(out io.Writer) { printRollout(out, &status) })
}

// callControlHosts calls the control hosts in order until one answers with a response or
// with an error that all of them would return.
func callControlHosts(c *invocation, method wire.Method, request, response any) error {
	pool, controls, err := newControlPool(c)
	if err != nil {
		return err
	}
	defer pool.Close()
	var lastErr error
	for _, addr := range controls {
		ctx, cancel := context.WithTimeout(context.Background(), hostCallTimeout)
		lastErr = pool.Call(ctx, addr, method, request, response)
		cancel()
		var refused *outcome.Error
		if lastErr == nil || errors.As(lastErr, &refused) && refused.Code.HTTPStatus() < http.StatusInternalServerError {
			return lastErr
		}
	}
	return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "no control host answered: %v", lastErr)
}

func printRollout(out io.Writer, s *rpc.RolloutStatus) {
	r := &s.Rollout
	fmt.Fprintf(out, "service %s, version %s: %s\n", r.Service, r.Version, s.Phase)
	fmt.Fprintf(out, "begun %s, time limit %s, left %s s\n", time.UnixMilli(r.StartedMS).UTC().Format(time.RFC3339),
		time.Duration(r.DurationMS)*time.Millisecond, formatSeconds(s.LeftMS))
	fmt.Fprintf(out, "requests granted to the new version: %d, allowed so far: %d, of %d responses of the service\n", r.Granted, s.Allowed, s.Reached)
	fmt.Fprintf(out, "why: %s\n", orDash(s.Why))
	if len(s.Routes) == 0 {
		return
	}
	fmt.Fprintln(out)
	routes := newTable(out, "ROUTE", "VERSION", "RESPONSES", "FAILED", "SLOW")
	all := s.All
	all.Route = "all"
	for _, route := range append(s.Routes, all) {
		routes.row(route.Route, r.Version, route.New.Answers, route.New.Failed, route.New.Slow)
		routes.row(route.Route, "others", route.Old.Answers, route.Old.Failed, route.Old.Slow)
	}
	routes.flush()
}
