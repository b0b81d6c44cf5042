package agent

import (
	"context"
	"slices"
	"strings"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
)

// Spare returns how many batch items may start now, over all targets.
func (a *Agent) Spare() int {
	total := 0
	for _, t := range a.snapshot() {
		total += a.spareOn(t)
	}
	return total
}

// SpareOn returns how many batch items may start now on one target.
func (a *Agent) SpareOn(id fleet.TargetID) int {
	t, found := a.findTarget(id)
	if !found {
		return 0
	}
	return a.spareOn(t)
}

func (a *Agent) spareOn(t *target) int {
	if a.draining.Load() || !a.Fresh() || a.checkInService(t.id) != nil {
		return 0
	}
	return t.spare()
}

// Changed returns a channel that receives a value when spare capacity appears.
func (a *Agent) Changed() <-chan struct{} { return a.changed }

// RunBatch runs one batch item in a spare slot.
func (a *Agent) RunBatch(ctx context.Context, open rpc.ExecuteOpen) (Response, error) {
	open.Class = rpc.ClassBatch
	open.ID.AgentIncarnation = a.incarnation
	var out responseSink
	err := a.execute(ctx, &open, &out)
	if err != nil {
		return out.response, outcome.From(err)
	}
	out.response.Complete = true
	return out.response, nil
}

// responseSink collects a response into a Response.
type responseSink struct{ response Response }

func (s *responseSink) sent() error { return nil }

func (s *responseSink) head(status int, headers []rpc.Header) error {
	s.response.Status, s.response.Headers = status, headers
	return nil
}

func (s *responseSink) data(data []byte, tokens int) error {
	s.response.Tokens += tokens
	s.response.Body = append(s.response.Body, data...)
	return nil
}

func (s *responseSink) end() error { return nil }

func (s *responseSink) abort() {}

func sortTargets(list []fleet.Target) {
	slices.SortFunc(list, func(a, b fleet.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
