package agent

import (
	"context"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
)

// Answer is what a target answered to one batch item. After a failure it
// holds the part that had arrived, so that an idempotent generation can be
// continued with "resume_from_tokens": Tokens.
type Answer struct {
	Status  int          // HTTP status; 0 when no head arrived
	Headers []rpc.Header // allow-listed headers of the answer
	Body    []byte       // bytes received so far
	Tokens  int          // streamed events with content in Body; 0 for answers that are not streamed
	Whole   bool         // Body is complete and verified
}

// BatchSlots runs batch items in the capacity that online requests leave
// spare. It is safe for concurrent use.
type BatchSlots interface {
	// Spare returns how many items may start now, over all targets.
	Spare() int
	// SpareOn returns how many items may start now on one target.
	SpareOn(id fleet.TargetID) int
	// RunBatch runs one item to its end on open.ID.Target. The agent fills
	// open.ID.AgentIncarnation. Errors are *outcome.Error; with code
	// Preempted the item gave its slot to online work and goes back: with
	// outcome NotRun it never reached the target, with MayHaveRun the Answer
	// holds its progress. Cancelling ctx stops the item at the target.
	RunBatch(ctx context.Context, open rpc.ExecuteOpen) (Answer, error)
	// Changed receives a value after spare capacity appeared. Signals are
	// merged: one value may stand for many changes.
	Changed() <-chan struct{}
	// Targets returns the targets behind this agent that are in service.
	Targets() []fleet.Target
	// Fresh reports whether the agent may admit work at all now.
	Fresh() bool
}

var _ BatchSlots = (*Agent)(nil)
