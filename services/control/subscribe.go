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

// subscription serves one subscriber's stream. It uses three goroutines, so
// that neither a slow subscriber nor a missing quorum blocks anything else: one
// receives pings, one has the latest ping confirmed by a quorum, one sends.
type subscription struct {
	server *Server
	stream *wire.Stream
	cancel context.CancelCauseFunc

	mu         sync.Mutex
	latestPing *rpc.SubscribePing // most recently received

	pinged         chan struct{}
	confirmedPings chan int64 // SentAt of each confirmed ping
}

// subscribe serves one subscriber until it sends no ping for subscriberTimeout,
// stops reading, or no quorum confirms its pings.
func (s *Server) subscribe(ctx context.Context, stream *wire.Stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sub := &subscription{
		server:         s,
		stream:         stream,
		cancel:         cancel,
		pinged:         make(chan struct{}, 1),
		confirmedPings: make(chan int64),
	}
	sub.extendDeadline()
	var first rpc.SubscribePing
	if err := stream.Recv(&first); err != nil {
		return err
	}
	s.subscribers.Inc(1)
	defer s.subscribers.Dec(1)
	s.log.Info("subscriber_joined", "subscriber", first.Subscriber, "revision", first.Revision)
	sub.setLatestPing(&first)
	var wg conc.WaitGroup
	wg.Go(func() { sub.receivePings() })
	wg.Go(func() { sub.confirmPings(ctx) })
	err := sub.sendUpdates(ctx, first.Revision)
	cancel(err)
	_ = stream.SetDeadline(time.Unix(1, 0)) // unblocks receivePings
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

// extendDeadline extends the deadline for the subscriber's next ping and read.
func (s *subscription) extendDeadline() {
	_ = s.stream.SetDeadline(time.Now().Add(subscriberTimeout))
}

// receivePings receives pings until the stream ends.
func (s *subscription) receivePings() {
	for {
		ping := new(rpc.SubscribePing)
		if err := s.stream.Recv(ping); err != nil {
			s.cancel(err)
			return
		}
		s.extendDeadline()
		s.setLatestPing(ping)
	}
}

// setLatestPing makes ping the next one to confirm. It replaces an older ping
// that is not being confirmed yet, as its confirmation covers that one too.
func (s *subscription) setLatestPing(ping *rpc.SubscribePing) {
	s.mu.Lock()
	s.latestPing = ping
	s.mu.Unlock()
	select {
	case s.pinged <- struct{}{}:
	default:
	}
}

// confirmPings has the latest ping confirmed by a quorum, one at a time.
func (s *subscription) confirmPings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pinged:
		}
		s.mu.Lock()
		ping := s.latestPing
		s.mu.Unlock()
		confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		err := s.server.confirm(confirmCtx)
		cancel()
		if err != nil {
			s.cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case s.confirmedPings <- ping.SentAt:
		}
	}
}

// sendUpdates pushes each change immediately and responds to confirmed pings.
// Updates are sent in order, so a subscriber that has read a confirmed pong has
// all state up to its revision.
func (s *subscription) sendUpdates(ctx context.Context, revision uint64) error {
	for {
		_, changed := s.server.configState.current()
		pong := rpc.SubscribePong{Update: s.server.configState.updateSince(revision)}
		if pong.Update.Revision > revision {
			if err := s.sendPong(&pong, &revision); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case sentAt := <-s.confirmedPings:
			confirmedPong := rpc.SubscribePong{SentAt: sentAt, Confirmed: true, Update: s.server.configState.updateSince(revision)}
			if confirmedPong.Update.Revision < revision {
				return outcome.New(outcome.StateStale, outcome.NotRun,
					"revision %d is unknown to the quorum, which has %d", revision, confirmedPong.Update.Revision)
			}
			if err := s.sendPong(&confirmedPong, &revision); err != nil {
				return err
			}
		}
	}
}

// sendPong sends a pong and advances the subscriber's revision.
func (s *subscription) sendPong(pong *rpc.SubscribePong, revision *uint64) error {
	*revision = max(*revision, pong.Update.Revision)
	pong.Revision = *revision
	s.server.pushes.Mark(1)
	return s.stream.Send(pong)
}
