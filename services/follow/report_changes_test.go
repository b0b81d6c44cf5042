package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
)

func TestReportsHoldOnlyWhatHasChanged(t *testing.T) {
	var changes reportChanges
	now := time.Unix(1000, 0)
	reduce := func(after time.Duration, spent map[string]uint64) rpc.MemberLoad {
		load := rpc.MemberLoad{Spent: spent, Debts: map[string]float64{"a": 1}}
		changes.reduce(now.Add(after), false, &load)
		return load
	}
	first := reduce(0, map[string]uint64{"a": 1, "b": 2})
	require.False(t, first.ChangesOnly, "the first report holds everything")
	require.Equal(t, map[string]uint64{"a": 1, "b": 2}, first.Spent)
	second := reduce(debtsInterval/2, map[string]uint64{"a": 1, "b": 3, "c": 0})
	require.True(t, second.ChangesOnly)
	require.Equal(t, map[string]uint64{"b": 3, "c": 0}, second.Spent)
	require.Nil(t, second.Debts)
	third := reduce(debtsInterval, map[string]uint64{"a": 0, "b": 3, "c": 0})
	require.Equal(t, map[string]uint64{"a": 0}, third.Spent, "a returned token")
	require.NotNil(t, third.Debts)
}
