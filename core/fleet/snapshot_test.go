package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/fleet"
	"banyanwalk/core/quarantine"
)

// Snapshots of earlier builds hold the verdicts in the top level of the state.
func TestSnapshotKeepsEncodingOfVerdicts(t *testing.T) {
	m := fleet.NewMachine()
	m.Apply(1, fleet.Command{Crash: &fleet.ReportCrash{Target: "h/x", Incarnation: 7, Requests: []quarantine.Ref{request(1)}}})
	encoded, err := msgpack.Marshal(m.State())
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, msgpack.Unmarshal(encoded, &fields))
	for _, name := range []string{"v", "c", "cl", "cf"} {
		assert.Contains(t, fields, name)
	}
	var state fleet.State
	require.NoError(t, msgpack.Unmarshal(encoded, &state))
	assert.Equal(t, m.Verdicts(), fleet.FromState(state).Verdicts())
}
