package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
)

// With bounds of quotas, a process asks two control hosts what the others spend, from its
// first push on, and counts their spending once. Guards against spending that is missed
// while a control host is replaced.
func TestTwoControlHostsReportSpending(t *testing.T) {
	cfg := newFollower(false).cfg
	cfg.Quota = &quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	f := New(cfg)
	now := time.Now()
	f.ApplyPush(now, "c1", &rpc.FollowPush{Catalog: packCatalog(1, 1)})
	assert.True(t, f.wantsPeerLoads("c1"))
	f.ApplyPush(now, "c2", &rpc.FollowPush{})
	f.check(now)
	require.True(t, f.wantsPeerLoads("c2"))
	f.Buckets.SetRates(f.QuotaNow(), map[string]quota.Rate{"w": {PerSecond: 0.001, Burst: 100}})
	report := func(addr string, host, spent uint64) {
		f.ApplyPush(now, addr, &rpc.FollowPush{PeerLoads: &rpc.PeerLoads{HostIncarnation: host, Spent: map[string]uint64{"w": spent}, Gateways: 2, GatewaysHeard: 2}})
	}
	report("c1", 1, 500)
	report("c2", 2, 40)
	report("c1", 1, 530)
	report("c2", 2, 75)
	assert.InDelta(t, 35, f.Buckets.Debts(f.QuotaNow())["w"], 0.1)
}
