package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/auth"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// contentID is the request id of the requests here: fixture.send derives the body
// from it.
const contentID = "a"

// ref identifies the content that is sent to a path under contentID.
func ref(path string) quarantine.Ref {
	return quarantine.Ref{Workspace: "w1", Digest: auth.RequestDigest("w1", routeHost+path, []byte("body of "+contentID))}
}

func (f *fixture) applyVerdicts(verdicts ...quarantine.Verdict) {
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Verdicts: &quarantine.Update{Revision: verdicts[0].Revision, Verdicts: verdicts}})
}

func verdict(path string, level quarantine.Suspicion, crashes int, revision uint64) quarantine.Verdict {
	return quarantine.Verdict{Workspace: "w1", Digest: ref(path).Digest, Level: level, Crashes: crashes, Revision: revision}
}

// One request ends the targets that it is sent to; neither its own attempts nor its
// resends reach a fourth one.
func TestRequestEndsThreeTargetsAtMost(t *testing.T) {
	crash := standin.Behaviour{Crash: true}
	f := newFixture(t, crash, crash, crash, crash, crash, crash)
	for i, want := range []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
		response, body, err := f.send("/safe/x", contentID)
		require.NoError(t, err)
		assert.Equal(t, want, response.StatusCode)
		if i > 0 {
			assert.Contains(t, body, "306")
			assert.Empty(t, response.Header.Get("Retry-After"), "coming back would not help")
		}
	}
	runs := 0
	for _, target := range f.targets {
		runs += len(target.Runs())
	}
	assert.Equal(t, 3, runs)
}

func TestVerdictOfSiteStopsRequest(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	f.applyVerdicts(verdict("/safe/x", quarantine.Quarantined, 3, 5))
	response, body, err := f.send("/safe/x", contentID)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "306")
	_, _, err = f.send("/resume/x", contentID)
	require.NoError(t, err)
	f.applyVerdicts(verdict("/resume/x", quarantine.Quarantined, 3, 5))
	response, body, err = f.send("/resume/x", contentID, "Last-Event-Id", "2", "X-Resumes", contentID)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "a caller that resumes its stream sends the same content")
	assert.Contains(t, body, "306")
	response, _, err = f.send("/safe/y", contentID)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, "other content is not concerned")
	f.applyVerdicts(verdict("/safe/x", quarantine.Cleared, 0, 6))
	response, _, err = f.send("/safe/x", contentID)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// A suspect gets its chance, and a complete response clears it.
func TestCompleteResponseClearsSuspect(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	reporter := f.holdReports()
	f.applyVerdicts(verdict("/safe/x", quarantine.Suspect, 2, 5))
	response, _, err := f.send("/safe/x", contentID)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	report := reporter.Take()
	require.NotNil(t, report)
	assert.Equal(t, []quarantine.Ref{ref("/safe/x")}, report.Completed)
}

// Only the loss of its process counts as the crash of a target: a target that breaks
// off its responses and goes on accepting connections has not crashed, and one that
// had announced its shutdown may end.
func TestBrokenConnectionsAreNoCrash(t *testing.T) {
	broken := standin.Behaviour{Events: 5, BreakAfter: 2}
	f := newFixture(t, broken, broken, broken)
	for range 4 {
		_, _, err := f.send("/stream/x", contentID)
		require.Error(t, err)
	}
	assert.Zero(t, f.gateway.suspects.crashes.Count())
	assert.Zero(t, f.gateway.suspects.lookup(ref("/stream/x")).crashes)
	for _, target := range f.targets {
		report := target.Report("llm", "a", 8)
		report.Report.Sequence, report.Report.State = 2, roster.Draining
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
		f.gateway.crashes.connectionClosed(t.Context(), &brokenRun{target: &roster.Record{Report: report.Report}, at: time.Now()})
		target.Close()
	}
	assert.Zero(t, f.gateway.suspects.crashes.Count())
	assert.Zero(t, f.gateway.suspects.lookup(ref("/stream/x")).crashes)
}

// A target that is back before the gateway looks has crashed if it reports under a
// new id at its address.
func TestNewIncarnationShowsCrash(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 5, BreakAfter: 2})
	_, _, err := f.send("/stream/x", contentID)
	require.Error(t, err)
	require.True(t, f.gateway.suspects.empty())
	report := f.targets[0].Report("llm", "a", 8)
	report.Report.ID, report.Report.Incarnation = "t0-again", 2
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	require.Eventually(t, func() bool { return f.gateway.suspects.lookup(ref("/stream/x")).crashes == 1 }, waitTimeout, time.Millisecond)
}

// A target broke off and nobody knows yet whether it has crashed: the next attempts run
// one at a time, until the target answers another request.
func TestUndecidedCrashIsTriedOneAtATime(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	f.targets[0].SetBehaviour(func(id string) standin.Behaviour {
		if id == "sound" {
			return standin.Behaviour{}
		}
		return standin.Behaviour{Events: 5, BreakAfter: 2}
	})
	send := func(id string) int {
		response, _, _ := f.sendWithBody("/stream/x", id, "body") // the answer breaks off
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, send("first"))
	assert.Equal(t, http.StatusOK, send("trial"))
	assert.Equal(t, http.StatusServiceUnavailable, send("held"))
	_, _, err := f.sendWithBody("/stream/x", "sound", "another body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, send("later"), "the target lives on")
}
