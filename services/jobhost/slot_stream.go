package jobhost

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// serveSlots serves the slot requests and releases of one gateway until it ends the
// stream. A stream for each request would cost the broker several times as much
// processor time as the decision on it.
func (b *broker) serveSlots(ctx context.Context, stream *wire.Stream) error {
	for {
		var ask rpc.SlotsAsk
		if err := stream.Recv(&ask); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		answer := b.answerSlots(ctx, &ask)
		if len(answer.Answers) == 0 {
			continue
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

// answerSlots executes one message of a gateway. Releases go first: the slots that they
// free may serve the requests beside them.
func (b *broker) answerSlots(ctx context.Context, ask *rpc.SlotsAsk) *rpc.SlotsAnswer {
	if ask.Release != nil {
		_, _ = b.release(ctx, ask.Release) // never fails
	}
	answer := &rpc.SlotsAnswer{Answers: make([]rpc.SlotAnswer, 0, len(ask.Acquire))}
	for i := range ask.Acquire {
		one := rpc.SlotAnswer{ID: ask.Acquire[i].ID}
		grant, err := b.acquire(ctx, &ask.Acquire[i])
		if err != nil {
			one.Refusal = outcome.From(err)
		} else {
			one.Grant = grant
		}
		answer.Answers = append(answer.Answers, one)
	}
	return answer
}
