package jobhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/jobs"
	"banyanwalk/core/roster"
	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// report pushes a status report of a target with a software version.
func (f *fixture) report(target int, version string, state roster.State) {
	f.sequence++
	report := f.targets[target].Report("llm", "", targetSlots)
	report.Report.Sequence, report.Report.Version, report.Report.State = 1+f.sequence, version, state
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
}

// begin acquires a slot for a stream and returns the version of its target.
func (f *fixture) begin(n uint64, attempt string, version *string) string {
	f.t.Helper()
	granted, err := f.host.broker.acquire(f.t.Context(), &rpc.SlotRequest{ID: rpc.SlotID{Incarnation: 1, Number: n}, Service: "llm",
		RemainingMS: 60_000, Stream: streams.KeyOf("w", attempt), Version: version})
	require.NoError(f.t, err)
	return granted.Version
}

func (f *fixture) find(attempt string) rpc.StreamFound {
	f.t.Helper()
	found, err := f.host.origins.find(f.t.Context(), &rpc.StreamFind{Stream: streams.KeyOf("w", attempt), Service: "llm"})
	require.NoError(f.t, err)
	return *found
}

// forget drops what the broker has in memory, as the loss of its process does.
func (f *fixture) forget() {
	f.host.origins.mu.Lock()
	defer f.host.origins.mu.Unlock()
	f.host.origins.recent = streams.NewTable()
}

// awaitVersion waits until the log has a version.
func (f *fixture) awaitVersion(version string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		seen := false
		f.host.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
			seen = m.Streams().HasVersion(streams.Origin{Service: "llm", Version: version})
		})
		return seen
	}, eventuallyTimeout, time.Millisecond)
}

// Incident ORDER: where a stream began outlives the broker for services of several
// versions, also if it began before the second one came; for others it need not.
func TestOriginsOutliveBroker(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 1}, standin.Behaviour{Events: 1})
	f.report(1, "v1.1", roster.Gone)
	f.report(0, "v1", roster.Ready)
	f.awaitVersion("v1")
	assert.Equal(t, "v1", f.begin(1, "early", nil))
	assert.Equal(t, rpc.StreamFound{Known: true, Origin: streams.Origin{Service: "llm", Version: "v1"}}, f.find("early"))
	f.forget()
	assert.True(t, f.find("never begun").Known, "the only version that the service has had")

	assert.Equal(t, "v1", f.begin(2, "early", nil))
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{restarted(f.targets[1], "v1.1")}})
	assert.False(t, f.find("never begun").Known, "a second version is there")
	f.awaitVersion("v1.1")
	for n, version := range []string{"v1", "v1.1"} {
		assert.Equal(t, version, f.begin(uint64(10+n), version, &version))
	}
	logged := func(attempt string) (found bool) {
		f.host.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
			_, found = m.Streams().Find(streams.KeyOf("w", attempt))
		})
		return found
	}
	require.Eventually(t, func() bool { return logged("early") && logged("v1") && logged("v1.1") }, eventuallyTimeout, time.Millisecond)
	f.forget()
	for attempt, version := range map[string]string{"early": "v1", "v1": "v1", "v1.1": "v1.1"} {
		assert.Equal(t, rpc.StreamFound{Known: true, Origin: streams.Origin{Service: "llm", Version: version}}, f.find(attempt))
	}
	f.report(0, "v1", roster.Gone)
	assert.False(t, f.find("never begun").Known, "the version that is left need not be its own")
	assert.Equal(t, "v1", f.find("early").Origin.Version)
}

// restarted returns the report of a target that runs again under its id.
func restarted(target *standin.Target, version string) rpc.TargetReport {
	report := target.Report("llm", "", targetSlots)
	report.Report.Incarnation, report.Report.Version = 2, version
	return report
}

// An item that was broken off goes on at the version that began its text; when all
// targets of that version have left, the text starts again.
func TestTextHoldsEventsOfOneVersion(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 30, BreakAfter: 12, Mark: "@v1"}, standin.Behaviour{Events: 30, Mark: "@v1.1"})
	f.report(1, "v1.1", roster.Draining)
	f.report(0, "v1", roster.Ready)
	require.NoError(t, f.submit("j", 1))
	require.Eventually(t, func() bool { return len(f.runs()) > 0 }, eventuallyTimeout, time.Millisecond)
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{restarted(f.targets[1], "v1.1")}})
	result := f.waitForResults("j", 1)[0]
	assert.NotContains(t, result.Text, "@v1.1")

	f.targets[0].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Events: 30, HangAfter: 5, Mark: "@v1"} })
	f.targets[1].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Refuse: true} })
	before := len(f.targets[0].Runs())
	require.NoError(t, f.submit("k", 1))
	require.Eventually(t, func() bool { return len(f.targets[0].Runs()) > before }, eventuallyTimeout, time.Millisecond)
	f.report(0, "v1", roster.Gone)
	f.targets[0].Close()
	f.targets[1].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Events: 30, Mark: "@v1.1"} })
	result = f.waitForResults("k", 1)[0]
	assert.Equal(t, jobs.Completed, result.State)
	assert.NotContains(t, result.Text, "@v1\n")
	assert.Contains(t, result.Text, "k-0-1@v1.1")
	assert.Contains(t, result.Text, "k-0-30@v1.1")
}

// BenchmarkLoggedStream shows the bytes of a log entry for each stream: perEntry streams
// of two versions begin in originInterval at 670 requests a second.
func BenchmarkLoggedStream(b *testing.B) {
	const perEntry = 34
	size := 0
	for b.Loop() {
		origins := newStreamOrigins(nil, metrics.NewCounter())
		origins.several["llm"] = true
		for n := range perEntry {
			origin := streams.Origin{Service: "llm", Version: []string{"v1", "v1.1"}[n%2]}
			origins.begun(streams.Group{Origin: origin, Keys: []streams.Key{streams.KeyOf("w", fmt.Sprint(n))}})
		}
		encoded, err := msgpack.Marshal(jobs.Command{Streams: &streams.Update{Begun: origins.takeUnlogged()}})
		require.NoError(b, err)
		size = len(encoded)
	}
	b.ReportMetric(float64(size)/perEntry, "bytes/stream")
}
