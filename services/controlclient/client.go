// Package controlclient connects a process to the control replicas. It subscribes
// to the view of the fleet, makes calls, and holds the freshness lease: requests
// must not be admitted on a view that no quorum has confirmed within the
// staleness bound.
package controlclient

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const (
	// DefaultMaxStaleness is the default bound on the age of a view's confirmation.
	DefaultMaxStaleness = 4 * time.Second
	pingInterval        = 500 * time.Millisecond
	// pongTimeout bounds the time without a confirmation in a subscription, and
	// connectTimeout one connection attempt. They are short enough that, within
	// the staleness bound, a subscriber can leave a hung replica, find the next
	// one hung or unreachable as well, and still be confirmed by the third.
	pongTimeout    = 1500 * time.Millisecond
	connectTimeout = 1 * time.Second
	// The delay before the next subscription doubles after each round over all
	// replicas in which none confirmed anything, up to maxReconnectDelay.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	attemptTimeout    = 1500 * time.Millisecond // bounds one attempt of a call
	callRetryDelay    = 50 * time.Millisecond
)

var errStalled = errors.Newf("no confirmation for %s", pongTimeout)

// Config identifies the process and its control replicas.
type Config struct {
	Name         string // process name, unique in the fleet
	DataCentre   string
	Addrs        []string // wire addresses of the control replicas
	TLS          *tls.Config
	Log          *telemetry.Log
	MaxStaleness time.Duration // zero: DefaultMaxStaleness
	// OnUpdate, if set, is called after each change of the view, from one
	// goroutine.
	OnUpdate func(*fleet.View)
}

// Client holds a process's view of the fleet and its connections to control. It is
// safe for concurrent use. The view stays fresh only while Run is running.
type Client struct {
	cfg              Config
	callPool         *wire.Pool
	subscriptionPool *wire.Pool // separate, so that bulk calls do not delay the subscription's pings
	start            time.Time
	turn             atomic.Uint32 // selects the replica for calls; incremented to skip one

	view        atomic.Pointer[fleet.View]
	confirmedAt atomic.Int64 // send time of the newest confirmed ping, ns since start; -1 none
}

// New returns a client with an empty, stale view.
func New(cfg Config) *Client {
	if cfg.MaxStaleness == 0 {
		cfg.MaxStaleness = DefaultMaxStaleness
	}
	c := &Client{cfg: cfg, callPool: wire.NewPool(cfg.TLS), subscriptionPool: wire.NewPool(cfg.TLS), start: time.Now()}
	c.view.Store(&fleet.View{})
	c.confirmedAt.Store(-1)
	if len(cfg.Addrs) > 0 {
		c.turn.Store(rand.Uint32N(uint32(len(cfg.Addrs))))
	}
	return c
}

// View returns the newest view. It is immutable and never nil.
func (c *Client) View() *fleet.View { return c.view.Load() }

// Fresh reports whether the freshness lease holds at now.
func (c *Client) Fresh(now time.Time) bool {
	confirmed := c.confirmedAt.Load()
	return confirmed >= 0 && now.Sub(c.start)-time.Duration(confirmed) <= c.cfg.MaxStaleness
}

// Run maintains the subscription until ctx ends; after that, calls fail. The
// subscription rotates over the replicas independently of the calls, so that
// failing calls cannot send it back to a replica that it has just left.
func (c *Client) Run(ctx context.Context) error {
	defer c.callPool.Close()
	defer c.subscriptionPool.Close()
	failures := 0
	for turn := c.turn.Load(); ctx.Err() == nil; turn++ {
		addr := c.addr(turn)
		confirmed := c.confirmedAt.Load()
		err := c.subscribe(ctx, addr)
		if ctx.Err() != nil {
			return nil
		}
		failures++
		if c.confirmedAt.Load() > confirmed {
			failures = 1
		}
		c.cfg.Log.Warn("control_subscription_lost", "replica", addr, "error", err)
		if current := c.turn.Load(); c.addr(current) == addr {
			c.skipReplica(current)
		}
		pause.For(ctx, reconnectDelay(failures, len(c.cfg.Addrs)))
	}
	return nil
}

// reconnectDelay returns the delay after the given number of consecutive
// subscriptions without a confirmation.
func reconnectDelay(failures, replicas int) time.Duration {
	delay := minReconnectDelay
	for ; failures > replicas && delay < maxReconnectDelay; failures -= replicas {
		delay *= 2
	}
	return min(delay, maxReconnectDelay)
}

func (c *Client) addr(turn uint32) string { return c.cfg.Addrs[int(turn)%len(c.cfg.Addrs)] }

// skipReplica makes calls use the replica after that of the given turn, unless
// another call has already skipped it.
func (c *Client) skipReplica(turn uint32) { c.turn.CompareAndSwap(turn, turn+1) }

// subscribe serves one subscription until it fails or stalls.
func (c *Client) subscribe(parent context.Context, addr string) error {
	conn, err := c.connect(parent, addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(parent)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer conn.Close() // also unblocks a ping that the replica does not read
	defer cancel()
	watchdog := time.AfterFunc(pongTimeout, func() { conn.Close() })
	err = c.receivePongs(ctx, conn, &wg, watchdog)
	if !watchdog.Stop() {
		return errStalled
	}
	return err
}

// connect dials a replica for the subscription.
func (c *Client) connect(ctx context.Context, addr string) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.subscriptionPool.Get(ctx, addr)
}

// receivePongs opens the stream, starts the pings and handles the pongs. Each
// confirmed pong resets the watchdog.
func (c *Client) receivePongs(ctx context.Context, conn *wire.Conn, wg *conc.WaitGroup, watchdog *time.Timer) error {
	stream, err := conn.Open(ctx, rpc.MethodSubscribe)
	if err != nil {
		return err
	}
	wg.Go(func() { c.sendPings(ctx, stream) })
	for {
		var pong rpc.SubscribePong
		if err := stream.Recv(&pong); err != nil {
			return err
		}
		if err := c.accept(&pong); err != nil {
			return err
		}
		if pong.Confirmed {
			watchdog.Reset(pongTimeout)
		}
	}
}

func (c *Client) sendPings(ctx context.Context, stream *wire.Stream) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		ping := rpc.SubscribePing{
			Subscriber: c.cfg.Name,
			SentAt:     int64(time.Since(c.start)),
			Revision:   c.View().Revision,
		}
		if err := stream.Send(&ping); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// accept installs the update of a pong, then extends the lease, in this order
// because the lease must never cover a revision that is not installed yet. It
// fails if the replica confirms another revision than the installed one: a replica
// whose newest committed revision is older does not hold the state that this
// client follows.
func (c *Client) accept(pong *rpc.SubscribePong) error {
	old := c.View()
	if pong.Update.Revision > old.Revision {
		view, err := old.Apply(pong.Update)
		if err != nil {
			return errors.Wrap(err, "apply update")
		}
		c.view.Store(view)
		if c.cfg.OnUpdate != nil {
			c.cfg.OnUpdate(view)
		}
	}
	if !pong.Confirmed {
		return nil
	}
	installed := c.View().Revision
	if pong.Revision != installed {
		return errors.Newf("replica confirms revision %d, but revision %d is installed", pong.Revision, installed)
	}
	if pong.SentAt > c.confirmedAt.Load() {
		c.confirmedAt.Store(pong.SentAt)
	}
	return nil
}

// Call makes a unary call on one of the replicas, which forwards it to the leader
// if necessary. It retries on other replicas until ctx ends, but only if the
// outcome is not_run. Idempotent calls should use CallIdempotent.
func (c *Client) Call(ctx context.Context, method wire.Method, request, response any) error {
	return c.call(ctx, method, request, response, false)
}

// CallIdempotent is Call for idempotent requests: it also retries when the outcome is
// unknown.
func (c *Client) CallIdempotent(ctx context.Context, method wire.Method, request, response any) error {
	return c.call(ctx, method, request, response, true)
}

// Poll makes a long-polling call, whose response control delays until it has
// something to report. It makes a single attempt on one replica, bounded only by ctx.
func (c *Client) Poll(ctx context.Context, method wire.Method, request, response any) error {
	turn := c.turn.Load()
	err := c.callOnce(ctx, turn, method, request, response)
	if err != nil && !isCancelled(ctx) && isReplicaFault(err) {
		c.skipReplica(turn)
	}
	return err
}

func (c *Client) call(ctx context.Context, method wire.Method, request, response any, idempotent bool) error {
	for {
		turn := c.turn.Load()
		err := c.callWithTimeout(ctx, turn, method, request, response)
		if err == nil || isCancelled(ctx) || !isReplicaFault(err) {
			return err
		}
		c.skipReplica(turn)
		retryable := idempotent || outcome.From(err).Outcome == outcome.NotRun
		if !retryable || !pause.For(ctx, callRetryDelay) {
			return err
		}
	}
}

func (c *Client) callWithTimeout(ctx context.Context, turn uint32, method wire.Method, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.callOnce(ctx, turn, method, request, response)
}

func (c *Client) callOnce(ctx context.Context, turn uint32, method wire.Method, request, response any) error {
	conn, err := c.callPool.Get(ctx, c.addr(turn))
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, request, response)
}

// Open opens a stream on the first replica that accepts it, trying each once.
func (c *Client) Open(ctx context.Context, method wire.Method) (*wire.Stream, error) {
	var err error
	for range c.cfg.Addrs {
		var stream *wire.Stream
		turn := c.turn.Load()
		stream, err = c.open(ctx, turn, method)
		if err == nil || isCancelled(ctx) {
			return stream, err
		}
		c.skipReplica(turn)
	}
	return nil, err
}

func (c *Client) open(ctx context.Context, turn uint32, method wire.Method) (*wire.Stream, error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.callPool.Get(connectCtx, c.addr(turn))
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx, method)
}

// isCancelled reports whether the caller cancelled the call, which says nothing
// about the replica.
func isCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// isReplicaFault reports whether another replica may succeed where this one failed.
// It does not say whether the same call may be retried.
func isReplicaFault(err error) bool {
	e := outcome.From(err)
	if e == wire.ErrPoolClosed {
		return false
	}
	switch e.Code {
	case outcome.Unreachable, outcome.NotLeader, outcome.NoQuorum, outcome.Draining, outcome.DeadlineExceeded, outcome.Cancelled:
		return true
	default:
		return false
	}
}
