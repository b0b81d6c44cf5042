package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/roster"
	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// reportVersions makes the targets report software versions, in order.
func (f *fixture) reportVersions(versions ...string) {
	push := &rpc.FollowPush{}
	for i, version := range versions {
		report := f.targets[i].Report("llm", "a", 8)
		report.Report.Sequence, report.Report.Version, report.Report.State = f.nextSequence(), version, roster.Ready
		push.Targets = append(push.Targets, report)
	}
	f.follower.ApplyPush(time.Now(), "test", push)
}

func (f *fixture) nextSequence() uint64 {
	f.sequence++
	return 1 + f.sequence
}

// leave makes a target say that it leaves.
func (f *fixture) leave(target int) {
	report := f.targets[target].Report("llm", "a", 8)
	report.Report.Sequence, report.Report.State = f.nextSequence(), roster.Gone
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
}

// targetsOf returns the targets that ran a request, in order of their numbers.
func (f *fixture) targetsOf(id string) (ids []string) {
	for _, run := range f.allRuns() {
		if run.ID == id {
			ids = append(ids, run.Target)
		}
	}
	return ids
}

// Incident ORDER: a target breaks off, and the answer goes on at a target of another
// version.
func TestAnswerGoesOnAtSameVersionOnly(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20, BreakAfter: 4}, standin.Behaviour{Events: 20}, standin.Behaviour{Events: 20, BreakAfter: 4})
	f.reportVersions("v1", "v1.1", "v1")
	for n := range 12 {
		id := string(rune('a' + n))
		_, _, err := f.send("/resume/1", id)
		ran := f.targetsOf(id)
		if err == nil {
			assert.Equal(t, []string{"t1"}, ran, "whole")
		} else {
			assert.Equal(t, []string{"t0", "t2"}, ran, "both targets of its version break off")
		}
	}
}

// Until an event has come, any version will do.
func TestStreamWithoutEventsMovesToAnotherVersion(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Events: 5})
	f.reportVersions("v1", "v1.1")
	for _, id := range []string{"a", "b", "c"} {
		_, body, err := f.send("/resume/1", id)
		require.NoError(t, err)
		assert.Equal(t, eventText(id, 1, 5), body)
		origin, _, failure := f.gateway.origins.find(t.Context(), streams.KeyOf("w1", id), &document().Routes[3])
		require.Nil(t, failure)
		assert.Equal(t, streams.Origin{Service: "llm", Version: "v1.1"}, origin)
	}
}

// A caller takes its stream up, breaks off again, and comes back; it names the attempt
// that brought the first event, or the last one.
func TestChainOfTakeUpsStaysAtVersion(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20}, standin.Behaviour{Events: 20})
	f.reportVersions("v1", "")
	f.gateway.origins.begun(streams.KeyOf("w1", "first"), streams.Origin{Service: "llm", Version: "v1"}, true)
	for n, attempt := range [][2]string{{"second", "first"}, {"third", "first"}, {"fourth", "third"}, {"fifth", "fourth"}} {
		_, body, err := f.send("/resume/1", attempt[0], "Last-Event-Id", "15", "X-Resumes", attempt[1])
		require.NoError(t, err)
		assert.Equal(t, eventText(attempt[0], 16, 20), body, "%d", n)
		assert.Equal(t, []string{"t0"}, f.targetsOf(attempt[0]))
	}
}

// Incident ORDER: nobody knows where a stream began, its version has left, or its route
// leads elsewhere now. The caller is told at once that nothing has run.
func TestStreamThatCannotGoOnIsRefused(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20}, standin.Behaviour{Events: 20})
	f.reportVersions("v1", "v1.1")
	begun := func(id, service, version string) {
		f.gateway.origins.begun(streams.KeyOf("w1", id), streams.Origin{Service: service, Version: version}, true)
	}
	begun("of-v1", "llm", "v1")
	begun("of-v2", "llm", "v2")
	begun("moved", "another", "v1")
	f.leave(0)
	for resumes, want := range map[string]string{"": "315", "unknown": "315", "of-v1": "316", "of-v2": "316", "moved": "316"} {
		response, body, err := f.send("/resume/1", "again", "Last-Event-Id", "5", "X-Resumes", resumes)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, resumes)
		assert.Contains(t, body, want, resumes)
	}
	assert.Empty(t, f.allRuns())
}

// Streams of other workspaces are not found under their attempts' ids.
func TestAttemptsOfAnotherWorkspaceAreUnknown(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20})
	f.gateway.origins.begun(streams.KeyOf("slow", "first"), streams.Origin{Service: "llm"}, true)
	response, _, err := f.send("/resume/1", "second", "Last-Event-Id", "5", "X-Resumes", "first")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
