package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/infra/rpc"
)

// A silent gateway no longer counts as heard before its load is forgotten. Guards
// against other gateways that spend its part of the quotas while it still serves.
func TestSilentGatewayIsNotHeard(t *testing.T) {
	r := newRegistry()
	now := time.Unix(1000, 0)
	report := func(at time.Time, name string, incarnation uint64) {
		r.reportMember(at, rpc.MemberLoad{Member: rpc.Member{Name: name, Role: rpc.RoleGateway, Incarnation: incarnation}})
	}
	report(now, "g1", 1)
	report(now, "g2", 2)
	assert.Equal(t, 1, r.sumPeerLoads(now, "g1").GatewaysHeard)
	later := now.Add(heardTimeout + time.Millisecond)
	report(later, "g1", 1)
	sums := r.sumPeerLoads(later, "g1")
	assert.Equal(t, 0, sums.GatewaysHeard)
	assert.Equal(t, 1, sums.Gateways)
	assert.Equal(t, 1, r.sumPeerLoads(later, "g2").GatewaysHeard)
}
