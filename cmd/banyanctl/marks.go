package main

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/control"
)

func markCommands() []command {
	return []command{
		{path: []string{"data-centre", "out"}, arguments: "NAME", count: 1, summary: "take a data centre out of service", remote: true, run: markDataCentre("out")},
		{path: []string{"data-centre", "in"}, arguments: "NAME", count: 1, summary: "bring a data centre back", remote: true, run: markDataCentre("in")},
		{path: []string{"target", "out"}, arguments: "ID", count: 1, summary: "take a target out of service", remote: true, run: markTarget("out")},
		{path: []string{"target", "in"}, arguments: "ID", count: 1, summary: "bring a target back", remote: true, run: markTarget("in")},
		{path: []string{"target", "order"}, arguments: "ID", count: 1, summary: "give a target a fenced order", remote: true, run: orderTarget, flags: func(c *invocation) {
			c.set.StringVar(&c.extra.kind, "kind", "", "load or role")
			c.set.StringVar(&c.extra.value, "value", "", "model, adapter, version or role")
		}},
	}
}

func markDataCentre(direction string) func(c *invocation) error {
	return func(c *invocation) error {
		path := "/data-centres/" + url.PathEscape(c.args[0]) + "/" + direction
		return sendMark(c, "data centre "+c.args[0], path, direction)
	}
}

func markTarget(direction string) func(c *invocation) error {
	return func(c *invocation) error {
		path, err := targetPath(c.args[0])
		if err != nil {
			return err
		}
		return sendMark(c, "target "+c.args[0], path+"/"+direction, direction)
	}
}

func sendMark(c *invocation, subject, path, direction string) error {
	_, err := send(c, path, struct{}{}, func(answer *control.CommandResponse) string {
		return fmt.Sprintf("%s is marked %s from revision %d", subject, direction, answer.Revision)
	})
	return err
}

// targetPath returns the path of a target, whose ID has the form agent/name.
func targetPath(id string) (string, error) {
	agent, name, found := strings.Cut(id, "/")
	if !found || agent == "" || name == "" {
		return "", usage("target %q is not agent/name", id)
	}
	return "/targets/" + url.PathEscape(agent) + "/" + url.PathEscape(name), nil
}

func orderTarget(c *invocation) error {
	path, err := targetPath(c.args[0])
	if err != nil {
		return err
	}
	if c.extra.kind == "" || c.extra.value == "" {
		return usage("-kind and -value must be set")
	}
	body := control.OrderRequest{Kind: rpc.OrderKind(c.extra.kind), Value: c.extra.value}
	answer, err := send(c, path+"/orders", body, func(answer *control.OrderResponse) string {
		return fmt.Sprintf("order %d was given to target %s", answer.Fence, c.args[0])
	})
	if err == nil && answer.Error != nil {
		return errors.Newf("order %d failed: %s %s: %s", answer.Fence, answer.Error.Code, answer.Error.Type, answer.Error.Message)
	}
	return err
}
