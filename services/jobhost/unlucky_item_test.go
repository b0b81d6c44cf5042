package jobhost

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
	"banyanwalk/services/targetcall"
)

// acquireSlots acquires slots that are never released, as those of gateways that
// are killed with their requests.
func (f *fixture) acquireSlots(count int, remaining time.Duration) {
	f.t.Helper()
	for n := range count {
		_, err := f.host.broker.acquire(f.t.Context(), &rpc.SlotRequest{ID: rpc.SlotID{Incarnation: 1, Number: uint64(n)}, Service: "llm",
			RemainingMS: remaining.Milliseconds()})
		require.NoError(f.t, err)
	}
}

// Grants whose release was lost kept their slots until the 256th grant after them:
// after a burst of crashes, with no online request any more, items were never
// placed again.
func TestItemIsPlacedAfterReleasesWereLost(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	f.acquireSlots(targetSlots, 10*time.Millisecond)
	require.NoError(t, f.submit("job", 3))
	assert.Len(t, f.waitForResults("job", 3), 3)
}

// A target that has started again under another id answers that it did not run the
// item. This counted as a failed attempt, so that a burst of restarts gave a sound
// item up.
func TestItemOutlivesTargetsThatServeAnotherID(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	report := f.targets[0].Report("llm", "", targetSlots)
	report.Report.ID = "former" // of the process that had the address before
	report.Report.Incarnation, report.Report.Sequence = 2, 1
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	require.NoError(t, f.submit("job", 2))
	time.Sleep(4 * retryDelay) // more failed attempts than the job allows
	report = f.targets[0].Report("llm", "", targetSlots)
	report.Report.Incarnation, report.Report.Sequence = 3, 1
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	for _, result := range f.waitForResults("job", 2) {
		assert.Equal(t, jobs.Completed, result.State, result.Item)
	}
}

// Only the target's own failure of the request counts as an attempt.
func TestItemOutlivesOtherFailures(t *testing.T) {
	for _, status := range []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusNotFound} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3, Status: status})
			require.NoError(t, f.submit("job", 1))
			require.Eventually(t, func() bool { return len(f.runs()) >= 2 }, eventuallyTimeout, time.Millisecond)
			f.targets[0].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Events: 3} })
			assert.Equal(t, jobs.Completed, f.waitForResults("job", 1)[0].State)
		})
	}
}

// Batch items leave a slot free for online requests; a target that has just one
// slot still runs them when no other target does.
func TestItemIsPlacedOnTargetsWithOneSlot(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	report := f.targets[0].Report("llm", "", 1)
	report.Report.Sequence = 2
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	require.NoError(t, f.submit("job", 2))
	assert.Len(t, f.waitForResults("job", 2), 2)
}

// A target that sends events without end does not fill the memory of the host: the
// run ends, and the item starts again without the text.
func TestItemOutlivesEventsWithoutEnd(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 1 << 30})
	require.NoError(t, f.submit("job", 1))
	require.Eventually(t, func() bool {
		runs := f.runs()
		for i := 1; i < len(runs); i++ {
			if runs[i-1].CallerClosed && runs[i].LastEventID == 0 {
				return true
			}
		}
		return false
	}, eventuallyTimeout, time.Millisecond)
}

func TestTooLongTextIsDropped(t *testing.T) {
	p := newProgress(jobs.Partial{Text: "one", Last: 1})
	event := &targetcall.Event{Data: bytes.Repeat([]byte("x"), maxTextBytes/4)}
	var err error
	for event.ID = 2; err == nil; event.ID++ {
		require.Less(t, event.ID, int64(10))
		err = p.appendEvent(event, streams.Origin{})
	}
	require.ErrorIs(t, err, errTextTooLong)
	assert.Zero(t, p.lastEventID())
	require.NoError(t, p.appendEvent(&targetcall.Event{ID: 1, Data: []byte("one")}, streams.Origin{}))
	require.NoError(t, p.appendEvent(&targetcall.Event{ID: 2, Data: []byte("two")}, streams.Origin{}))
	assert.Equal(t, "one\ntwo", p.fullText())
	unsaved, ok := p.takeUnsaved(jobs.ItemRef{})
	assert.True(t, ok)
	assert.NotZero(t, unsaved.Writer)
	assert.Equal(t, jobs.Progress{Last: 2, Text: "one\ntwo", Writer: unsaved.Writer}, unsaved)
}
