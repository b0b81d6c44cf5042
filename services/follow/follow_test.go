package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

func newView(withoutSums bool) *Follower {
	return New(Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func(body []byte) (*routing.Document, error) {
			return &routing.Document{Version: uint64(body[0]), Services: []routing.Service{{Name: "llm"}}}, nil
		},
		Log:         telemetry.Discard(),
		WithoutSums: withoutSums,
	})
}

func packed(revision uint64, version byte) *rpc.PackedCatalog {
	return rpc.PackCatalog(&catalog.State{Revision: revision, Version: uint64(version), Body: []byte{version}}, nil)
}

func TestTheViewNeverGoesBack(t *testing.T) {
	f := newView(false)
	now := time.Now()
	f.Take(now, "c1", &rpc.FollowPush{Catalog: packed(5, 3)})
	require.Equal(t, uint64(3), f.Table().Version())
	f.Take(now, "c2", &rpc.FollowPush{Catalog: packed(4, 2)})
	assert.Equal(t, uint64(3), f.Table().Version(), "a host that lags")
	broken := packed(6, 4)
	broken.Body = []byte{0xff}
	f.Take(now, "c1", &rpc.FollowPush{Catalog: broken})
	assert.Equal(t, uint64(3), f.Table().Version(), "an unreadable one")
	f.Take(now, "c2", &rpc.FollowPush{Catalog: packed(7, 4)})
	assert.Equal(t, uint64(4), f.Table().Version())
	assert.Equal(t, uint64(7), f.Catalog().Revision)
}

// Only a control host's push is a sign that targets that are silent are gone.
func TestARelayIsNoSignOfLife(t *testing.T) {
	f := newView(false)
	now := time.Now()
	report := roster.Report{ID: "t1", Born: 5, Sequence: 1, Service: "llm", Addr: "10.0.0.1:1", DataCentre: "a", Slots: 2, State: roster.Ready}
	f.Take(now, "c1", &rpc.FollowPush{Targets: []rpc.TargetReport{{Report: report}}})
	late := now.Add(2 * targetSilence)
	f.Take(late, "relay", &rpc.FollowPush{Relay: true, Controls: []string{"10.0.0.9:1"}})
	f.check(late)
	assert.True(t, f.Targets.Usable("t1", 5), "nobody who would know was heard")
	assert.True(t, f.Follows("10.0.0.9:1"))
	f.Take(late, "c1", &rpc.FollowPush{})
	f.check(late)
	assert.False(t, f.Targets.Usable("t1", 5))
}

// One control host at a time is asked for the sums, another one as soon as it
// is silent.
func TestTheHostThatIsAskedForSums(t *testing.T) {
	f := newView(false)
	now := time.Now()
	for _, addr := range []string{"c1", "c2", "c3"} {
		f.Take(now, addr, &rpc.FollowPush{})
	}
	f.check(now)
	first := f.primary
	require.NotEmpty(t, first)
	assert.True(t, f.asksOthers(first))
	later := now.Add(primarySilence + time.Millisecond)
	for _, addr := range []string{"c1", "c2", "c3"} {
		if addr != first {
			f.Take(later, addr, &rpc.FollowPush{})
		}
	}
	f.check(later)
	assert.NotEqual(t, first, f.primary)
	assert.NotEmpty(t, f.primary)

	relay := newView(true)
	relay.Take(now, "c1", &rpc.FollowPush{})
	relay.check(now)
	assert.False(t, relay.asksOthers("c1"))
	assert.False(t, relay.deaf, "it needs no sums")
}
