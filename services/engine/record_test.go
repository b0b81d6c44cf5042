package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/infra/telemetry"
)

// Guards against counting a request of a crashed incarnation as load on the next
// one: the handler of the crashed incarnation runs only after the next one has
// started.
func TestRequestOfEndedIncarnationDoesNotCountAsLoad(t *testing.T) {
	e := New(Config{
		Name: "e", Model: "m", WarmCapacity: 4, ColdCapacity: 1, WarmupRequests: 8,
		TokenTime: time.Hour, // the crash reaches the handler before it can answer
		Overload:  OverloadRecord,
	}, telemetry.Discard())
	ctx, crashProcess := context.WithCancelCause(t.Context())
	endedProcess := &processRun{incarnation: 1, ctx: ctx, crash: crashProcess}
	e.recorder.startIncarnation(endedProcess.incarnation)
	e.currentProcess.Store(endedProcess)
	endedHandler := e.routes(endedProcess)
	crashProcess(ErrCrashed)
	e.recorder.startIncarnation(2)
	e.currentProcess.Store(&processRun{incarnation: 2, ctx: t.Context()})

	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody("x", 1, "")))
	request.Header.Set(requestIDHeader, "late")
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { endedHandler.ServeHTTP(httptest.NewRecorder(), request) })
	stats := e.Stats()
	assert.Equal(t, 1, stats.Received["late"], "a request to an ended incarnation counts as received")
	assert.Equal(t, 1, stats.Cancelled["late"])
	assert.Zero(t, stats.Running)
	assert.Zero(t, stats.MaxRunning)

	overloaded, _ := e.recorder.beginRequest("a", 2, time.Now())
	assert.False(t, overloaded)
	overloaded, _ = e.recorder.beginRequest("late too", 1, time.Now())
	assert.False(t, overloaded)
	overloaded, _ = e.recorder.beginRequest("b", 2, time.Now())
	assert.True(t, overloaded, "one request above the cold capacity")
	assert.Equal(t, 1, e.Stats().Overloads)
}
