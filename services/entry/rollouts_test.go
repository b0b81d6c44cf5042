package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/rollout"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// setPhase pushes a catalog with a rollout to version v2.
func (f *fixture) setPhase(phase rollout.Phase) {
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: uint64(phase) + 1, Version: 1,
		Rollouts: []rollout.Rollout{{Service: "llm", Version: "v2", Phase: phase}}}, nil)})
	f.follower.Gate.Confirm("llm", "v2", time.Now().Add(time.Hour)) // the leader stays within reach
}

// grant lets the gateway send requests to version v2.
func (f *fixture) grant(requests int) {
	f.follower.Gate.AddGrant("llm", "v2", requests, time.Now().Add(time.Hour))
}

// evidence returns the counts of a version on a route.
func (f *fixture) evidence(version, route string) rollout.Evidence {
	for _, e := range f.follower.Gate.Report() {
		if e.Version == version && e.Route == route {
			return e
		}
	}
	return rollout.Evidence{}
}

// Guards against a version that is judged by other than its own responses: failures on
// one route, from a certain run on, slow responses, and refusals that did not run.
func TestGatewayCountsEvidenceByVersionAndRoute(t *testing.T) {
	f := newFixture(t, standin.Behaviour{}, standin.Behaviour{})
	f.targets[1].SetVersion("v2", standin.Fault{Route: "/once/", AfterRuns: 3, Status: http.StatusInternalServerError},
		standin.Fault{Route: "/safe/", Delay: 60 * time.Millisecond})
	f.reportVersions("v1", "v2")
	f.setPhase(rollout.Canary)
	for n := range 20 {
		for _, route := range []string{"once", "safe"} {
			_, _, err := f.send("/"+route+"/", fmt.Sprint("old ", route, n))
			require.NoError(t, err)
		}
	}
	assert.Empty(t, f.targets[1].Runs(), "no grants yet")
	send := func(route string) {
		f.grant(1)
		time.Sleep(300 * time.Millisecond) // until the grant is due
		_, _, err := f.send("/"+route+"/", fmt.Sprint("new ", len(f.targets[1].Runs())))
		require.NoError(t, err)
	}
	for range 3 {
		send("once")
	}
	send("once")
	send("safe")
	assert.Equal(t, rollout.Evidence{Service: "llm", Version: "v2", Route: "once", Answers: 4, Failed: 1}, f.evidence("v2", "once"))
	assert.Equal(t, rollout.Evidence{Service: "llm", Version: "v2", Route: "safe", Answers: 1, Slow: 1}, f.evidence("v2", "safe"))
	old := f.evidence("v1", "once")
	assert.Equal(t, [2]uint64{20, 0}, [2]uint64{old.Answers, old.Failed})
	assert.Equal(t, uint64(5), f.evidence("v2", "").Requests, "placed")

	f.targets[1].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Refuse: true} })
	send("once")
	assert.Equal(t, uint64(4), f.evidence("v2", "once").Answers, "a refusal counts for nothing")
	f.setPhase(rollout.Reverted)
	f.grant(10)
	runs := len(f.targets[1].Runs())
	for n := range 20 {
		_, _, err := f.send("/once/", fmt.Sprint("reverted ", n))
		require.NoError(t, err)
	}
	assert.Len(t, f.targets[1].Runs(), runs, "a reverted version gets nothing")
}

// Guards against streams that go on at another version when a rollout finishes, and
// against requests to the old version then.
func TestStreamsStayWithTheirVersionDuringRollout(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 8, BreakAfter: 4}, standin.Behaviour{Events: 8}, standin.Behaviour{Events: 8})
	f.reportVersions("v1", "v1", "v2")
	f.setPhase(rollout.Canary)
	first, _, err := f.send("/resume/1", "begun")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.StatusCode)
	f.setPhase(rollout.Finishing)
	head, body, err := f.send("/resume/1", "taken up", "Last-Event-Id", "3", "X-Resumes", "begun")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, head.StatusCode)
	assert.Equal(t, eventText("taken up", 4, 8), body)
	assert.NotContains(t, f.targetsOf("taken up"), "t2")
	for n := range 10 {
		id := fmt.Sprint("new ", n)
		_, _, err := f.send("/resume/1", id)
		require.NoError(t, err)
		assert.Equal(t, []string{"t2"}, f.targetsOf(id))
	}
	f.setPhase(rollout.Completed)
	head, body, err = f.send("/resume/1", "late", "Last-Event-Id", "3", "X-Resumes", "begun")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, head.StatusCode)
	assert.Contains(t, body, "316")
	assert.Empty(t, f.targetsOf("late"))
}
