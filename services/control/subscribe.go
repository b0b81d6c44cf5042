package control

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// subscription is one subscriber's stream. Three goroutines serve it, so that
// neither a slow subscriber nor a missing quorum delays anything else: one
// takes pings, one has the newest ping confirmed, one sends.
type subscription struct {
	server *Server
	stream *wire.Stream
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	waiting *rpc.SubscribePing // newest ping that is not being confirmed yet

	pinged    chan struct{}
	confirmed chan int64 // SentAt of confirmed pings
}

// subscribe serves one subscriber until it falls silent, does not read, or no
// quorum confirms its pings.
func (s *Server) subscribe(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sub := &subscription{
		server:    s,
		stream:    stream,
		cancel:    cancel,
		pinged:    make(chan struct{}, 1),
		confirmed: make(chan int64),
	}
	sub.extend()
	var first rpc.SubscribePing
	if err := stream.Recv(&first); err != nil {
		return err
	}
	s.subscribers.Inc(1)
	defer s.subscribers.Dec(1)
	s.log.Info("subscriber_joined", "subscriber", first.Subscriber, "revision", first.Revision)
	sub.take(&first)
	var wg conc.WaitGroup
	wg.Go(func() { sub.receive() })
	wg.Go(func() { sub.confirm(ctx) })
	err := sub.send(ctx, first.Revision)
	cancel(err)
	_ = stream.SetDeadline(time.Unix(1, 0)) // unblocks receive
	wg.Wait()
	_ = stream.SetDeadline(time.Now().Add(subscriberTimeout))
	s.log.Info("subscriber_left", "subscriber", first.Subscriber, "error", err)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if errors.Is(err, context.Canceled) {
		return outcome.New(outcome.Draining, outcome.NotRun, "control host %d shuts down", s.cfg.ID)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the subscriber did not ping or read for %s", subscriberTimeout)
	}
	return err
}

// extend moves the time limit for the subscriber's next ping and read.
func (b *subscription) extend() {
	_ = b.stream.SetDeadline(time.Now().Add(subscriberTimeout))
}

// receive takes pings until the stream ends.
func (b *subscription) receive() {
	for {
		ping := new(rpc.SubscribePing)
		if err := b.stream.Recv(ping); err != nil {
			b.cancel(err)
			return
		}
		b.extend()
		b.take(ping)
	}
}

// take makes ping the next to confirm. An older one still waiting is covered
// by it.
func (b *subscription) take(ping *rpc.SubscribePing) {
	b.mu.Lock()
	b.waiting = ping
	b.mu.Unlock()
	select {
	case b.pinged <- struct{}{}:
	default:
	}
}

// confirm has pings confirmed by a quorum, one at a time.
func (b *subscription) confirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.pinged:
		}
		b.mu.Lock()
		ping := b.waiting
		b.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
		err := b.server.confirm(bounded)
		cancel()
		if err != nil {
			b.cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case b.confirmed <- ping.SentAt:
		}
	}
}

// send pushes each change at once and answers confirmed pings. Updates go in
// order, so the subscriber that has read a confirmed pong holds all state up to
// its revision.
func (b *subscription) send(ctx context.Context, held uint64) error {
	for {
		_, changed := b.server.state.current()
		pong := rpc.SubscribePong{Update: b.server.state.updateSince(held)}
		if pong.Update.Revision > held {
			if err := b.push(&pong, &held); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case sentAt := <-b.confirmed:
			answer := rpc.SubscribePong{SentAt: sentAt, Confirmed: true, Update: b.server.state.updateSince(held)}
			if answer.Update.Revision < held {
				return outcome.New(outcome.StateStale, outcome.NotRun,
					"revision %d is unknown to the quorum, which has %d", held, answer.Update.Revision)
			}
			if err := b.push(&answer, &held); err != nil {
				return err
			}
		}
	}
}

func (b *subscription) push(pong *rpc.SubscribePong, held *uint64) error {
	*held = max(*held, pong.Update.Revision)
	pong.Revision = *held
	b.server.pushes.Mark(1)
	return b.stream.Send(pong)
}
