package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const streamTokens = 12

func tokenEvent(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
}

func completeStream() string {
	var b strings.Builder
	for i := range streamTokens {
		b.WriteString(tokenEvent(i))
	}
	return b.String() + "data: [DONE]\n\n"
}

// streamGeneration serves a generation, resumed after the number of tokens that the
// request gives. It fails after dieAfter bytes; -1 means never.
func streamGeneration(dieAfter int, failure error) func(*fakeAgent, *rpc.ExecuteOpen, *wire.Stream) error {
	return func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		a.runs.Add(1)
		var request struct {
			From int `json:"resume_from_tokens"`
		}
		if err := json.Unmarshal(open.Body, &request); err != nil {
			return err
		}
		w := &eventSender{id: open.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		_ = w.send(rpc.EventHead, "", rpc.Header{Name: "Content-Type", Value: "text/event-stream"})
		text := completeStream()
		if request.From > 0 {
			_, text, _ = strings.Cut(text, tokenEvent(request.From-1))
		}
		if dieAfter >= 0 && dieAfter < len(text) {
			_ = w.send(rpc.EventData, text[:dieAfter])
			return failure
		}
		for len(text) > 0 { // pieces that split events
			n := min(37, len(text))
			if err := w.send(rpc.EventData, text[:n]); err != nil {
				return err
			}
			text = text[n:]
		}
		return w.send(rpc.EventEnd, "")
	}
}

func TestStreamPassesThrough(t *testing.T) {
	a := startAgent(t, streamGeneration(-1, nil))
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	r := g.do(t, "POST", chatPath, keyA, streamBody)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "text/event-stream", r.header.Get("Content-Type"))
	require.Equal(t, completeStream(), r.body)
}

// The engine dies after each byte of the stream in turn. The caller must always
// receive the complete stream, resumed on another target.
func TestStreamResumesAfterEveryByte(t *testing.T) {
	failure := outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "engine died")
	var dieAfter atomic.Int64
	good := startAgent(t, streamGeneration(-1, nil))
	var both atomic.Pointer[fleet.View]
	state := newFakeState(t)
	bad := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		state.view.Store(both.Load()) // adds the other target only now, so that the first attempt goes to bad
		return streamGeneration(int(dieAfter.Load()), failure)(a, open, s)
	})
	both.Store(newFakeState(t, target("e1", "m1", bad), target("e2", "m1", good)).View())
	onlyBad := newFakeState(t, target("e1", "m1", bad)).View()
	g := startGateway(t, Config{State: state})
	for after := range len(completeStream()) {
		dieAfter.Store(int64(after))
		state.view.Store(onlyBad)
		g.retryBudget.AddRequest(1)
		r := g.do(t, "POST", chatPath, keyA, streamBody)
		require.Equal(t, completeStream(), r.body, "cut after %d bytes", after)
		require.EqualValues(t, after+1, bad.runs.Load())
		require.EqualValues(t, after+1, good.runs.Load())
	}
}

func TestStreamThatCannotResumeEndsWithError(t *testing.T) {
	failure := outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "engine died")
	bad := startAgent(t, streamGeneration(100, failure))
	for name, tc := range map[string]struct{ path, model, body string }{
		"no other target": {chatPath, "m1", streamBody},
		"two choices":     {chatPath, "m1", `{"model":"m1","stream":true,"n":2}`},
		"not idempotent":  {"/v1/services/desk/pay", "desk", streamBody},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, Config{State: newFakeState(t, target("e1", tc.model, bad))})
			r := g.do(t, "POST", tc.path, keyA, tc.body)
			require.Equal(t, http.StatusOK, r.status)
			require.Contains(t, r.body, "event: error\ndata: ")
			require.Contains(t, r.body, "may_have_run")
			require.NotContains(t, r.body, "[DONE]")
			require.True(t, strings.HasPrefix(r.body, tokenEvent(0)))
			beforeError, _, _ := strings.Cut(r.body, "event: error")
			require.True(t, strings.HasPrefix(completeStream(), beforeError), "only complete events are relayed")
		})
	}
}

func TestStreamWithoutDoneEventIsIncomplete(t *testing.T) {
	a := startAgent(t, func(_ *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		w := &eventSender{id: open.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		_ = w.send(rpc.EventHead, "", rpc.Header{Name: "Content-Type", Value: "text/event-stream"})
		_ = w.send(rpc.EventData, tokenEvent(0))
		return w.send(rpc.EventEnd, "")
	})
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	require.Contains(t, g.do(t, "POST", chatPath, keyA, streamBody).body, "event: error")
}

func TestEventParser(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		text := strings.ReplaceAll(": ping\n\nevent: x\n"+completeStream(), "\n", lineEnd)
		for size := 1; size < len(text); size++ {
			var p eventParser
			var forwarded strings.Builder
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				forwarded.Write(p.feed([]byte(rest[:n])))
				rest = rest[n:]
			}
			require.Equal(t, text, forwarded.String())
			require.Equal(t, streamTokens, p.tokens)
			require.True(t, p.done)
			require.Empty(t, p.partial)
		}
	}
}
