package controlclient

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const (
	methodCall        wire.Method = 1000
	eventuallyTimeout             = 30 * time.Second // bounds waits only; no test depends on it
	pollInterval                  = 2 * time.Millisecond
)

// TestMain fails the package if a client leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// replica is a fake control replica with scripted responses.
type replica struct {
	addr      string
	stop      func()
	pings     atomic.Int64
	calls     atomic.Int64
	lastPing  atomic.Int64 // SentAt
	silent    atomic.Bool  // receives pings and calls but answers none
	pong      atomic.Pointer[func(ping *rpc.SubscribePing) rpc.SubscribePong]
	callError atomic.Pointer[error] // error returned to calls; nil: they succeed
}

// confirmRevision returns a script that confirms the revision in response to each
// ping.
func confirmRevision(revision uint64) func(*rpc.SubscribePing) rpc.SubscribePong {
	return func(ping *rpc.SubscribePing) rpc.SubscribePong {
		update := fleet.Update{Revision: revision, Full: true}
		return rpc.SubscribePong{SentAt: ping.SentAt, Confirmed: true, Revision: revision, Update: update}
	}
}

func startReplica(t *testing.T, pong func(*rpc.SubscribePing) rpc.SubscribePong) *replica {
	t.Helper()
	r := &replica{}
	r.pong.Store(&pong)
	s := wire.NewServer(telemetry.Discard(), nil)
	s.Handle(rpc.MethodSubscribe, r.subscribe)
	wire.HandleUnary(s, methodCall, func(ctx context.Context, _ *rpc.Ack) (*rpc.Ack, error) {
		r.calls.Add(1)
		if r.silent.Load() {
			<-ctx.Done() // cancelled by the caller; the response may still reach it first
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, outcome.New(outcome.Cancelled, outcome.MayHaveRun, "cancelled")
			}
			return nil, outcome.New(outcome.DeadlineExceeded, outcome.MayHaveRun, "no answer")
		}
		if err := r.callError.Load(); err != nil {
			return nil, *err
		}
		return &rpc.Ack{}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, s.Serve(ctx, l)) })
	r.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(r.stop)
	return r
}

func (r *replica) subscribe(_ context.Context, stream *wire.Stream) error {
	for {
		var ping rpc.SubscribePing
		if err := stream.Recv(&ping); err != nil {
			return err
		}
		r.lastPing.Store(ping.SentAt)
		r.pings.Add(1)
		if r.silent.Load() {
			continue
		}
		pong := (*r.pong.Load())(&ping)
		if err := stream.Send(&pong); err != nil {
			return err
		}
	}
}

// startHungListener listens but never accepts a connection.
func startHungListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// newClient returns a client whose first replica is the first address.
func newClient(t *testing.T, addrs ...string) *Client {
	t.Helper()
	c := New(Config{Name: "tester", Addrs: addrs, Log: telemetry.Discard()})
	c.turn.Store(0)
	return c
}

// startClient runs the client until the test ends.
func startClient(t *testing.T, c *Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, c.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, eventuallyTimeout, pollInterval, what)
}
