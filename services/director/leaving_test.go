package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

// What one process has read in a target's response is pushed to all at once, and stays
// true whatever the target reports.
func TestLeavingTargetIsPushed(t *testing.T) {
	r := newRegistry()
	now := time.Unix(1000, 0)
	report := roster.Report{ID: "t", Incarnation: 1, Sequence: 1, Service: "llm", Addr: "a", State: roster.Ready}
	r.reportTarget(now, report)
	_, revision := r.targetsSince(now, 0)
	urgent := r.urgentChange()
	r.reportMember(now, rpc.MemberLoad{Member: rpc.Member{Name: "g1", Role: rpc.RoleGateway, Incarnation: 1},
		Leaving: []roster.Leaving{{Target: "t", Incarnation: 1}}})
	select {
	case <-urgent:
	default:
		assert.Fail(t, "not urgent")
	}
	targets, revision := r.targetsSince(now, revision)
	require.Len(t, targets, 1)
	assert.True(t, targets[0].Leaving)
	assert.Equal(t, roster.Draining, targets[0].Report.State)
	report.Sequence = 2
	r.reportTarget(now.Add(renewalInterval), report)
	targets, _ = r.targetsSince(now, revision)
	require.Len(t, targets, 1)
	assert.True(t, targets[0].Leaving)
}
