package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/rollout"
)

func put(version uint64, body string) Command {
	return Command{Put: &PutDocument{Version: version, Body: []byte(body)}}
}

func TestHighestVersionIsInForce(t *testing.T) {
	m := New()
	require.True(t, m.Apply(1, put(5, "five")).Changed)
	before := m.State()
	assert.Equal(t, Result{}, m.Apply(2, put(3, "three")), "an older version changes nothing")
	assert.Equal(t, Result{}, m.Apply(3, put(5, "five")), "a resend changes nothing")
	conflict := m.Apply(4, put(5, "other"))
	require.NotNil(t, conflict.Error)
	assert.Equal(t, outcome.BundleConflict, conflict.Error.Code)
	require.True(t, m.Apply(5, put(9, "nine")).Changed)
	assert.Equal(t, uint64(9), m.State().Version)
	assert.Equal(t, "nine", string(m.State().Body))
	assert.Equal(t, uint64(5), m.State().Revision)
	assert.Equal(t, "five", string(before.Body), "a state returned earlier is not modified")
}

func TestDataCentresTakenOutAndReturned(t *testing.T) {
	m := New()
	set := func(name string, out bool) bool {
		return m.Apply(1, Command{DataCentre: &SetDataCentre{DataCentre: name, Out: out}}).Changed
	}
	assert.True(t, set("b", true))
	assert.True(t, set("a", true))
	assert.False(t, set("a", true))
	assert.Equal(t, []string{"a", "b"}, m.State().DataCentresOut)
	assert.True(t, set("b", false))
	assert.False(t, set("b", false))
	assert.True(t, m.State().IsOut("a"))
	assert.False(t, m.State().IsOut("b"))
}

func TestFirstStorageBootstrapWins(t *testing.T) {
	m := New()
	assert.True(t, m.Apply(1, Command{Bootstrap: &BootstrapStorage{Hosts: []uint64{1, 2, 3}}}).Changed)
	assert.False(t, m.Apply(2, Command{Bootstrap: &BootstrapStorage{Hosts: []uint64{4}}}).Changed)
	assert.Equal(t, []uint64{1, 2, 3}, m.State().InitialHosts)
}

func TestRetirementCompletesOnce(t *testing.T) {
	m := New()
	retire := func(done bool) bool {
		return m.Apply(1, Command{Retire: &RetireHost{Host: 7, Name: "s7", Done: done}}).Changed
	}
	assert.True(t, retire(false))
	assert.False(t, retire(false))
	assert.True(t, retire(true))
	assert.False(t, retire(false), "a completed retirement does not start again")
	r, found := m.State().Retirement("s7")
	assert.True(t, found && r.Done)
}

// For any order of concurrent operators' documents, the version in force never
// decreases, and its content is the first accepted under that version.
func TestVersionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		accepted := map[uint64]string{}
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			version := rapid.Uint64Range(1, 12).Draw(t, "version")
			body := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "body")
			result := m.Apply(uint64(i+1), put(version, body))
			if result.Changed {
				require.Greater(t, version, last)
				accepted[version] = body
			}
			s := m.State()
			require.GreaterOrEqual(t, s.Version, last)
			require.Equal(t, accepted[s.Version], string(s.Body))
			last = s.Version
		}
	})
}

// Snapshots of earlier builds, which hold only the state, can be restored; those of
// this build keep the verdicts. Verdicts don't change the revision of the state.
func TestSnapshotHoldsVerdicts(t *testing.T) {
	m := New()
	m.Apply(1, put(5, "five"))
	earlier, err := msgpack.Marshal(m.State())
	require.NoError(t, err)
	runs := []quarantine.Run{{Ref: quarantine.Ref{Workspace: "w"}}}
	report := &ReportRuns{Crashes: []CrashReport{{Crash: quarantine.Crash{Target: "t"}, Runs: runs}}}
	assert.Equal(t, Result{VerdictsChanged: true}, m.Apply(2, Command{Runs: report}))
	assert.Equal(t, Result{}, m.Apply(3, Command{Runs: report}), "a repeated report changes nothing")
	assert.Equal(t, uint64(1), m.State().Revision)
	current, err := msgpack.Marshal(m.Snapshot())
	require.NoError(t, err)
	for _, encoded := range [][]byte{earlier, current} {
		var snapshot Snapshot
		require.NoError(t, msgpack.Unmarshal(encoded, &snapshot))
		assert.Equal(t, "five", string(Restore(snapshot).State().Body))
	}
	var snapshot Snapshot
	require.NoError(t, msgpack.Unmarshal(current, &snapshot))
	assert.Equal(t, m.Verdicts().All(), Restore(snapshot).Verdicts().All())
}

// Grants come several times a second and must not make every follower get the whole
// catalog again. Snapshots keep rollouts, and those of earlier builds have none.
func TestRolloutsAreReplicated(t *testing.T) {
	m := New()
	m.Apply(1, put(5, "five"))
	earlier, err := msgpack.Marshal(struct {
		Revision uint64 `msgpack:"r"`
		Version  uint64 `msgpack:"v"`
		Body     []byte `msgpack:"b"`
	}{1, 5, []byte("five")})
	require.NoError(t, err)
	begin := func(service, version string) Command {
		return Command{Rollout: &rollout.Command{Begin: &rollout.Begin{AtMS: 9, Service: service, Version: version, DurationMS: 1000}}}
	}
	require.True(t, m.Apply(2, begin("s", "v2")).Changed)
	require.True(t, m.Apply(3, begin("a", "v2")).Changed)
	conflict := m.Apply(4, begin("a", "v3"))
	require.NotNil(t, conflict.Error)
	assert.Equal(t, outcome.RolloutActive, conflict.Error.Code)
	before := m.State()
	grant := Command{Rollout: &rollout.Command{Grant: &rollout.Grant{AtMS: 10, Service: "a", StartedMS: 9, Requests: 4, Limit: 5}}}
	assert.Equal(t, int64(10), grant.AtMS())
	assert.Equal(t, Result{CountsChanged: true}, m.Apply(5, grant))
	assert.Equal(t, uint64(3), m.State().Revision)
	assert.Equal(t, uint64(4), m.State().Rollouts[0].Granted, "sorted by service")
	assert.Zero(t, before.Rollouts[0].Granted, "a state returned earlier is not modified")
	current, err := msgpack.Marshal(m.Snapshot())
	require.NoError(t, err)
	for _, c := range []struct {
		encoded []byte
		want    []rollout.Rollout
	}{{earlier, nil}, {current, m.State().Rollouts}} {
		var snapshot Snapshot
		require.NoError(t, msgpack.Unmarshal(c.encoded, &snapshot))
		assert.Equal(t, c.want, Restore(snapshot).State().Rollouts)
	}
}
