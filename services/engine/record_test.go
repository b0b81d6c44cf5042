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

// TestRequestOfEndedIncarnationIsNoLoad lets a handler of a crashed
// incarnation run only after the next one has started.
func TestRequestOfEndedIncarnationIsNoLoad(t *testing.T) {
	e := New(Config{
		Name: "e", Model: "m", Warm: 4, Cold: 1, WarmupRequests: 8,
		TokenTime: time.Hour, // the crash reaches the handler before it can answer
		Overload:  OverloadRecord,
	}, telemetry.Discard())
	ctx, crash := context.WithCancelCause(t.Context())
	old := &life{incarnation: 1, ctx: ctx, crash: crash}
	e.record.start(old.incarnation)
	e.life.Store(old)
	late := e.routes(old)
	crash(ErrCrashed)
	e.record.start(2)
	e.life.Store(&life{incarnation: 2, ctx: t.Context()})

	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody("x", 1, "")))
	request.Header.Set(requestIDHeader, "late")
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { late.ServeHTTP(httptest.NewRecorder(), request) })
	runs := e.Runs()
	assert.Equal(t, 1, runs.Received["late"], "it still counts as received")
	assert.Equal(t, 1, runs.Cancelled["late"])
	assert.Zero(t, runs.Running)
	assert.Zero(t, runs.MaxRunning)

	overloaded, _ := e.record.arrive("a", 2, time.Now())
	assert.False(t, overloaded)
	overloaded, _ = e.record.arrive("late too", 1, time.Now())
	assert.False(t, overloaded)
	overloaded, _ = e.record.arrive("b", 2, time.Now())
	assert.True(t, overloaded, "one more than the engine bears")
	assert.Equal(t, 1, e.Runs().Overloads)
}
