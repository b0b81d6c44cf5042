package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// Guards against a load header that is read from a response but does not reach the
// choice of targets.
func TestGatewayReadsLoadOfTargets(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 6, Pause: 5 * time.Millisecond, Load: "1,0,8,250"})
	_, _, err := f.send("/stream/1", "a")
	require.NoError(t, err)
	assert.InDelta(t, 250, f.follower.Targets.ExpectedPace(time.Now(), "t0"), 5)
}

// Guards against messages to the broker that tell it what it expects anyway, and
// against a pace that it learns only when a slow period is over.
func TestUnexpectedPaceIsReportedAtOnce(t *testing.T) {
	s := &slots{releases: make(chan release, 8)}
	used := &slot{brokered: true, expectedPace: 100, target: &roster.Record{Report: roster.Report{ID: "t0", Incarnation: 3}}}
	s.reportLoad(used, placement.TargetLoad{Slots: 8, PacePercent: 110})
	s.reportLoad(used, placement.TargetLoad{Slots: 8})
	s.reportLoad(&slot{target: used.target}, placement.TargetLoad{Slots: 8, PacePercent: 250})
	assert.Empty(t, s.releases)
	s.reportLoad(used, placement.TargetLoad{Slots: 8, PacePercent: 250})
	s.releases <- release{id: rpc.SlotID{Number: 4}, run: &placement.RunReport{Target: "t0", Incarnation: 3, EventUS: 20_000}}
	messages := s.collectReleases(<-s.releases)
	require.Len(t, messages, 1)
	assert.Equal(t, &rpc.SlotRelease{IDs: []rpc.SlotID{{Number: 4}}, Runs: []placement.RunReport{{Target: "t0", Incarnation: 3, EventUS: 20_000}},
		Loads: []placement.LoadReport{{Target: "t0", Incarnation: 3, Load: placement.TargetLoad{Slots: 8, PacePercent: 250}}}}, messages[0])
}
