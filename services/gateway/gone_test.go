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

// When a caller gives up, its attempt is cancelled at the agent; a call that
// may not be repeated runs on.
func TestCallerGone(t *testing.T) {
	ended := make(chan string, 8)
	release, open := gate()
	a := startAgent(t, func(_ *fakeAgent, request *rpc.ExecuteOpen, s *wire.Stream) error {
		w := &answerer{id: request.ID, s: s}
		_ = w.send(rpc.EventSent, "")
		var more rpc.ExecuteOpen
		gone := make(chan struct{})
		go func() {
			_ = s.Recv(&more) // fails when the gateway ends the attempt
			close(gone)
		}()
		select {
		case <-gone:
			ended <- "cancelled " + request.Path
		case <-release:
			ended <- "ran on " + request.Path
		}
		return nil
	})
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a), target("s1", "desk", a))})
	t.Cleanup(open)
	leave := func(path, body string) {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+keyA)
		before := a.opens.Load()
		done := make(chan struct{})
		go func() {
			defer close(done)
			response, err := g.client.Do(request)
			if err == nil {
				response.Body.Close()
			}
		}()
		require.Eventually(t, func() bool { return a.opens.Load() == before+1 }, waitLimit, pollInterval)
		cancel()
		<-done
	}
	leave("/v1/services/desk/pay", "x")
	leave(chatPath, chatBody)
	require.Equal(t, "cancelled "+chatPath, <-ended)
	open()
	require.Equal(t, "ran on /pay", <-ended)
}
