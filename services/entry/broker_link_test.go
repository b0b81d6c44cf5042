package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/standin"
)

// fakeBroker is a broker with one target, t0. It counts how gateways reach it.
type fakeBroker struct {
	streams, calls    atomic.Int64 // of slots; calls for requests and releases
	granted, released atomic.Int64
	silent            atomic.Bool // it answers no requests
	breaks            atomic.Bool // it ends the stream on the next message
}

// register registers the handlers of a broker; one of a former build knows no streams.
func (b *fakeBroker) register(former bool) func(*wire.Server) {
	return func(server *wire.Server) {
		wire.HandleUnary(server, rpc.MethodSlotAcquire, func(context.Context, *rpc.SlotRequest) (*rpc.SlotGrant, error) {
			b.calls.Add(1)
			b.granted.Add(1)
			return &rpc.SlotGrant{Target: "t0"}, nil
		})
		wire.HandleUnary(server, rpc.MethodSlotRelease, func(_ context.Context, r *rpc.SlotRelease) (*rpc.Ack, error) {
			b.calls.Add(1)
			b.released.Add(int64(len(r.IDs)))
			return &rpc.Ack{}, nil
		})
		if !former {
			server.Handle(rpc.MethodSlots, b.serve)
		}
	}
}

func (b *fakeBroker) serve(_ context.Context, stream *wire.Stream) error {
	b.streams.Add(1)
	for {
		var ask rpc.SlotsAsk
		if err := stream.Recv(&ask); err != nil {
			return err
		}
		if b.breaks.Swap(false) {
			return outcome.New(outcome.Internal, outcome.MayHaveRun, "the stream breaks")
		}
		if ask.Release != nil {
			b.released.Add(int64(len(ask.Release.IDs)))
		}
		if b.silent.Load() {
			continue
		}
		answer := rpc.SlotsAnswer{}
		for i := range ask.Acquire {
			b.granted.Add(1)
			answer.Answers = append(answer.Answers, rpc.SlotAnswer{ID: ask.Acquire[i].ID, Grant: &rpc.SlotGrant{Target: "t0"}})
		}
		if err := stream.Send(&answer); err != nil {
			return err
		}
	}
}

// slotsOf returns a gateway's slots with a fake broker.
func slotsOf(t *testing.T, b *fakeBroker, former bool) *slots {
	f := newFixture(t, standin.Behaviour{})
	f.serveStorage(b.register(former))
	s := newSlots(f.follower, newJobClient(f.follower))
	ctx, cancel := context.WithCancel(t.Context())
	var sending conc.WaitGroup
	sending.Go(func() { s.sendReleases(ctx) })
	t.Cleanup(func() {
		cancel()
		sending.Wait()
	})
	return s
}

// askForTest asks the broker for a slot as a request does, and returns nil if it granted none.
func (s *slots) askForTest(t *testing.T) *slot {
	granted, failure := s.askBroker(t.Context(), &rpc.SlotRequest{RemainingMS: 5000}, placement.Query{Service: "llm", Exclude: map[string]bool{}})
	require.Nil(t, failure)
	return granted
}

// Guards against a stream for each request to the broker and another for each release:
// at 1,300 requests a second they took all of its processor, and items waited behind
// (SHORT on urbpadoms-large).
func TestSlotsShareOneStream(t *testing.T) {
	b := &fakeBroker{}
	s := slotsOf(t, b, false)
	const count = 50
	var requests conc.WaitGroup
	for range count {
		requests.Go(func() {
			if granted := s.askForTest(t); assert.NotNil(t, granted) {
				s.release(granted, false)
			}
		})
	}
	requests.Wait()
	require.Eventually(t, func() bool { return b.released.Load() == count }, waitTimeout, time.Millisecond)
	assert.Equal(t, int64(count), b.granted.Load())
	assert.Equal(t, int64(1), b.streams.Load())
	assert.Zero(t, b.calls.Load())
}

// Guards against gateways that get no slots while the storage hosts still run a former
// build.
func TestSlotsOfBrokerOfFormerBuild(t *testing.T) {
	b := &fakeBroker{}
	s := slotsOf(t, b, true)
	require.Eventually(t, func() bool {
		granted := s.askForTest(t)
		if granted != nil {
			s.release(granted, false)
		}
		return granted != nil
	}, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return b.released.Load() > 0 }, waitTimeout, time.Millisecond)
}

// Guards against requests that wait for a stream that has ended, and against a gateway that
// never opens another one.
func TestBrokenStreamToBrokerIsReplaced(t *testing.T) {
	b := &fakeBroker{}
	s := slotsOf(t, b, false)
	require.NotNil(t, s.askForTest(t))
	b.breaks.Store(true)
	assert.Nil(t, s.askForTest(t), "the stream ends before an answer")
	require.Eventually(t, func() bool { return s.askForTest(t) != nil }, waitTimeout, 10*time.Millisecond)
	assert.Equal(t, int64(2), b.streams.Load())
}

// Guards against requests that wait for a silent broker, and against slots that stay taken
// for requests that have given up.
func TestSilentBrokerGetsReleasesOfAbandonedRequests(t *testing.T) {
	b := &fakeBroker{}
	s := slotsOf(t, b, false)
	require.NotNil(t, s.askForTest(t))
	b.silent.Store(true)
	began := b.released.Load()
	assert.Nil(t, s.askForTest(t))
	require.Eventually(t, func() bool { return b.released.Load() == began+1 }, waitTimeout, time.Millisecond)
	b.silent.Store(false)
	require.Eventually(t, func() bool { return s.askForTest(t) != nil }, waitTimeout, 10*time.Millisecond)
	link := s.links.open(s.follower.StorageHosts()[0].ID)
	require.NotNil(t, link)
	link.mu.Lock()
	defer link.mu.Unlock()
	assert.Empty(t, link.waiting, fmt.Sprint("of requests that have given up: ", len(link.waiting)))
}
