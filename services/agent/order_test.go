package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/engine"
)

func TestOrdersAreFencedForTargetsThatDoNotCheck(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", CheckFencing: false})
	registered, found := b.control.View().Target(s.id)
	require.True(t, found)
	order := func(fencingToken uint64, value string) *outcome.Error {
		var response rpc.OrderResponse
		request := rpc.OrderRequest{Target: s.id, Kind: rpc.OrderLoad, Fence: fencingToken, Value: value}
		require.NoError(t, b.conn.Call(t.Context(), rpc.MethodOrder, &request, &response))
		return response.Error
	}
	base := registered.Revision
	assert.True(t, outcome.IsCode(order(base-1, "from an earlier incarnation"), outcome.FencedOrder))
	assert.Nil(t, order(base+5, "v2"))
	assert.Nil(t, order(base+5, "v2"), "the same order again")
	assert.True(t, outcome.IsCode(order(base+5, "other"), outcome.FencedOrder))
	assert.True(t, outcome.IsCode(order(base+4, "v1"), outcome.FencedOrder))
	assert.Nil(t, order(base+6, "v3"))
	b.control.stale.Store(true)
	assert.True(t, outcome.IsCode(order(base+7, "v4"), outcome.StateStale))
	var values []string
	for _, o := range s.Stats().Orders {
		values = append(values, o.Value)
	}
	assert.Equal(t, []string{"v2", "v2", "v3"}, values)
	assert.Equal(t, base+6, s.Stats().Orders[2].Fence)
}

func TestOrdersReachTargetsThatCheckFencing(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", CheckFencing: true})
	request := rpc.OrderRequest{Target: s.id, Kind: rpc.OrderRole, Fence: 100, Value: "prefill"}
	var response rpc.OrderResponse
	require.NoError(t, b.conn.Call(t.Context(), rpc.MethodOrder, &request, &response))
	require.Nil(t, response.Error)
	unknown := rpc.OrderRequest{Target: "h1/none", Kind: rpc.OrderRole, Fence: 101, Value: "x"}
	require.NoError(t, b.conn.Call(t.Context(), rpc.MethodOrder, &unknown, &response))
	assert.True(t, outcome.IsCode(response.Error, outcome.NoTarget))
}
