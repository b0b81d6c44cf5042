package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/engine"
)

const requestPause = 10 * time.Millisecond // between the requests of one caller

// failure is a response other than the complete expected one.
type failure struct {
	status int
	code   string
	body   string
}

// traffic is a group of callers that send requests and check each response.
type traffic struct {
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	correct  int // number of correct responses
	failures []failure
}

// startTraffic runs one caller per given gateway until stop is called. Each sends
// one request after the other, alternately with a streamed and a plain response.
func startTraffic(t *testing.T, f *fleet, key string, gateways ...int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel}
	for caller, g := range gateways {
		tr.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				tr.sendAndCheck(f, g, key, fmt.Sprintf("sender %d question %d", caller, n), n%2 == 0)
				time.Sleep(requestPause)
			}
		})
	}
	t.Cleanup(func() { tr.stop() })
	return tr
}

// sendAndCheck sends a chat request and counts its response as correct or failed.
func (tr *traffic) sendAndCheck(f *fleet, gateway int, key, text string, stream bool) {
	body := chatRequest(f.env["MODEL"], text, 8, stream)
	status, response := post(f.gatewayURL(gateway)+"/v1/chat/completions", key, body)
	correct := status == http.StatusOK && responseText(response, stream) == expectedText(body)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if correct {
		tr.correct++
		return
	}
	tr.failures = append(tr.failures, failure{status: status, code: errorCode(response), body: response})
}

// stop stops the callers after their current request and returns the failures.
func (tr *traffic) stop() []failure {
	tr.cancel()
	tr.wg.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failures
}

// correctCount returns the number of correct responses so far.
func (tr *traffic) correctCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.correct
}

// awaitCorrect waits until the callers have received n more correct responses.
func (tr *traffic) awaitCorrect(f *fleet, n int) {
	f.t.Helper()
	before := tr.correctCount()
	f.eventually("callers get more correct responses", func() bool { return tr.correctCount() >= before+n })
}

// chatRequest returns the body of a chat completion request.
func chatRequest(model, text string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`, model, text, maxTokens, stream)
}

// expectedText returns the text that a simulated engine generates for a request.
func expectedText(body string) string {
	text, err := engine.ExpectedText([]byte(body), 0)
	if err != nil {
		panic(err)
	}
	return text
}

// post sends a POST request and returns the status and the body as far as it was
// received. Without a response the status is 0 and the text is the error. It does
// not use a *testing.T, so that goroutines which outlive their test may call it.
func post(url, key, body string, headers ...string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return response.StatusCode, b.String()
}

// responseText returns the generated text of a response, or "" if the response is
// incomplete.
func responseText(body string, stream bool) string {
	if !stream {
		return chatCompletionText(body)
	}
	if !strings.Contains(body, "data: [DONE]") {
		return ""
	}
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return ""
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

// chatCompletionText returns the generated text of a plain response.
func chatCompletionText(body string) string {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(body), &completion) != nil || len(completion.Choices) == 0 {
		return ""
	}
	return completion.Choices[0].Message.Content
}

// errorCode returns the code of an error response, or "" for other responses.
func errorCode(body string) string {
	var decoded struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &decoded)
	return decoded.Error.Code
}

// fetchEngineRuns returns what simulated engine i recorded of its requests.
func fetchEngineRuns(t *testing.T, f *fleet, i int) engine.Stats {
	t.Helper()
	response, err := http.Get(f.engineURL(i) + "/debug/runs")
	require.NoError(t, err)
	defer response.Body.Close()
	var runs engine.Stats
	require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

// receivedCount returns the number of requests that reached simulated engine i.
func receivedCount(t *testing.T, f *fleet, i int) int {
	t.Helper()
	total := 0
	for _, n := range fetchEngineRuns(t, f, i).Received {
		total += n
	}
	return total
}
