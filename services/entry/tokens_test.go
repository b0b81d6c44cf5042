package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quota"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
	"banyanwalk/services/replicated"
	"banyanwalk/services/standin"
)

// tokenBroker stands in for the storage host that grants tokens.
type tokenBroker struct {
	asked  atomic.Int64
	answer func() error
}

// newTokenFixture runs a gateway within bounds among 89 gateways, and a broker that answers
// as told. Its own part of workspace slow is less than one token.
func newTokenFixture(t *testing.T, answer func() error) (*fixture, *tokenBroker) {
	broker := &tokenBroker{answer: answer}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := wire.NewServer(telemetry.Discard(), nil)
	wire.HandleUnary(server, rpc.MethodTokenAcquire, func(context.Context, *rpc.TokenRequest) (*rpc.Ack, error) {
		broker.asked.Add(1)
		return &rpc.Ack{}, broker.answer()
	})
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, l) }) // ends with the test
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	id, err := replicated.ID(l.Addr().String())
	require.NoError(t, err)
	var follower *follow.Follower
	f := newFixtureWithConfig(t, func(c *Config) {
		follower = follow.New(follow.Config{
			Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
			Decode: func([]byte) (*routing.Document, error) { return document(), nil },
			Log:    telemetry.Discard(),
			Quota:  &quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		})
		c.Follower = follower
	}, standin.Behaviour{})
	f.follower = follower
	storage := &rpc.StorageState{ID: id, Term: 1, Leads: true, Voters: []uint64{id}}
	follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{
		Catalog:      rpc.PackCatalog(&catalog.State{Revision: 1, Version: 1}, nil),
		Targets:      []rpc.TargetReport{f.targets[0].Report("llm", "a", 8)},
		StorageHosts: []rpc.Member{{Name: "s", Role: rpc.RoleStorage, Storage: storage}},
		PeerLoads:    &rpc.PeerLoads{HostIncarnation: 1, Gateways: 88, GatewaysHeard: 88},
	})
	return f, broker
}

// Incident SHORT: a gateway whose part of a workspace's tokens is less than one refuses
// callers within the limit.
func TestGatewayWithoutPartAsksBroker(t *testing.T) {
	f, broker := newTokenFixture(t, func() error { return nil })
	for range 5 {
		response, _, err := f.send("/safe/1", "a", "X-Key", "k2")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	assert.EqualValues(t, 5, broker.asked.Load())
}

// Guards against asking a broker again for each request of a workspace that is over its
// limit, and against losing its time to return.
func TestBrokerThatRefusesIsNotAskedAtOnce(t *testing.T) {
	f, broker := newTokenFixture(t, func() error {
		return outcome.New(outcome.RateLimited, outcome.NotRun, "over its rate").WithRetryAfter(1250 * time.Millisecond)
	})
	for n := range 5 {
		response, _, err := f.send("/safe/1", "a", "X-Key", "k2")
		require.NoError(t, err)
		assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
		if n == 0 {
			assert.Equal(t, "1.25", response.Header.Get("Retry-After"))
		}
	}
	assert.Less(t, broker.asked.Load(), int64(5))
	assert.Empty(t, f.allRuns())
}

// Guards against holding requests up at a broker that answers late or cannot answer.
func TestBrokerThatDoesNotAnswerIsAvoided(t *testing.T) {
	for name, answer := range map[string]func() error{
		"late":  func() error { time.Sleep(10 * tokenTimeout); return nil },
		"fails": func() error { return outcome.New(outcome.Internal, outcome.NotRun, "broken") },
	} {
		t.Run(name, func(t *testing.T) {
			f, broker := newTokenFixture(t, answer)
			for range 5 {
				response, _, err := f.send("/safe/1", "a", "X-Key", "k2")
				require.NoError(t, err)
				assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
			}
			assert.Less(t, broker.asked.Load(), int64(5))
		})
	}
}
