package tests

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/controlclient"
)

// waitMaxStaleness waits until every process has either received a confirmation of
// its state from control or must stop using it.
func (f *fleet) waitMaxStaleness() {
	time.Sleep(controlclient.DefaultMaxStaleness + 500*time.Millisecond)
}

// Agents, engines and the control leader are killed with batch items in flight:
// each item completes exactly once.
func TestWorkersKilledMidBatch(t *testing.T) {
	f := startFleet(t)
	client := f.openAIClient(0, f.env["KEY_A"])
	submitted := submitBatch(t, client, batchFile(f.env["MODEL"], 300, 0, 16))
	f.eventually("some items are completed", func() bool {
		batch, err := client.Batches.Get(t.Context(), submitted.ID)
		return err == nil && batch.RequestCounts.Completed > 20
	})
	for _, name := range []string{"agent-1", "engine-2", "agent-3", "engine-3"} {
		f.signal(name, "KILL")
	}
	f.signal(f.awaitLeader(), "KILL")
	for _, name := range []string{"agent-1", "engine-2", "agent-3", "engine-3"} {
		f.start(name)
	}
	done := awaitBatch(t, f, client, submitted.ID, openai.BatchStatusCompleted)
	total, distinct := countItems(fileLines(t, client, done.OutputFileID))
	assert.Equal(t, 300, total)
	assert.Equal(t, 300, distinct)
	assert.Zero(t, done.RequestCounts.Failed)
}

// A data centre is taken out of service and back in under traffic: no request
// fails, and its engines get no new work while it is out.
func TestDataCentreOutAndIn(t *testing.T) {
	f := startFleet(t)
	callers := startTraffic(t, f, f.env["KEY_A"], 0, 1, 2)
	callers.awaitCorrect(f, 30)
	_, err := f.banyanctl("data-centre", "out", "lv-east-a")
	require.NoError(t, err)
	f.waitMaxStaleness()
	receivedBefore := receivedCount(t, f, 0) + receivedCount(t, f, 3)
	callers.awaitCorrect(f, 60)
	assert.Equal(t, receivedBefore, receivedCount(t, f, 0)+receivedCount(t, f, 3), "new work in a data centre that is out")
	_, err = f.banyanctl("data-centre", "in", "lv-east-a")
	require.NoError(t, err)
	f.eventually("its engines get work again", func() bool {
		return receivedCount(t, f, 0)+receivedCount(t, f, 3) > receivedBefore
	})
	assert.Empty(t, callers.stop())
}

// One process of each program gets SIGTERM while responses are streamed: none is
// cut off.
func TestGracefulShutdownCutsNothingOff(t *testing.T) {
	f := startFleet(t, "FLEET_ENGINE_ARGS=-token-ms 20")
	for _, name := range []string{"engine-1", "agent-2", "control-1", "gateway-3"} {
		var wg conc.WaitGroup
		responses := make([]string, 12)
		body := chatRequest(f.env["MODEL"], "long "+name, 50, true)
		gateways := []int{0, 1}
		if name == "gateway-3" {
			gateways = []int{2}
		}
		for i := range responses {
			wg.Go(func() {
				_, responses[i] = post(f.gatewayURL(gateways[i%len(gateways)])+"/v1/chat/completions", f.env["KEY_A"], body)
			})
		}
		time.Sleep(300 * time.Millisecond) // until the responses are being streamed
		f.signal(name, "TERM")
		wg.Wait()
		for i, response := range responses {
			assert.Equal(t, expectedText(body), responseText(response, true), "%s, response %d: %s", name, i, response)
		}
	}
}

// A poison request crashes every engine that runs it, and its caller retries it.
// At most two engines may crash before it is refused, and other requests complete.
func TestPoisonStopsAtTwoEngines(t *testing.T) {
	f := startFleet(t)
	callers := startTraffic(t, f, f.env["KEY_A"], 0, 1, 2)
	callers.awaitCorrect(f, 20)
	poison := chatRequest(f.env["MODEL"], "POISON", 4, false)
	f.eventually("every gateway refuses the poison request", func() bool {
		for i := range 3 {
			_, response := post(f.gatewayURL(i)+"/v1/chat/completions", f.env["KEY_B"], poison)
			if errorCode(response) != "306" {
				return false
			}
		}
		return true
	})
	crashed := 0
	for i := 1; i <= 6; i++ {
		if !f.running(fmt.Sprintf("engine-%d", i)) {
			crashed++
		}
	}
	assert.LessOrEqual(t, crashed, 2)
	callers.awaitCorrect(f, 20)
	assert.Empty(t, callers.stop())
}

// The gateway that answered a request is killed. A retry through another gateway
// gets the same response and does not run the request again; another request with
// the same key is refused.
func TestIdempotencyKeySurvivesGateway(t *testing.T) {
	f := startFleet(t)
	path := "/v1/services/" + f.env["SERVICE"] + "/payments"
	body := `{"order":"one bell"}`
	status, first := post(f.gatewayURL(0)+path, f.env["KEY_A"], body, "Idempotency-Key", "order-1")
	require.Equal(t, http.StatusOK, status, first)
	f.signal("gateway-1", "KILL")
	for _, i := range []int{1, 2, 1} {
		status, retried := post(f.gatewayURL(i)+path, f.env["KEY_A"], body, "Idempotency-Key", "order-1")
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, first, retried)
	}
	assert.EqualValues(t, 1, receivedCount(t, f, 6)+receivedCount(t, f, 7))
	_, other := post(f.gatewayURL(1)+path, f.env["KEY_A"], `{"order":"two bells"}`, "Idempotency-Key", "order-1")
	assert.Equal(t, "407", errorCode(other))
}

// Keys, operator tokens and prompts never appear in a log, even at level debug.
func TestSecretsStayOutOfLogs(t *testing.T) {
	f := startFleet(t, "FLEET_LOG_LEVEL=debug")
	const secret = "a-prompt-that-nobody-may-log"
	body := chatRequest(f.env["MODEL"], secret, 2, false)
	url := f.gatewayURL(0) + "/v1/chat/completions"
	status, response := post(url, f.env["KEY_A"], body)
	require.Equal(t, http.StatusOK, status, response)
	for _, key := range []string{"wrong-key-text", ""} {
		status, _ = post(url, key, body)
		assert.Equal(t, http.StatusUnauthorized, status)
	}
	_, _ = post(url+"?api_key="+f.env["KEY_A"], f.env["KEY_A"], body, "X-Api-Key", f.env["KEY_A"], "Cookie", f.env["KEY_A"])
	_, err := f.banyanctl("status")
	require.NoError(t, err)
	for _, text := range []string{secret, f.env["KEY_A"], f.env["OPERATOR_TOKEN"], "wrong-key-text"} {
		assert.Empty(t, f.logsContaining(text), strings.ToUpper(text[:6]))
	}
}
