package controlclient

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

func TestLeaseStartsAtPingSendTime(t *testing.T) {
	var sent sync.Map
	r := startReplica(t, func(ping *rpc.SubscribePing) rpc.SubscribePong {
		sent.Store(ping.SentAt, true)
		return confirmRevision(3)(ping)
	})
	c := newClient(t, r.addr)
	assert.False(t, c.Fresh(time.Now()))
	startClient(t, c)
	eventually(t, "confirmation", func() bool { return c.confirmedAt.Load() >= 0 })
	confirmed := c.confirmedAt.Load()
	_, ok := sent.Load(confirmed)
	assert.True(t, ok, "the lease starts at a ping's send time, not at its answer")

	c = newClient(t, r.addr)
	require.NoError(t, c.accept(&rpc.SubscribePong{SentAt: confirmed, Confirmed: true}))
	end := c.start.Add(time.Duration(confirmed) + DefaultMaxStaleness)
	assert.True(t, c.Fresh(end))
	assert.False(t, c.Fresh(end.Add(1)), "the lease also expires while the process is suspended")
}

func TestAccept(t *testing.T) {
	const before, at = 10, 20
	held := fleet.Update{Revision: 7, Full: true}
	cases := []struct {
		name     string
		pong     rpc.SubscribePong
		fails    bool
		revision uint64
		lease    int64
	}{
		{"confirmed", rpc.SubscribePong{SentAt: at, Confirmed: true, Revision: 7}, false, 7, at},
		{"confirmed with an update", rpc.SubscribePong{SentAt: at, Confirmed: true, Revision: 9, Update: fleet.Update{Revision: 9}}, false, 9, at},
		{"unconfirmed", rpc.SubscribePong{SentAt: at, Revision: 7}, false, 7, before},
		{"unconfirmed update", rpc.SubscribePong{SentAt: at, Revision: 8, Update: fleet.Update{Revision: 8}}, false, 8, before},
		{"revision not installed", rpc.SubscribePong{SentAt: at, Confirmed: true, Revision: 8}, true, 7, before},
		{"older answer", rpc.SubscribePong{SentAt: before - 1, Confirmed: true, Revision: 7}, false, 7, before},
		{"replica is behind", rpc.SubscribePong{SentAt: at, Confirmed: true, Revision: 5}, true, 7, before},
		{"emptied replica", rpc.SubscribePong{SentAt: at, Confirmed: true, Revision: 5, Update: fleet.Update{Revision: 5, Full: true}}, true, 7, before},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newClient(t, "unused")
			require.NoError(t, c.accept(&rpc.SubscribePong{SentAt: before, Confirmed: true, Revision: 7, Update: held}))
			assert.Equal(t, tc.fails, c.accept(&tc.pong) != nil)
			assert.Equal(t, tc.revision, c.View().Revision)
			assert.Equal(t, tc.lease, c.confirmedAt.Load())
		})
	}
}

func TestUnconfirmedPongsDoNotExtendTheLease(t *testing.T) {
	r := startReplica(t, func(ping *rpc.SubscribePing) rpc.SubscribePong {
		pong := confirmRevision(4)(ping)
		pong.Confirmed = false
		return pong
	})
	c := newClient(t, r.addr)
	startClient(t, c)
	eventually(t, "two subscriptions", func() bool { return c.View().Revision == 4 && r.pings.Load() > 4 })
	assert.False(t, c.Fresh(time.Now()))
}

// TestFailover checks that a subscriber moves to a working replica. It logs the
// greatest age of a confirmation but does not compare it with the lease, because
// that would depend on the machine's speed.
func TestFailover(t *testing.T) {
	faults := map[string]func(r *replica){
		"hangs":           func(r *replica) { r.silent.Store(true) },
		"dies":            func(r *replica) { r.stop() },
		"loses its state": func(r *replica) { script := confirmRevision(1); r.pong.Store(&script) },
		"loses the quorum": func(r *replica) {
			script := func(ping *rpc.SubscribePing) rpc.SubscribePong {
				return rpc.SubscribePong{SentAt: ping.SentAt, Revision: 5}
			}
			r.pong.Store(&script)
		},
	}
	for name, fault := range faults {
		for _, second := range []string{"next is well", "next is hung"} {
			t.Run(name+", "+second, func(t *testing.T) {
				t.Parallel()
				first, last := startReplica(t, confirmRevision(5)), startReplica(t, confirmRevision(5))
				addrs := []string{first.addr, last.addr}
				if second == "next is hung" {
					addrs = []string{first.addr, startHungListener(t), last.addr}
				}
				c := newClient(t, addrs...)
				startClient(t, c)
				eventually(t, "the first replica confirms", func() bool { return c.Fresh(time.Now()) })
				fault(first)
				oldest := time.Duration(0)
				eventually(t, "another replica confirms", func() bool {
					oldest = max(oldest, time.Since(c.start)-time.Duration(c.confirmedAt.Load()))
					return last.pings.Load() > 1 && c.confirmedAt.Load() >= last.lastPing.Load()
				})
				assert.Equal(t, uint64(5), c.View().Revision)
				t.Logf("oldest confirmation in use: %s", oldest)
			})
		}
	}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name             string
		err              *outcome.Error
		call, idempotent bool // whether Call and CallIdempotent retry on the second replica
	}{
		{"not run", outcome.New(outcome.NoQuorum, outcome.NotRun, "no quorum"), true, true},
		{"unknown", outcome.New(outcome.NoQuorum, outcome.MayHaveRun, "lost the lead"), false, true},
		{"refused", outcome.New(outcome.BadRequest, outcome.NotRun, "bad"), false, false},
		{"fault", outcome.New(outcome.Internal, outcome.MayHaveRun, "fault"), false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, again := range []bool{false, true} {
				bad, good := startReplica(t, confirmRevision(1)), startReplica(t, confirmRevision(1))
				var response error = tc.err
				bad.callError.Store(&response)
				c := newClient(t, bad.addr, good.addr)
				startClient(t, c)
				c.turn.Store(0)
				method, retried := c.Call, tc.call
				if again {
					method, retried = c.CallIdempotent, tc.idempotent
				}
				err := method(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{})
				assert.Equal(t, retried, err == nil, "%v", err)
				assert.Equal(t, int64(1), bad.calls.Load())
				if !retried {
					assert.Equal(t, tc.err.Code, outcome.From(err).Code)
					assert.Zero(t, good.calls.Load())
					continue
				}
				for range 5 {
					require.NoError(t, method(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}))
				}
				assert.Equal(t, int64(1), bad.calls.Load(), "a failing replica costs one attempt in all, not one per call")
			}
		})
	}
}

func TestPollMakesOneAttempt(t *testing.T) {
	bad, good := startReplica(t, confirmRevision(1)), startReplica(t, confirmRevision(1))
	var response error = outcome.New(outcome.NoQuorum, outcome.NotRun, "no quorum")
	bad.callError.Store(&response)
	c := newClient(t, bad.addr, good.addr)
	defer c.callPool.Close()
	assert.Error(t, c.Poll(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}))
	assert.Equal(t, int64(1), bad.calls.Load())
	assert.Zero(t, good.calls.Load())
	assert.NoError(t, c.Poll(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}), "the next poll uses another replica")
}

func TestSilentReplicaIsSkipped(t *testing.T) {
	bad, good := startReplica(t, confirmRevision(1)), startReplica(t, confirmRevision(1))
	bad.silent.Store(true)
	c := newClient(t, bad.addr, good.addr)
	defer c.callPool.Close()
	err := c.Call(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{})
	require.True(t, outcome.IsCode(err, outcome.DeadlineExceeded), "%v", err)
	assert.Equal(t, outcome.MayHaveRun, outcome.From(err).Outcome)
	assert.NoError(t, c.Call(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}), "the silent replica was skipped")
	c.turn.Store(0)
	assert.NoError(t, c.CallIdempotent(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}))
}

// A hung replica must not delay calls beyond their own deadline. Tests of package
// wire check that calls do not wait for the dial.
func TestCallsTimeOutWhileDialHangs(t *testing.T) {
	addr := startHungListener(t)
	c := newClient(t, addr)
	defer c.callPool.Close()
	var wg conc.WaitGroup
	for range 10 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			err := c.Call(ctx, methodCall, &rpc.Ack{}, &rpc.Ack{})
			assert.True(t, outcome.IsCode(err, outcome.DeadlineExceeded), "%v", err)
			assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
		})
	}
	wg.Wait()
}

func TestCancelledCallsKeepTheReplica(t *testing.T) {
	r := startReplica(t, confirmRevision(1))
	r.silent.Store(true)
	c := newClient(t, r.addr, startHungListener(t))
	defer c.callPool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		err := c.CallIdempotent(ctx, methodCall, &rpc.Ack{}, &rpc.Ack{})
		assert.True(t, outcome.IsCode(err, outcome.Cancelled), "%v", err)
	})
	eventually(t, "the call arrives", func() bool { return r.calls.Load() == 1 })
	cancel()
	wg.Wait()
	assert.Zero(t, c.turn.Load())
}

func TestCallsAfterRunFail(t *testing.T) {
	c := newClient(t, startReplica(t, confirmRevision(1)).addr)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, c.Run(ctx))
	assert.Equal(t, wire.ErrPoolClosed, c.CallIdempotent(t.Context(), methodCall, &rpc.Ack{}, &rpc.Ack{}))
	_, err := c.Open(t.Context(), methodCall)
	assert.Equal(t, wire.ErrPoolClosed, err)
}

func TestReconnectDelayGrowsAfterWholeRounds(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: 50 * time.Millisecond, 3: 50 * time.Millisecond, 4: 100 * time.Millisecond,
		7: 200 * time.Millisecond, 13: 500 * time.Millisecond, 1000: 500 * time.Millisecond,
	} {
		assert.Equal(t, want, reconnectDelay(failures, 3), failures)
	}
}
