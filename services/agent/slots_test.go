package agent

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/services/engine"
)

// batchResult holds the results of RunBatch.
type batchResult struct {
	response Response
	err      error
}

func TestBatchFillsSpareSlotsAndNoMore(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 2})
	assert.Equal(t, 2, b.agent.Spare())
	assert.Equal(t, 2, b.agent.SpareOn(s.id))
	open := b.chat(s, "plan", 8, false)
	response, err := b.agent.RunBatch(t.Context(), open)
	require.NoError(t, err)
	assert.True(t, response.Complete)
	assert.Equal(t, 200, response.Status)
	assert.Equal(t, expectedText(t, open), result{body: response.Body}.text(t))
}

func TestOnlinePreemptsBatchWhichResumes(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 1, TokenTime: time.Millisecond})
	item := b.chat(s, "plan", 1000, true)
	done := make(chan batchResult, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		response, err := b.agent.RunBatch(t.Context(), item)
		done <- batchResult{response, err}
	})
	b.eventually(func() bool { return s.Stats().Tokens > 5 }, "the item runs")
	online := b.chat(s, "urgent", 3, true)
	r := b.run(t.Context(), online)
	require.Nil(t, r.err)
	assert.Equal(t, expectedText(t, online), r.text(t))
	preempted := <-done
	require.True(t, outcome.IsCode(preempted.err, outcome.Preempted), preempted.err)
	assert.Equal(t, outcome.MayHaveRun, outcome.From(preempted.err).Outcome)
	assert.False(t, preempted.response.Complete)

	rest := b.chat(s, "plan", 1000, true)
	rest.Body = []byte(strings.Replace(string(rest.Body), "{", fmt.Sprintf(`{"resume_from_tokens":%d,`, preempted.response.Tokens), 1))
	b.eventually(func() bool { return b.agent.Spare() == 1 }, "a slot is spare again")
	answer, err := b.agent.RunBatch(t.Context(), rest)
	require.NoError(t, err)
	first := result{body: preempted.response.Body}.text(t)
	assert.Equal(t, expectedText(t, item), first+result{body: answer.Body}.text(t))
	assert.Equal(t, 1000, preempted.response.Tokens+answer.Tokens)
}

func TestCancelledBatchItemStopsAtTheEngine(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 1, TokenTime: time.Hour})
	item := b.chat(s, "plan", 5, true)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, err := b.agent.RunBatch(ctx, item)
		assert.Equal(t, outcome.MayHaveRun, outcome.From(err).Outcome)
	})
	b.eventually(func() bool { return s.Stats().Running == 1 }, "the item runs")
	cancel()
	b.eventually(func() bool { return s.Stats().Cancelled[item.ID.RequestID] == 1 }, "the engine stopped")
	b.eventually(func() bool { return b.agent.Spare() == 1 }, "the slot is spare again")
}

func TestChangedSignalsSpareCapacity(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 1})
	select {
	case <-b.agent.Changed():
	default:
	}
	require.Nil(t, b.run(t.Context(), b.chat(s, "x", 1, false)).err)
	select {
	case <-b.agent.Changed():
	case <-time.After(waitLimit):
		t.Fatal("no signal")
	}
}

func TestNonIdempotentItemsFinishDuringDrain(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 1, TokenTime: time.Millisecond})
	item := b.chat(s, "plan", 300, true)
	item.Idempotent = false
	done := make(chan batchResult, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		response, err := b.agent.RunBatch(t.Context(), item)
		done <- batchResult{response, err}
	})
	b.eventually(func() bool { return s.Stats().Tokens > 5 }, "the item runs")
	b.stop()
	finished := <-done
	require.NoError(t, finished.err)
	assert.Equal(t, expectedText(t, item), result{body: finished.response.Body}.text(t))
	require.NoError(t, <-b.stopped)
}
