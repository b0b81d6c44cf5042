package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

// linkDialTimeout bounds the dial of a link. Requests wait for brokerTimeout only.
const linkDialTimeout = 500 * time.Millisecond

var errLinkEnded = outcome.New(outcome.Unreachable, outcome.MayHaveRun, "the stream to the broker has ended")

// brokerLink is the stream of this gateway to a broker. Whatever comes up while a message
// is being written shares the next one. It is safe for concurrent use.
type brokerLink struct {
	host   uint64 // replica id of the broker's host
	cancel context.CancelFunc
	wake   chan struct{} // something is to be sent
	done   chan struct{} // closed when the link has ended

	mu      sync.Mutex
	asked   []rpc.SlotRequest                // not sent yet
	release *rpc.SlotRelease                 // not sent yet; nil: there is none
	waiting map[uint64]chan<- rpc.SlotAnswer // for an answer, by the number of the request
	failure *outcome.Error                   // why the link has ended; nil: it has not
}

// newBrokerLink starts a link to a storage host. Its goroutines run in wg until ctx ends or
// the stream fails.
func newBrokerLink(ctx context.Context, wg *conc.WaitGroup, conns *wire.Pool, host uint64) *brokerLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &brokerLink{host: host, cancel: cancel, wake: make(chan struct{}, 1), done: make(chan struct{}),
		waiting: make(map[uint64]chan<- rpc.SlotAnswer)}
	wg.Go(func() {
		defer cancel()
		l.end(l.run(ctx, wg, conns))
	})
	return l
}

// acquire asks for a slot until ctx ends.
func (l *brokerLink) acquire(ctx context.Context, request *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	answers := make(chan rpc.SlotAnswer, 1)
	l.mu.Lock()
	if l.failure != nil {
		l.mu.Unlock()
		return nil, l.failure
	}
	own := *request
	own.Exclude = slices.Clone(request.Exclude) // the caller uses it again after a timeout
	l.asked = append(l.asked, own)
	l.waiting[request.ID.Number] = answers
	l.mu.Unlock()
	l.notify()
	select {
	case answer := <-answers:
		if answer.Refusal != nil {
			return nil, answer.Refusal
		}
		return answer.Grant, nil
	case <-l.done:
		return nil, l.failure
	case <-ctx.Done():
		l.forget(request.ID.Number)
		return nil, outcome.New(outcome.DeadlineExceeded, outcome.MayHaveRun, "the broker did not answer in time")
	}
}

// forget drops a request whose caller waits no longer.
func (l *brokerLink) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// give queues releases and reports, and returns false if the link has ended.
func (l *brokerLink) give(message *rpc.SlotRelease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return false
	}
	if l.release == nil {
		l.release = message
	} else {
		l.release.IDs = append(l.release.IDs, message.IDs...)
		l.release.Failed = append(l.release.Failed, message.Failed...)
		l.release.Errors = append(l.release.Errors, message.Errors...)
		l.release.Runs = append(l.release.Runs, message.Runs...)
		l.release.Loads = append(l.release.Loads, message.Loads...)
	}
	l.notify()
	return true
}

func (l *brokerLink) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run opens the stream, and sends and receives until it fails or ctx ends.
func (l *brokerLink) run(ctx context.Context, wg *conc.WaitGroup, conns *wire.Pool) error {
	stream, err := l.open(ctx, conns)
	if err != nil {
		return err
	}
	defer stream.Close()
	wg.Go(func() { l.end(l.receive(stream)) })
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.done:
			return nil
		case <-l.wake:
		}
		if ask := l.takeUnsent(); ask != nil {
			if err := stream.Send(ask); err != nil {
				return err
			}
		}
	}
}

func (l *brokerLink) open(ctx context.Context, conns *wire.Pool) (*wire.Stream, error) {
	addr, found := replicated.Addr(l.host)
	if !found {
		return nil, outcome.New(outcome.Unreachable, outcome.NotRun, "no storage host is known")
	}
	dialCtx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	conn, err := conns.Get(dialCtx, addr)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx, rpc.MethodSlots)
}

// takeUnsent returns what is to be sent, or nil. Requests whose callers have given up are
// left out.
func (l *brokerLink) takeUnsent() *rpc.SlotsAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := &rpc.SlotsAsk{Release: l.release}
	for i := range l.asked {
		if l.waiting[l.asked[i].ID.Number] != nil {
			ask.Acquire = append(ask.Acquire, l.asked[i])
		}
	}
	l.asked, l.release = nil, nil
	if ask.Release == nil && len(ask.Acquire) == 0 {
		return nil
	}
	return ask
}

// receive passes answers to those who wait for them until the stream fails.
func (l *brokerLink) receive(stream *wire.Stream) error {
	for {
		var answer rpc.SlotsAnswer
		if err := stream.Recv(&answer); err != nil {
			return err
		}
		l.mu.Lock()
		for i := range answer.Answers {
			number := answer.Answers[i].ID.Number
			if waiter := l.waiting[number]; waiter != nil {
				waiter <- answer.Answers[i]
				delete(l.waiting, number)
			}
		}
		l.mu.Unlock()
	}
}

// end ends the link. The first reason counts.
func (l *brokerLink) end(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return
	}
	l.failure = errLinkEnded
	if outcome.IsCode(reason, outcome.UnknownRoute) {
		l.failure = outcome.From(reason)
	}
	close(l.done)
	l.cancel()
}

// isUnknown reports whether the broker does not know the method: it runs a former build.
func (l *brokerLink) isUnknown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure != nil && l.failure.Code == outcome.UnknownRoute
}

// hasEnded reports whether a new link is needed.
func (l *brokerLink) hasEnded() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// brokerLinks holds the link to the current broker.
type brokerLinks struct {
	conns  *wire.Pool
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.Mutex
	current *brokerLink
}

func newBrokerLinks(jobs *jobClient) *brokerLinks {
	links := &brokerLinks{}
	if jobs != nil {
		links.conns = jobs.pool
	}
	links.ctx, links.cancel = context.WithCancel(context.Background())
	return links
}

// to returns the link to a broker's host, and replaces the one to another host or one that
// has ended. It returns nil if the host runs a former build, or after close.
func (b *brokerLinks) to(host uint64) *brokerLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil
	}
	if b.current != nil && b.current.host == host {
		if b.current.isUnknown() {
			return nil
		}
		if !b.current.hasEnded() {
			return b.current
		}
	}
	if b.current != nil {
		b.current.cancel()
	}
	b.current = newBrokerLink(b.ctx, &b.wg, b.conns, host)
	return b.current
}

// open returns the link to a host if there is one that has not ended, or nil.
func (b *brokerLinks) open(host uint64) *brokerLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil || b.current.host != host || b.current.hasEnded() || b.ctx.Err() != nil {
		return nil
	}
	return b.current
}

// close ends the link and waits for its goroutines.
func (b *brokerLinks) close() {
	b.cancel()
	b.wg.Wait()
}
