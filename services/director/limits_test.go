package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

// limitLoad is a member's report of one reading of the limit of target t.
func limitLoad(member string, incarnation, sequence uint64, perSecond float64, ageMS int64) rpc.MemberLoad {
	return rpc.MemberLoad{
		Member: rpc.Member{Name: member, Role: rpc.RoleGateway, Incarnation: incarnation},
		Limits: []placement.LimitReport{{Target: "t", Incarnation: 1, PerSecond: perSecond, Sequence: sequence, AgeMS: ageMS}},
	}
}

func TestNewestLimitOfTargetIsPushed(t *testing.T) {
	r := newRegistry()
	now := time.Unix(1000, 0)
	r.reportTarget(now, roster.Report{ID: "t", Incarnation: 1, Sequence: 1, Service: "llm", Addr: "a", State: roster.Ready})
	pushed := func(since uint64) (*placement.LimitReport, uint64) {
		targets, revision := r.targetsSince(now, since)
		if len(targets) == 0 {
			return nil, revision
		}
		require.Len(t, targets, 1)
		return targets[0].Limit, revision
	}
	limit, revision := pushed(0)
	assert.Nil(t, limit)

	r.reportMember(now, limitLoad("g1", 1, 1, 4, 100))
	limit, revision = pushed(revision)
	require.NotNil(t, limit)
	assert.InDelta(t, 4, limit.PerSecond, 0)
	assert.Equal(t, int64(100), limit.AgeMS)

	now = now.Add(time.Second)
	r.reportMember(now, limitLoad("g1", 1, 1, 4, 50)) // the same reading again, its age understated
	r.reportMember(now, limitLoad("g2", 2, 1, 9, 2000))
	limit, revision = pushed(revision)
	assert.Nil(t, limit, "nothing newer")

	r.reportMember(now, limitLoad("g2", 2, 2, 0, 10))
	limit, revision = pushed(revision)
	require.NotNil(t, limit)
	assert.Zero(t, limit.PerSecond, "the limit has ended")

	r.reportMember(now, limitLoad("g2", 3, 1, 6, 0)) // after a restart
	limit, _ = pushed(revision)
	require.NotNil(t, limit)
	assert.InDelta(t, 6, limit.PerSecond, 0)

	r.prune(now.Add(targetTimeout + time.Second))
	assert.Empty(t, r.limits)
	assert.Empty(t, r.targetRevisions)
}
