// Package controlclient keeps a process's view of the fleet current and
// carries its calls to control. It holds the freshness lease: a view that no
// quorum has confirmed within the staleness bound must not admit anything.
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
	// DefaultMaxStaleness bounds the age of a confirmed view.
	DefaultMaxStaleness = 4 * time.Second
	pingInterval        = 500 * time.Millisecond
	// pongTimeout ends a subscription whose replica confirms nothing, and
	// connectTimeout an attempt to reach one. Within the staleness bound a
	// subscriber can leave a hung replica, find the next one hung or
	// unreachable as well, and still be confirmed by the third.
	pongTimeout    = 1500 * time.Millisecond
	connectTimeout = 1 * time.Second
	// The pause before the next subscription doubles with each round over all
	// replicas in which none confirmed anything, up to maxReconnectPause.
	reconnectPause    = 50 * time.Millisecond
	maxReconnectPause = 500 * time.Millisecond
	attemptTimeout    = 1500 * time.Millisecond // one call on one replica
	callRetryPause    = 50 * time.Millisecond
)

var errStalled = errors.Newf("no confirmation for %s", pongTimeout)

// Config describes the process and its control replicas.
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

// Client is safe for concurrent use. Run must be running for the view to
// stay fresh.
type Client struct {
	cfg   Config
	calls *wire.Pool
	feed  *wire.Pool // of the subscription: bulk calls must not delay its pings
	start time.Time
	next  atomic.Uint32 // counts the replicas that calls have left; picks the one to use

	view        atomic.Pointer[fleet.View]
	confirmedAt atomic.Int64 // send time of the newest confirmed ping, ns since start; -1 none
}

// New returns a client with an empty, stale view.
func New(cfg Config) *Client {
	if cfg.MaxStaleness == 0 {
		cfg.MaxStaleness = DefaultMaxStaleness
	}
	c := &Client{cfg: cfg, calls: wire.NewPool(cfg.TLS), feed: wire.NewPool(cfg.TLS), start: time.Now()}
	c.view.Store(&fleet.View{})
	c.confirmedAt.Store(-1)
	if len(cfg.Addrs) > 0 {
		c.next.Store(rand.Uint32N(uint32(len(cfg.Addrs))))
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

// Run keeps one subscription until ctx ends. Calls fail from then on. The
// subscription goes round the replicas by itself, so that failing calls can't
// send it back to a replica that it has just left.
func (c *Client) Run(ctx context.Context) error {
	defer c.calls.Close()
	defer c.feed.Close()
	failures := 0
	for turn := c.next.Load(); ctx.Err() == nil; turn++ {
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
		if used := c.next.Load(); c.addr(used) == addr {
			c.leave(used)
		}
		pause.For(ctx, pauseAfter(failures, len(c.cfg.Addrs)))
	}
	return nil
}

// pauseAfter returns the pause after so many subscriptions in a row without a
// confirmation.
func pauseAfter(failures, replicas int) time.Duration {
	d := reconnectPause
	for ; failures > replicas && d < maxReconnectPause; failures -= replicas {
		d *= 2
	}
	return min(d, maxReconnectPause)
}

func (c *Client) addr(turn uint32) string { return c.cfg.Addrs[int(turn)%len(c.cfg.Addrs)] }

// leave makes calls use the next replica, unless they already left the one of
// this turn.
func (c *Client) leave(turn uint32) { c.next.CompareAndSwap(turn, turn+1) }

// subscribe serves one subscription until it fails or stalls.
func (c *Client) subscribe(parent context.Context, addr string) error {
	conn, err := c.connect(parent, addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(parent)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer conn.Close() // also frees a ping that the replica does not take
	defer cancel()
	watchdog := time.AfterFunc(pongTimeout, func() { conn.Close() })
	err = c.follow(ctx, conn, &wg, watchdog)
	if !watchdog.Stop() {
		return errStalled
	}
	return err
}

// connect dials a replica for the subscription.
func (c *Client) connect(ctx context.Context, addr string) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.feed.Get(ctx, addr)
}

// follow sends pings and takes pongs; each confirmed one rewinds the watchdog.
func (c *Client) follow(ctx context.Context, conn *wire.Conn, wg *conc.WaitGroup, watchdog *time.Timer) error {
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

// accept installs an update, then advances the lease: the lease must never
// cover a revision that is not installed yet. A replica whose newest committed
// revision is older than ours does not belong to the state that we follow.
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
	held := c.View().Revision
	if pong.Revision != held {
		return errors.Newf("replica confirms revision %d, held is %d", pong.Revision, held)
	}
	if pong.SentAt > c.confirmedAt.Load() {
		c.confirmedAt.Store(pong.SentAt)
	}
	return nil
}

// Call makes a unary call on some replica, which forwards it to the leader if
// need be. It tries other replicas until ctx ends, but only while the outcome
// is not_run. Calls that are idempotent by request id should use CallAgain.
func (c *Client) Call(ctx context.Context, method wire.Method, request, response any) error {
	return c.call(ctx, method, request, response, false)
}

// CallAgain is Call for requests that may be repeated: it also tries again
// when the outcome is unknown.
func (c *Client) CallAgain(ctx context.Context, method wire.Method, request, response any) error {
	return c.call(ctx, method, request, response, true)
}

// Poll makes one call on one replica, bounded by ctx alone, for answers that
// control holds back until there is something to say.
func (c *Client) Poll(ctx context.Context, method wire.Method, request, response any) error {
	turn := c.next.Load()
	err := c.once(ctx, turn, method, request, response)
	if err != nil && !gone(ctx) && blamesReplica(err) {
		c.leave(turn)
	}
	return err
}

func (c *Client) call(ctx context.Context, method wire.Method, request, response any, again bool) error {
	for {
		turn := c.next.Load()
		err := c.attempt(ctx, turn, method, request, response)
		if err == nil || gone(ctx) || !blamesReplica(err) {
			return err
		}
		c.leave(turn)
		repeatable := again || outcome.From(err).Outcome == outcome.NotRun
		if !repeatable || !pause.For(ctx, callRetryPause) {
			return err
		}
	}
}

func (c *Client) attempt(ctx context.Context, turn uint32, method wire.Method, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.once(ctx, turn, method, request, response)
}

func (c *Client) once(ctx context.Context, turn uint32, method wire.Method, request, response any) error {
	conn, err := c.calls.Get(ctx, c.addr(turn))
	if err != nil {
		return err
	}
	return conn.Call(ctx, method, request, response)
}

// Open starts a stream on some replica.
func (c *Client) Open(ctx context.Context, method wire.Method) (*wire.Stream, error) {
	var err error
	for range c.cfg.Addrs {
		var stream *wire.Stream
		turn := c.next.Load()
		stream, err = c.open(ctx, turn, method)
		if err == nil || gone(ctx) {
			return stream, err
		}
		c.leave(turn)
	}
	return nil, err
}

func (c *Client) open(ctx context.Context, turn uint32, method wire.Method) (*wire.Stream, error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.calls.Get(connectCtx, c.addr(turn))
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx, method)
}

// gone reports whether the caller gave up, which says nothing about a replica.
func gone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// blamesReplica reports whether another replica may do better. Whether the
// same call may go there is another question.
func blamesReplica(err error) bool {
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
