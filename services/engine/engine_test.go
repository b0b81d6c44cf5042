package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/infra/telemetry"
)

// waitLimit bounds the wait for an expected state.
const waitLimit = 30 * time.Second

// runningEngine is an engine that serves on a loopback port.
type runningEngine struct {
	*Engine
	url       string
	runResult chan error
}

func startEngine(t *testing.T, cfg Config) *runningEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New(cfg, telemetry.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningEngine{Engine: e, url: "http://" + l.Addr().String(), runResult: make(chan error, 1)}
	var wg conc.WaitGroup
	wg.Go(func() { r.runResult <- e.Run(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, func() bool { return e.currentProcess.Load() != nil }, waitLimit, time.Millisecond)
	return r
}

func (r *runningEngine) post(t *testing.T, ctx context.Context, path, id, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(requestIDHeader, id)
	return http.DefaultClient.Do(request)
}

func chatBody(prompt string, tokens int, extra string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d%s}`, prompt, tokens, extra)
}

// readStream returns the streamed text, the number of tokens and whether the
// [DONE] event arrived. It requires each event to carry the request id.
func readStream(t *testing.T, body io.Reader, id string) (text string, tokens int, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, tokens, true
		}
		var event completion
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		require.Equal(t, "chatcmpl-"+id, event.ID)
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			text += event.Choices[0].Delta.Content
			tokens++
		}
	}
	return text, tokens, false
}

func TestPlainStreamedAndResumedTextsAgree(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", WarmCapacity: 4})
	body := chatBody("how deep", 12, "")
	expected, err := ExpectedText([]byte(body), 0)
	require.NoError(t, err)

	response, err := r.post(t, t.Context(), "/v1/chat/completions", "a", body)
	require.NoError(t, err)
	defer response.Body.Close()
	var whole completion
	require.NoError(t, json.NewDecoder(response.Body).Decode(&whole))
	assert.Equal(t, expected, whole.Choices[0].Message.Content)
	assert.Equal(t, 12, whole.Usage.CompletionTokens)
	assert.Equal(t, "a", response.Header.Get(requestIDHeader))

	response, err = r.post(t, t.Context(), "/v1/chat/completions", "b", chatBody("how deep", 12, `,"stream":true`))
	require.NoError(t, err)
	defer response.Body.Close()
	text, tokens, done := readStream(t, response.Body, "b")
	assert.True(t, done)
	assert.Equal(t, 12, tokens)
	assert.Equal(t, expected, text)

	response, err = r.post(t, t.Context(), "/v1/chat/completions", "c", chatBody("how deep", 12, `,"stream":true,"resume_from_tokens":5`))
	require.NoError(t, err)
	defer response.Body.Close()
	rest, tokens, done := readStream(t, response.Body, "c")
	assert.True(t, done)
	assert.Equal(t, 7, tokens)
	assert.True(t, strings.HasSuffix(expected, rest))
}

func TestEchoCountsRuns(t *testing.T) {
	r := startEngine(t, Config{Name: "s", Kind: bundle.KindService, Model: "dispatch"})
	for n := 1; n <= 2; n++ {
		response, err := r.post(t, t.Context(), "/van/7?x=1", "a", "go")
		require.NoError(t, err)
		var echo Echo
		require.NoError(t, json.NewDecoder(response.Body).Decode(&echo))
		response.Body.Close()
		assert.Equal(t, n, echo.TimesReceived)
		assert.Equal(t, "/van/7?x=1", echo.Path)
		assert.Equal(t, "go", echo.Body)
	}
	assert.Equal(t, map[string]int{"a": 2}, r.Stats().Completed)
}

func TestDisconnectStopsGeneration(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", TokenTime: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := r.post(t, ctx, "/v1/chat/completions", "a", chatBody("long", 60000, `,"stream":true`))
	require.NoError(t, err)
	cancel()
	response.Body.Close()
	require.Eventually(t, func() bool { return r.Stats().Cancelled["a"] == 1 }, waitLimit, time.Millisecond)
	assert.Zero(t, r.Stats().Running)
}

func TestPoisonRequestCrashesAndRestartIsNewIncarnation(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", WarmCapacity: 4, ColdCapacity: 1, WarmupRequests: 8})
	first := r.Stats().Incarnation
	response, err := r.post(t, t.Context(), "/v1/chat/completions", "p", chatBody("POISON", 5, ""))
	if err == nil {
		response.Body.Close()
	}
	require.Error(t, err)
	require.ErrorIs(t, <-r.runResult, ErrCrashed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = r.Run(ctx, l) })
	require.Eventually(t, func() bool { return r.Stats().Incarnation != first }, waitLimit, time.Millisecond)
	cancel()
	wg.Wait()
	assert.Equal(t, 1, r.Stats().Crashes)
}

func TestColdOverloadFailsRequests(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", WarmCapacity: 4, ColdCapacity: 1, WarmupRequests: 8, TokenTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		response, err := r.post(t, ctx, "/v1/chat/completions", "a", chatBody("x", 1, ""))
		if err == nil {
			response.Body.Close()
		}
	})
	require.Eventually(t, func() bool { return r.Stats().Running == 1 }, waitLimit, time.Millisecond)
	response, err := r.post(t, t.Context(), "/v1/chat/completions", "b", chatBody("x", 1, ""))
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
	assert.Equal(t, 1, r.Stats().Overloads)
}

func TestSwapFaultExchangesResponses(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", WarmCapacity: 4})
	r.Inject(Faults{SwapPairs: 1})
	var wg conc.WaitGroup
	ids := make([]string, 2)
	for i, id := range []string{"a", "b"} {
		wg.Go(func() {
			response, err := r.post(t, t.Context(), "/v1/chat/completions", id, chatBody(id, 3, ""))
			if !assert.NoError(t, err) {
				return
			}
			defer response.Body.Close()
			var body completion
			assert.NoError(t, json.NewDecoder(response.Body).Decode(&body))
			ids[i] = body.ID
		})
	}
	wg.Wait()
	assert.Equal(t, []string{"chatcmpl-b", "chatcmpl-a"}, ids)
}

func TestCutFaultTruncatesStream(t *testing.T) {
	r := startEngine(t, Config{Name: "e", Model: "m", WarmCapacity: 4})
	r.Inject(Faults{CutAfterTokens: 3, CutResponses: 1})
	response, err := r.post(t, t.Context(), "/v1/chat/completions", "a", chatBody("x", 9, `,"stream":true`))
	require.NoError(t, err)
	defer response.Body.Close()
	_, tokens, done := readStream(t, response.Body, "a")
	assert.Equal(t, 3, tokens)
	assert.False(t, done)
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	for _, check := range []bool{false, true} {
		r := startEngine(t, Config{Name: "e", Model: "m", CheckFencing: check})
		var statuses []int
		for _, fence := range []int{5, 4} {
			body := fmt.Sprintf(`{"kind":"load","value":"v","fence":%d}`, fence)
			response, err := http.Post(r.url+"/orders", "application/json", bytes.NewBufferString(body))
			require.NoError(t, err)
			response.Body.Close()
			statuses = append(statuses, response.StatusCode)
		}
		if check {
			assert.Equal(t, []int{200, 409}, statuses)
		} else {
			assert.Equal(t, []int{200, 200}, statuses)
		}
	}
}

func TestGracefulShutdownCompletesInFlightRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New(Config{Name: "e", Model: "m", TokenTime: 5 * time.Millisecond}, telemetry.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, e.Run(ctx, l)) })
	r := &runningEngine{Engine: e, url: "http://" + l.Addr().String()}
	response, err := r.post(t, t.Context(), "/v1/chat/completions", "a", chatBody("x", 20, `,"stream":true`))
	require.NoError(t, err)
	defer response.Body.Close()
	cancel()
	_, tokens, done := readStream(t, response.Body, "a")
	assert.True(t, done)
	assert.Equal(t, 20, tokens)
	wg.Wait()
}
