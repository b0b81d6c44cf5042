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

const patience = 30 * time.Second // liveness only

func newFollower(name string, seeds ...string) *follow.Follower {
	return follow.New(follow.Config{
		Member:        rpc.Member{Name: name, Role: rpc.RoleControl},
		Seeds:         seeds,
		Decode:        func([]byte) (*routing.Document, error) { return &routing.Document{}, nil },
		Log:           telemetry.Discard(),
		WithoutOthers: true,
	})
}

// start runs a relay with a view that the test pushes into.
func start(t *testing.T) (r *Server, view *follow.Follower, addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	view = newFollower("relay")
	r = New(view, telemetry.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, r.Run(ctx, l)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return r, view, l.Addr().String()
}

func TestCallersAreSpreadOverTheControlHostsThatAreHeard(t *testing.T) {
	r, view, _ := start(t)
	_, found := r.Control()
	assert.False(t, found)
	now := time.Now()
	view.ApplyPush(now.Add(-time.Hour), "10.0.0.9:1", &rpc.FollowPush{})
	view.ApplyPush(now, "10.0.0.1:1", &rpc.FollowPush{})
	view.ApplyPush(now, "10.0.0.2:1", &rpc.FollowPush{})
	seen := make(map[string]int)
	for range 6 {
		addr, found := r.Control()
		require.True(t, found)
		seen[addr]++
	}
	assert.Equal(t, map[string]int{"10.0.0.1:1": 3, "10.0.0.2:1": 3}, seen)
}

// A process that was given no address but that of a relay finds the control
// hosts, and does not take the relay for one.
func TestAFollowerOfARelayFindsTheControlHosts(t *testing.T) {
	_, view, addr := start(t)
	view.ApplyPush(time.Now(), "127.0.0.1:9", &rpc.FollowPush{Controls: []string{"127.0.0.1:9"}})
	f := newFollower("g", addr)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, f.Run(ctx)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, func() bool { return f.Follows("127.0.0.1:9") }, patience, time.Millisecond)
	assert.Empty(t, f.Controls(), "the relay is none and the control host does not answer")
}

func TestJoiningHostsAskARelay(t *testing.T) {
	_, view, addr := start(t)
	view.ApplyPush(time.Now(), "10.0.0.1:1", &rpc.FollowPush{})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.Equal(t, []string{"10.0.0.1:1"}, follow.FindControls(ctx, rpc.Member{Name: "c"}, []string{addr}, nil))
	ended, end := context.WithCancel(t.Context())
	end()
	assert.Empty(t, follow.FindControls(ended, rpc.Member{Name: "c"}, []string{addr}, nil))
}
