package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
)

func newFollower(withoutPeerLoads bool) *Follower {
	return New(Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func(body []byte) (*routing.Document, error) {
			return &routing.Document{Version: uint64(body[0]), Services: []routing.Service{{Name: "llm"}}}, nil
		},
		Log:              telemetry.Discard(),
		WithoutPeerLoads: withoutPeerLoads,
	})
}

func packCatalog(revision uint64, version byte) *rpc.PackedCatalog {
	return rpc.PackCatalog(&catalog.State{Revision: revision, Version: uint64(version), Body: []byte{version}}, nil)
}

func TestCatalogNeverRollsBack(t *testing.T) {
	f := newFollower(false)
	now := time.Now()
	f.ApplyPush(now, "c1", &rpc.FollowPush{Catalog: packCatalog(5, 3)})
	require.Equal(t, uint64(3), f.Table().Version())
	f.ApplyPush(now, "c2", &rpc.FollowPush{Catalog: packCatalog(4, 2)})
	assert.Equal(t, uint64(3), f.Table().Version(), "a lagging host must not roll back the catalog")
	broken := packCatalog(6, 4)
	broken.Body = []byte{0xff}
	f.ApplyPush(now, "c1", &rpc.FollowPush{Catalog: broken})
	assert.Equal(t, uint64(3), f.Table().Version(), "an unreadable catalog must be ignored")
	f.ApplyPush(now, "c2", &rpc.FollowPush{Catalog: packCatalog(7, 4)})
	assert.Equal(t, uint64(4), f.Table().Version())
	assert.Equal(t, uint64(7), f.Catalog().Revision)
}

// A relay does not report targets, so its pushes must not expire targets that
// no control host has reported on.
func TestRelayPushDoesNotExpireTargets(t *testing.T) {
	f := newFollower(false)
	now := time.Now()
	report := roster.Report{ID: "t1", Incarnation: 5, Sequence: 1, Service: "llm", Addr: "10.0.0.1:1", DataCentre: "a", Slots: 2, State: roster.Ready}
	f.ApplyPush(now, "c1", &rpc.FollowPush{Targets: []rpc.TargetReport{{Report: report}}})
	late := now.Add(2 * targetTimeout)
	f.ApplyPush(late, "relay", &rpc.FollowPush{Relay: true, ControlHosts: []string{"10.0.0.9:1"}})
	f.check(late)
	assert.True(t, f.Targets.Usable("t1", 5), "no control host has pushed since the report")
	assert.True(t, f.Follows("10.0.0.9:1"))
	f.ApplyPush(late, "c1", &rpc.FollowPush{})
	f.check(late)
	assert.False(t, f.Targets.Usable("t1", 5))
}

// Exactly one control host is asked for the aggregate of the other processes;
// another takes over as soon as it is silent.
func TestPrimaryControlHostFailover(t *testing.T) {
	f := newFollower(false)
	now := time.Now()
	for _, addr := range []string{"c1", "c2", "c3"} {
		f.ApplyPush(now, addr, &rpc.FollowPush{})
	}
	f.check(now)
	first := f.primary
	require.NotEmpty(t, first)
	assert.True(t, f.wantsPeerLoads(first))
	later := now.Add(primaryTimeout + time.Millisecond)
	for _, addr := range []string{"c1", "c2", "c3"} {
		if addr != first {
			f.ApplyPush(later, addr, &rpc.FollowPush{})
		}
	}
	f.check(later)
	assert.NotEqual(t, first, f.primary)
	assert.NotEmpty(t, f.primary)

	relay := newFollower(true)
	relay.ApplyPush(now, "c1", &rpc.FollowPush{})
	relay.check(now)
	assert.False(t, relay.wantsPeerLoads("c1"))
	assert.False(t, relay.disconnected, "it needs no aggregate")
}

// Verdicts of several control hosts are merged by revision; a host that lags does
// not bring back a cleared one, and a full update drops those that it lacks.
func TestVerdictsAreMergedByRevision(t *testing.T) {
	f := newFollower(false)
	now := time.Now()
	ref := quarantine.Ref{Workspace: "w", Digest: quarantine.Digest{1}}
	push := func(revision uint64, full bool, verdicts ...quarantine.Verdict) {
		f.ApplyPush(now, "c", &rpc.FollowPush{Verdicts: &quarantine.Update{Revision: revision, Full: full, Verdicts: verdicts}})
	}
	verdict := func(level quarantine.Suspicion, revision uint64) quarantine.Verdict {
		return quarantine.Verdict{Workspace: ref.Workspace, Digest: ref.Digest, Level: level, Crashes: 3, Revision: revision}
	}
	level := func() quarantine.Suspicion {
		known, _ := f.Verdict(ref)
		return known.Level
	}
	assert.False(t, f.HasVerdicts())
	push(5, true, verdict(quarantine.Quarantined, 5))
	assert.Equal(t, quarantine.Quarantined, level())
	push(4, false, verdict(quarantine.Suspect, 4))
	assert.Equal(t, quarantine.Quarantined, level())
	push(6, false, verdict(quarantine.Cleared, 6))
	assert.Equal(t, quarantine.Cleared, level())
	push(5, true, verdict(quarantine.Quarantined, 5))
	assert.Equal(t, quarantine.Cleared, level())
	push(8, false, verdict(quarantine.Suspect, 8))
	assert.Equal(t, quarantine.Suspect, level())
	push(9, true)
	assert.False(t, f.HasVerdicts())
}
