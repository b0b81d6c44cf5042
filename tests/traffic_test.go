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

const trafficPause = 10 * time.Millisecond // between the requests of one sender

// failure is an answer that was not whole and right.
type failure struct {
	status int
	code   string
	body   string
}

// traffic is a group of callers that ask, check each answer and go on.
type traffic struct {
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	whole    int
	failures []failure
}

// startTraffic runs one caller per given gateway. Each sends one request after
// the other, streamed and whole in turn.
func startTraffic(t *testing.T, f *fleet, key string, gateways ...int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel}
	for sender, g := range gateways {
		tr.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				tr.ask(f, g, key, fmt.Sprintf("sender %d question %d", sender, n), n%2 == 0)
				time.Sleep(trafficPause)
			}
		})
	}
	t.Cleanup(func() { tr.stop() })
	return tr
}

func (tr *traffic) ask(f *fleet, gateway int, key, text string, stream bool) {
	body := chatRequest(f.vars["MODEL"], text, 8, stream)
	status, answer := send(f.gateway(gateway)+"/v1/chat/completions", key, body)
	ok := status == http.StatusOK && answerText(answer, stream) == expected(body)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ok {
		tr.whole++
		return
	}
	tr.failures = append(tr.failures, failure{status: status, code: errorCode(answer), body: answer})
}

// stop ends the callers after their current request and returns the failures.
func (tr *traffic) stop() []failure {
	tr.cancel()
	tr.wg.Wait()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.failures
}

// answered returns the number of whole answers so far.
func (tr *traffic) answered() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.whole
}

// awaitWhole waits until n more answers were whole.
func (tr *traffic) awaitWhole(f *fleet, n int) {
	f.t.Helper()
	before := tr.answered()
	f.until("traffic goes on", func() bool { return tr.answered() >= before+n })
}

func chatRequest(model, text string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%t}`, model, text, maxTokens, stream)
}

func expected(body string) string {
	text, err := engine.ExpectedText([]byte(body), 0)
	if err != nil {
		panic(err)
	}
	return text
}

// send posts without touching a test's state, so that it may outlive one.
func send(url, key, body string, headers ...string) (int, string) {
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

// answerText returns the text of an answer, or "" when it is not whole.
func answerText(answer string, stream bool) string {
	if !stream {
		return wholeText(answer)
	}
	if !strings.Contains(answer, "data: [DONE]") {
		return ""
	}
	var text strings.Builder
	for line := range strings.Lines(answer) {
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

func wholeText(answer string) string {
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(answer), &whole) != nil || len(whole.Choices) == 0 {
		return ""
	}
	return whole.Choices[0].Message.Content
}

func errorCode(answer string) string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	return body.Error.Code
}

// engineRuns returns the stand-in's own record.
func engineRuns(t *testing.T, f *fleet, i int) engine.Stats {
	t.Helper()
	response, err := http.Get(f.engine(i) + "/debug/runs")
	require.NoError(t, err)
	defer response.Body.Close()
	var runs engine.Stats
	require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

// engineReceived returns the number of requests that reached a stand-in.
func engineReceived(t *testing.T, f *fleet, i int) int {
	t.Helper()
	total := 0
	for _, n := range engineRuns(t, f, i).Received {
		total += n
	}
	return total
}
