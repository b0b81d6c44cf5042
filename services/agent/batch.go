package agent

import (
	"context"

	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
)

// Response is the response of a target to one batch item. After a failure it holds
// the part received so far, so that a later attempt can resume an idempotent
// generation by setting "resume_from_tokens" to Tokens.
type Response struct {
	Status   int          // HTTP status; 0 if no response header arrived
	Headers  []rpc.Header // allow-listed response headers
	Body     []byte       // bytes received so far
	Tokens   int          // number of streamed events with content in Body; 0 for responses that are not streamed
	Complete bool         // the complete response arrived and was verified
}

// BatchSlots runs batch items in the capacity that online requests leave
// spare. It is safe for concurrent use.
type BatchSlots interface {
	// Spare returns how many items may start now, over all targets.
	Spare() int
	// SpareOn returns how many items may start now on one target.
	SpareOn(id fleet.TargetID) int
	// RunBatch runs one item on open.ID.Target until it ends. The agent sets
	// open.ID.AgentIncarnation. Errors are *outcome.Error. Code Preempted means
	// that online work took the item's slot and the item is to be run again: with
	// outcome NotRun it never reached the target, with MayHaveRun the Response
	// holds its progress. Cancelling ctx stops the item at the target.
	RunBatch(ctx context.Context, open rpc.ExecuteOpen) (Response, error)
	// Changed returns a channel that receives a value when spare capacity
	// appears. Signals are merged: one value may stand for several changes.
	Changed() <-chan struct{}
	// Targets returns the targets behind this agent that are in service.
	Targets() []fleet.Target
	// Fresh reports whether the agent's view of the fleet is recent enough to
	// admit work.
	Fresh() bool
}

var _ BatchSlots = (*Agent)(nil)
