package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
)

// eventTimeout bounds the wait for events that are certain to occur.
const eventTimeout = 30 * time.Second

func newFollower(name string, seeds ...string) *follow.Follower {
	return follow.New(follow.Config{
		Member:           rpc.Member{Name: name, Role: rpc.RoleControl},
		Seeds:            seeds,
		Decode:           func([]byte) (*routing.Document, error) { return &routing.Document{}, nil },
		Log:              telemetry.Discard(),
		WithoutPeerLoads: true,
	})
}

// start runs a relay. The test feeds its follower by ApplyPush.
func start(t *testing.T) (r *Server, follower *follow.Follower, addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	follower = newFollower("relay")
	r = New(follower, telemetry.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, r.Run(ctx, l)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return r, follower, l.Addr().String()
}

func TestControlRoundRobinsOverLiveControlHosts(t *testing.T) {
	r, follower, _ := start(t)
	_, found := r.ControlHost()
	assert.False(t, found)
	now := time.Now()
	follower.ApplyPush(now.Add(-time.Hour), "10.0.0.9:1", &rpc.FollowPush{})
	follower.ApplyPush(now, "10.0.0.1:1", &rpc.FollowPush{})
	follower.ApplyPush(now, "10.0.0.2:1", &rpc.FollowPush{})
	seen := make(map[string]int)
	for range 6 {
		addr, found := r.ControlHost()
		require.True(t, found)
		seen[addr]++
	}
	assert.Equal(t, map[string]int{"10.0.0.1:1": 3, "10.0.0.2:1": 3}, seen)
}

// A process that is configured with the address of a relay only must discover
// the control hosts and must not treat the relay as one.
func TestFollowerDiscoversControlHostsThroughRelay(t *testing.T) {
	_, follower, addr := start(t)
	follower.ApplyPush(time.Now(), "127.0.0.1:9", &rpc.FollowPush{ControlHosts: []string{"127.0.0.1:9"}})
	f := newFollower("g", addr)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, f.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, func() bool { return f.Follows("127.0.0.1:9") }, eventTimeout, time.Millisecond)
	assert.Empty(t, f.ControlHosts(), "the relay is not a control host, and the control host does not answer")
}

func TestFindControlHostsThroughRelay(t *testing.T) {
	_, follower, addr := start(t)
	follower.ApplyPush(time.Now(), "10.0.0.1:1", &rpc.FollowPush{})
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	assert.Equal(t, []string{"10.0.0.1:1"}, follow.FindControlHosts(ctx, rpc.Member{Name: "c"}, []string{addr}, nil))
	ended, end := context.WithCancel(t.Context())
	end()
	assert.Empty(t, follow.FindControlHosts(ended, rpc.Member{Name: "c"}, []string{addr}, nil))
}
