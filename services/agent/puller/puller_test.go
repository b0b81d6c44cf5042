package puller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent"
)

const totalTokens = 4

// completionText returns the text of a chat completion in a result line.
func completionText(t *testing.T, l batch.ResultLine) string {
	t.Helper()
	require.NotNil(t, l.Response, "%+v", l.Error)
	var d completion
	require.NoError(t, json.Unmarshal(l.Response.Body, &d))
	require.Equal(t, "chat.completion", d.Object)
	require.Equal(t, totalTokens, d.Usage.CompletionTokens)
	require.Equal(t, "length", *d.Choices[0].FinishReason)
	return d.Choices[0].Message.Content
}

// TestLostResponsesCompleteEachItemOnce drops a third of control's responses.
// Resent pulls and commits must not run or complete an item twice.
func TestLostResponsesCompleteEachItemOnce(t *testing.T) {
	const items, slots = 300, 8
	control := newFakeControl()
	control.dropResponse = seededChance(41, 0.33)
	control.createJob(t, "batch_1", chatURL, items)
	s := newFakeSlots(slots, func(_ context.Context, open rpc.ExecuteOpen) (agent.Response, error) {
		return sseResponse(resumeFrom(t, open), totalTokens), nil
	})
	startPuller(t, control, s)
	eventually(t, func() bool { return control.counts("batch_1").Succeeded == items }, "all items succeed")
	require.LessOrEqual(t, s.peak, slots)
	lines := control.resultLines(t, "batch_1")
	require.Len(t, lines, items)
	require.Equal(t, " t0 t1 t2 t3", completionText(t, lines["c7"]))
	for id, runs := range s.runsByRequest {
		require.Equal(t, 1, runs, id)
	}
}

// TestPreemptedItemsResumeFromGeneratedTokens preempts each item once, after two
// tokens. The second run must generate only the remaining ones.
func TestPreemptedItemsResumeFromGeneratedTokens(t *testing.T) {
	const items = 20
	control := newFakeControl()
	control.createJob(t, "batch_1", chatURL, items)
	s := newFakeSlots(4, func(_ context.Context, open rpc.ExecuteOpen) (agent.Response, error) {
		from := resumeFrom(t, open)
		if from == 0 {
			return sseResponse(0, 2), outcome.New(outcome.Preempted, outcome.MayHaveRun, "online work came")
		}
		return sseResponse(from, totalTokens), nil
	})
	startPuller(t, control, s)
	eventually(t, func() bool { return control.counts("batch_1").Succeeded == items }, "all items succeed")
	for _, l := range control.resultLines(t, "batch_1") {
		require.Equal(t, " t0 t1 t2 t3", completionText(t, l))
	}
	for id, runs := range s.runsByRequest {
		require.Equal(t, 2, runs, id)
	}
}

func TestRetriesDependOnRouteIdempotency(t *testing.T) {
	answers := map[string]struct {
		response agent.Response
		err      error
		runs     int // expected on the idempotent route
		code     string
	}{
		"refused by the target": {response: agent.Response{Status: http.StatusBadRequest, Body: []byte("no"), Complete: true}, runs: 1},
		"target crashed":        {err: outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "gone"), runs: 3, code: "405"},
		"quarantined":           {err: outcome.New(outcome.Quarantined, outcome.NotRun, "poison"), runs: 1, code: "306"},
	}
	for name, c := range answers {
		t.Run(name, func(t *testing.T) {
			control := newFakeControl()
			control.createJob(t, "batch_1", chatURL, 1)
			control.createJob(t, "batch_2", orderURL, 1)
			s := newFakeSlots(1, func(context.Context, rpc.ExecuteOpen) (agent.Response, error) { return c.response, c.err })
			startPuller(t, control, s)
			eventually(t, func() bool { return control.counts("batch_1").Failed+control.counts("batch_2").Failed == 2 }, "both items fail")
			require.Equal(t, c.runs, s.runsByRequest["batch_1_0"])
			require.Equal(t, 1, s.runsByRequest["batch_2_0"], "a route that is not idempotent runs once")
			line := control.resultLines(t, "batch_1")["c0"]
			if c.code == "" {
				require.Equal(t, http.StatusBadRequest, line.Response.StatusCode)
				require.Equal(t, `"no"`, string(line.Response.Body))
				return
			}
			require.Equal(t, c.code, line.Error.Code)
		})
	}
}

// TestCancelledJobStopsRunningItems cancels a job whose items never end by
// themselves. Its running items must be stopped and their slots freed.
func TestCancelledJobStopsRunningItems(t *testing.T) {
	control := newFakeControl()
	control.createJob(t, "batch_1", chatURL, 10)
	s := newFakeSlots(3, func(ctx context.Context, _ rpc.ExecuteOpen) (agent.Response, error) {
		<-ctx.Done()
		return agent.Response{}, outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller left")
	})
	startPuller(t, control, s)
	eventually(t, func() bool { return control.counts("batch_1").Leased == 3 }, "three items are running")
	require.Nil(t, control.apply(&batch.Command{JobCancel: &batch.JobCancel{Workspace: "lab", ID: "batch_1"}}).Err)
	eventually(t, func() bool { return control.counts("batch_1").Leased == 0 }, "all running items stop")
	require.Equal(t, batch.Counts{Total: 10, Cancelled: 10}, control.counts("batch_1"))
	require.Equal(t, 3, s.SpareOn(targetID))
}

// TestShutdownReturnsItems shuts down with idempotent items ready and running,
// which must be returned, and with an item running on a route that isn't
// idempotent, which must complete.
func TestShutdownReturnsItems(t *testing.T) {
	control := newFakeControl()
	control.createJob(t, "batch_1", orderURL, 1)
	control.createJob(t, "batch_2", chatURL, 10)
	finish := make(chan struct{})
	s := newFakeSlots(4, func(ctx context.Context, open rpc.ExecuteOpen) (agent.Response, error) {
		if !open.Idempotent {
			<-finish
			return agent.Response{Status: 200, Body: []byte("{}"), Complete: true}, nil
		}
		<-ctx.Done()
		return sseResponse(0, 1), outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller left")
	})
	stop := startPuller(t, control, s)
	eventually(t, func() bool { return s.SpareOn(targetID) == 0 }, "all slots are in use")
	var wg sync.WaitGroup
	wg.Go(stop)
	eventually(t, func() bool { return control.counts("batch_2").Queued == 10 }, "the items are returned")
	close(finish)
	wg.Wait()
	require.Equal(t, batch.Counts{Total: 1, Succeeded: 1}, control.counts("batch_1"))
}

// TestItemsWithoutSlotAreReturned takes all slots away before the items start.
// The items must be returned instead of staying leased to this agent.
func TestItemsWithoutSlotAreReturned(t *testing.T) {
	control := newFakeControl()
	var s *fakeSlots
	s = newFakeSlots(2, func(context.Context, rpc.ExecuteOpen) (agent.Response, error) {
		s.setLimit(0)
		return agent.Response{}, outcome.New(outcome.TargetBusy, outcome.NotRun, "online work came")
	})
	control.createJob(t, "batch_1", chatURL, 2)
	startPuller(t, control, s)
	eventually(t, func() bool { return control.counts("batch_1").Leased > 0 }, "items are leased")
	eventually(t, func() bool { return control.counts("batch_1").Queued == 2 }, "the items are returned")
}

// TestSuspectItemRunsInIsolation has one item that the target accepts only when
// nothing else runs. It must complete although other items keep the slots busy.
func TestSuspectItemRunsInIsolation(t *testing.T) {
	const items = 40
	control := newFakeControl()
	control.createJob(t, "batch_1", chatURL, items)
	var s *fakeSlots
	s = newFakeSlots(4, func(_ context.Context, open rpc.ExecuteOpen) (agent.Response, error) {
		s.mu.Lock()
		alone := s.active == 1
		s.mu.Unlock()
		if strings.HasSuffix(open.ID.RequestID, "_5") && !alone {
			return agent.Response{}, outcome.New(outcome.TargetBusy, outcome.NotRun, "suspects run alone")
		}
		time.Sleep(time.Millisecond)
		return sseResponse(0, totalTokens), nil
	})
	startPuller(t, control, s)
	eventually(t, func() bool { return control.counts("batch_1").Succeeded == items }, "all items succeed")
}

// TestIdleAgentLongPolls checks that an agent without work long-polls control
// for more than a second, and doesn't start another pull on every slot change.
func TestIdleAgentLongPolls(t *testing.T) {
	require.Greater(t, longPollWait, time.Second)
	control := newFakeControl()
	s := newFakeSlots(4, func(context.Context, rpc.ExecuteOpen) (agent.Response, error) {
		return sseResponse(0, totalTokens), nil
	})
	startPuller(t, control, s)
	eventually(t, func() bool { control.mu.Lock(); defer control.mu.Unlock(); return control.polls == 1 }, "a long poll is open")
	for range 100 {
		s.notifyChanged()
	}
	control.mu.Lock()
	require.Equal(t, 1, control.polls)
	control.mu.Unlock()
	control.createJob(t, "batch_1", chatURL, 2)
	eventually(t, func() bool { return control.counts("batch_1").Succeeded == 2 }, "new items are pulled by the open poll")
}

func TestOnlySingleTextRequestsAreStreamed(t *testing.T) {
	target := newFakeSlots(1, nil).Targets()[0]
	for body, streamed := range map[string]bool{
		`{"model":"m","messages":[],"max_tokens":5}`:      true,
		`{"model":"m","messages":[],"n":2}`:               false,
		`{"model":"m","messages":[],"tools":[{}]}`:        false,
		`{"model":"m","messages":[],"logprobs":true}`:     false,
		`{"model":"m","prompt":["a","b"],"max_tokens":5}`: false,
	} {
		it := &item{}
		it.pulled.Input = fmt.Appendf(nil, `{"custom_id":"c","body":%s}`, body)
		it.pulled.Lease.Template = batch.Template{Path: chatURL, Idempotent: true}
		call, err := newModelCall(it, target)
		require.NoError(t, err)
		require.Equal(t, streamed, call.streamed, body)
		if !streamed {
			require.Equal(t, body, string(call.body))
		}
	}
}

// BenchmarkIdleCapacity reports the share of slot time in use when items take
// 20 ms and each call to control takes 5 ms.
func BenchmarkIdleCapacity(b *testing.B) {
	const slots, itemTime = 16, 20 * time.Millisecond
	control := newFakeControl()
	control.callDelay = 5 * time.Millisecond
	s := newFakeSlots(slots, func(context.Context, rpc.ExecuteOpen) (agent.Response, error) {
		time.Sleep(itemTime)
		return sseResponse(0, totalTokens), nil
	})
	control.createJob(b, "batch_1", chatURL, b.N)
	startedAt := time.Now()
	stop := startPuller(b, control, s)
	for control.counts("batch_1").Succeeded < b.N {
		time.Sleep(time.Millisecond)
	}
	elapsed := time.Since(startedAt)
	stop()
	b.ReportMetric(float64(s.busyTime)/float64(elapsed*slots), "busy-share")
}

// The time of day of an agent may jump: only the time since the lease counts.
func TestTimeUntilDueFollowsNoTimeOfDay(t *testing.T) {
	received := time.Now()
	farAhead := received.Add(-5 * time.Hour).UnixMilli()
	it := &item{receivedAt: received}
	it.pulled.Lease.RemainingMS = 10_000
	it.pulled.Lease.DueMS = farAhead
	require.Equal(t, 7*time.Second, it.untilDue(received.Add(3*time.Second)))
	it.pulled.Lease.RemainingMS = 0
	require.Negative(t, it.untilDue(received), "control of an earlier build names only the time of day")
}
