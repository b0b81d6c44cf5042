package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// When the caller disconnects, its attempt is cancelled at the agent, except that
// a request that is not idempotent keeps running.
func TestCallerDisconnect(t *testing.T) {
	agentResults := make(chan string, 8)
	release, releaseAgent := newRelease()
	a := startAgent(t, func(_ *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		w := &eventSender{id: request.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		var next rpc.ExecuteOpen
		cancelled := make(chan struct{})
		go func() {
			_ = s.Recv(&next) // fails when the gateway cancels the attempt
			close(cancelled)
		}()
		select {
		case <-cancelled:
			agentResults <- "cancelled " + request.Path
		case <-release:
			agentResults <- "ran on " + request.Path
		}
		return nil
	})
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a), target("s1", "desk", a))})
	t.Cleanup(releaseAgent)
	sendAndDisconnect := func(path, body string) {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+keyA)
		before := a.received.Load()
		done := make(chan struct{})
		go func() {
			defer close(done)
			response, err := g.client.Do(request)
			if err == nil {
				response.Body.Close()
			}
		}()
		require.Eventually(t, func() bool { return a.received.Load() == before+1 }, testTimeout, pollInterval)
		cancel()
		<-done
	}
	sendAndDisconnect("/v1/services/desk/pay", "x")
	sendAndDisconnect(chatPath, chatBody)
	require.Equal(t, "cancelled "+chatPath, <-agentResults)
	releaseAgent()
	require.Equal(t, "ran on /pay", <-agentResults)
}
