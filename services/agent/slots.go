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
func (a *Agent) RunBatch(ctx context.Context, open rpc.ExecuteOpen) (Answer, error) {
	open.Class = rpc.ClassBatch
	open.ID.AgentIncarnation = a.incarnation
	var out answerSink
	err := a.execute(ctx, &open, &out)
	if err != nil {
		return out.answer, outcome.From(err)
	}
	out.answer.Complete = true
	return out.answer, nil
}

// answerSink collects a response into an Answer.
type answerSink struct{ answer Answer }

func (s *answerSink) sent() error { return nil }

func (s *answerSink) head(status int, headers []rpc.Header) error {
	s.answer.Status, s.answer.Headers = status, headers
	return nil
}

func (s *answerSink) data(data []byte, tokens int) error {
	s.answer.Tokens += tokens
	s.answer.Body = append(s.answer.Body, data...)
	return nil
}

func (s *answerSink) end() error { return nil }

func (s *answerSink) abort() {}

func sortTargets(list []fleet.Target) {
	slices.SortFunc(list, func(a, b fleet.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
