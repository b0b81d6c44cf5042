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

const generated = 12 // tokens

func token(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
}

func wholeStream() string {
	var b strings.Builder
	for i := range generated {
		b.WriteString(token(i))
	}
	return b.String() + "data: [DONE]\n\n"
}

// generate streams tokens from the place that the request names and dies
// after dieAfter bytes; -1 lives.
func generate(dieAfter int, died error) func(*fakeAgent, *rpc.ExecuteOpen, *wire.Stream) error {
	return func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		a.runs.Add(1)
		var request struct {
			From int `json:"resume_from_tokens"`
		}
		if err := json.Unmarshal(open.Body, &request); err != nil {
			return err
		}
		w := &answerer{id: open.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		_ = w.send(rpc.EventHead, "", rpc.Header{Name: "Content-Type", Value: "text/event-stream"})
		text := wholeStream()
		if request.From > 0 {
			_, text, _ = strings.Cut(text, token(request.From-1))
		}
		if dieAfter >= 0 && dieAfter < len(text) {
			_ = w.send(rpc.EventData, text[:dieAfter])
			return died
		}
		for len(text) > 0 { // pieces that cut through events
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
	a := startAgent(t, generate(-1, nil))
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	r := g.do(t, "POST", chatPath, keyA, streamBody)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "text/event-stream", r.header.Get("Content-Type"))
	require.Equal(t, wholeStream(), r.body)
}

// An engine that dies after any byte of the stream costs the caller nothing.
func TestStreamResumesAfterEveryByte(t *testing.T) {
	died := outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "engine died")
	var cut atomic.Int64
	good := startAgent(t, generate(-1, nil))
	var both atomic.Pointer[fleet.View]
	state := newFakeState(t)
	bad := startAgent(t, func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		state.view.Store(both.Load()) // the other target comes in just now
		return generate(int(cut.Load()), died)(a, open, s)
	})
	both.Store(newFakeState(t, target("e1", "m1", bad), target("e2", "m1", good)).View())
	alone := newFakeState(t, target("e1", "m1", bad)).View()
	g := startGateway(t, Config{State: state})
	for after := range len(wholeStream()) {
		cut.Store(int64(after))
		state.view.Store(alone)
		g.budget.AddRequest(1)
		r := g.do(t, "POST", chatPath, keyA, streamBody)
		require.Equal(t, wholeStream(), r.body, "cut after %d bytes", after)
		require.EqualValues(t, after+1, bad.runs.Load())
		require.EqualValues(t, after+1, good.runs.Load())
	}
}

func TestStreamThatCannotResumeEndsWithError(t *testing.T) {
	died := outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "engine died")
	bad := startAgent(t, generate(100, died))
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
			require.True(t, strings.HasPrefix(r.body, token(0)))
			whole, _, _ := strings.Cut(r.body, "event: error")
			require.True(t, strings.HasPrefix(wholeStream(), whole), "only whole events are handed on")
		})
	}
}

func TestStreamWithoutLastEventIsNotWhole(t *testing.T) {
	a := startAgent(t, func(_ *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
		w := &answerer{id: open.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		_ = w.send(rpc.EventHead, "", rpc.Header{Name: "Content-Type", Value: "text/event-stream"})
		_ = w.send(rpc.EventData, token(0))
		return w.send(rpc.EventEnd, "")
	})
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	require.Contains(t, g.do(t, "POST", chatPath, keyA, streamBody).body, "event: error")
}

func TestEventParser(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		text := strings.ReplaceAll(": ping\n\nevent: x\n"+wholeStream(), "\n", end)
		for size := 1; size < len(text); size++ {
			var p eventParser
			var passed strings.Builder
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				passed.Write(p.add([]byte(rest[:n])))
				rest = rest[n:]
			}
			require.Equal(t, text, passed.String())
			require.Equal(t, generated, p.tokens)
			require.True(t, p.done)
			require.Empty(t, p.rest)
		}
	}
}
