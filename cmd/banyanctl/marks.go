package main

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/control"
)

// markCommands returns the commands that change the service marks of data centres
// and targets, and the one that sends an order to a target.
func markCommands() []command {
	return []command{
		{path: []string{"data-centre", "out"}, argUsage: "NAME", argCount: 1, summary: "take a data centre out of service", needsControl: true, run: markDataCentre("out")},
		{path: []string{"data-centre", "in"}, argUsage: "NAME", argCount: 1, summary: "bring a data centre back", needsControl: true, run: markDataCentre("in")},
		{path: []string{"target", "out"}, argUsage: "ID", argCount: 1, summary: "take a target out of service", needsControl: true, run: markTarget("out")},
		{path: []string{"target", "in"}, argUsage: "ID", argCount: 1, summary: "bring a target back", needsControl: true, run: markTarget("in")},
		{path: []string{"target", "order"}, argUsage: "ID", argCount: 1, summary: "send an order with a fencing number to a target", needsControl: true, run: orderTarget, registerFlags: func(c *invocation) {
			c.flagSet.StringVar(&c.options.kind, "kind", "", "load or role")
			c.flagSet.StringVar(&c.options.value, "value", "", "model, adapter, version or role")
		}},
	}
}

func markDataCentre(state string) func(c *invocation) error {
	return func(c *invocation) error {
		path := "/data-centres/" + url.PathEscape(c.args[0]) + "/" + state
		return postMark(c, "data centre "+c.args[0], path, state)
	}
}

func markTarget(state string) func(c *invocation) error {
	return func(c *invocation) error {
		path, err := targetPath(c.args[0])
		if err != nil {
			return err
		}
		return postMark(c, "target "+c.args[0], path+"/"+state, state)
	}
}

func postMark(c *invocation, subject, path, state string) error {
	_, err := postCommand(c, path, struct{}{}, func(response *control.CommandResponse) string {
		return fmt.Sprintf("%s is marked %s from revision %d", subject, state, response.Revision)
	})
	return err
}

// targetPath returns the URL path of a target, whose ID has the form agent/name.
func targetPath(id string) (string, error) {
	agent, name, found := strings.Cut(id, "/")
	if !found || agent == "" || name == "" {
		return "", usageErrorf("target %q is not agent/name", id)
	}
	return "/targets/" + url.PathEscape(agent) + "/" + url.PathEscape(name), nil
}

func orderTarget(c *invocation) error {
	path, err := targetPath(c.args[0])
	if err != nil {
		return err
	}
	if c.options.kind == "" || c.options.value == "" {
		return usageErrorf("-kind and -value must be set")
	}
	body := control.OrderRequest{Kind: rpc.OrderKind(c.options.kind), Value: c.options.value}
	response, err := postCommand(c, path+"/orders", body, func(response *control.OrderResponse) string {
		return fmt.Sprintf("order %d was given to target %s", response.Fence, c.args[0])
	})
	if err == nil && response.Error != nil {
		return errors.Newf("order %d failed: %s %s: %s", response.Fence, response.Error.Code, response.Error.Type, response.Error.Message)
	}
	return err
}
