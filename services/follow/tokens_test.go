package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
)

func storageMember(id, term uint64, leads bool, voters ...uint64) rpc.Member {
	return rpc.Member{Role: rpc.RoleStorage, Storage: &rpc.StorageState{ID: id, Term: term, Leads: leads, Voters: voters}}
}

// Guards against two brokers of one workspace, and against brokers that change whenever a
// leader is lost: the voters but the last leader are the brokers.
func TestVotersButLeaderGrantTokens(t *testing.T) {
	for name, test := range map[string]struct {
		pushes [][]rpc.Member
		want   []uint64
	}{
		"three voters": {[][]rpc.Member{{storageMember(1, 2, true, 1, 2, 3), storageMember(2, 2, false, 1, 2, 3), storageMember(3, 2, false, 1, 2, 3)}}, []uint64{2, 3}},
		"a spare":      {[][]rpc.Member{{storageMember(1, 2, true, 1, 2), storageMember(2, 2, false, 1, 2), storageMember(3, 2, false)}}, []uint64{2}},
		"one host":     {[][]rpc.Member{{storageMember(1, 2, true, 1)}}, []uint64{1}},
		"old view":     {[][]rpc.Member{{storageMember(1, 2, true, 1, 2), storageMember(2, 1, false, 1, 2, 3), storageMember(3, 1, true, 1, 2, 3)}}, []uint64{2}},
		"leader lost":  {[][]rpc.Member{{storageMember(1, 2, true, 1, 2, 3), storageMember(2, 2, false, 1, 2, 3), storageMember(3, 2, false, 1, 2, 3)}, {storageMember(1, 3, false, 1, 2, 3), storageMember(2, 3, false, 1, 2, 3), storageMember(3, 3, false, 1, 2, 3)}}, []uint64{2, 3}},
		"nobody leads": {[][]rpc.Member{{storageMember(1, 2, false, 1, 2), storageMember(2, 2, false, 1, 2)}}, []uint64{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := newFollower(false).cfg
			cfg.Quota = &quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
			f := New(cfg)
			for _, hosts := range test.pushes {
				f.ApplyPush(time.Now(), "c1", &rpc.FollowPush{StorageHosts: hosts})
			}
			found := make(map[uint64]bool)
			for n := range 200 {
				found[f.TokenBrokers(string(rune('a' + n)))[0]] = true
			}
			require.Len(t, found, len(test.want))
			for _, id := range test.want {
				assert.True(t, found[id], id)
			}
		})
	}
}

// A broker grants nothing before it hears what gateways spend, and counts only gateways as
// such.
func TestBrokerGrantsOnceItHearsOfGateways(t *testing.T) {
	cfg := newFollower(false).cfg
	cfg.Member.Role = rpc.RoleStorage
	cfg.Quota = &quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	cfg.Storage = func() *rpc.StorageState { return &rpc.StorageState{ID: 2} }
	f := New(cfg)
	now := f.QuotaNow()
	hosts := []rpc.Member{storageMember(1, 2, true, 1, 2), storageMember(2, 2, false, 1, 2)}
	f.ApplyPush(time.Now(), "c1", &rpc.FollowPush{Catalog: packCatalog(1, 1), StorageHosts: hosts})
	assert.True(t, f.spendsTokens())
	assert.Zero(t, f.TokensPart(now.Add(2*time.Second), "w"), "nothing is heard of the gateways")
	f.ApplyPush(time.Now(), "c1", &rpc.FollowPush{PeerLoads: &rpc.PeerLoads{HostIncarnation: 1, Gateways: 2, GatewaysHeard: 2}})
	assert.Zero(t, f.TokensPart(f.QuotaNow(), "w"), "the former broker may still grant")
	assert.Equal(t, 2, f.liveGateways(&rpc.PeerLoads{GatewaysHeard: 2}))
}
