package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// addLongTarget adds a target whose streams have a number of events of 1 kB. sent gets an
// element when all of one have been written, or when a write has failed.
func (f *fixture) addLongTarget(events int) (sent chan bool) {
	sent = make(chan bool, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerNames.RequestID)
		w.Header().Set(headerNames.RequestID, id)
		w.Header().Set(headerNames.Signature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		filler := strings.Repeat("x", 1000)
		for n := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, filler); err != nil {
				sent <- false
				return
			}
		}
		sent <- true
	}))
	f.t.Cleanup(server.Close)
	report := f.targets[0].Report("llm", "a", 8)
	report.Report.ID, report.Report.Addr = "long", server.Listener.Addr().String()
	gone := f.targets[0].Report("llm", "a", 8)
	gone.Report.Sequence, gone.Report.State = 2, 2
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report, gone}})
	return sent
}

// sendSlowly sends a request and returns its connection, from which nothing is read yet.
func (f *fixture) sendSlowly(id string) net.Conn {
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	require.NoError(f.t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", routeHost, id)
	require.NoError(f.t, err)
	return conn
}

func receive(t *testing.T, from <-chan bool) bool {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(waitTimeout):
		require.Fail(t, "the target still sends")
		return false
	}
}

// A caller that does not read for a while gets its whole response, and the target is rid
// of it before. Guards against a bound that ends responses of ordinary size.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	sent := f.addLongTarget(900)
	conn := f.sendSlowly("a")
	assert.True(t, receive(t, sent), "the target has sent everything though the caller reads nothing")
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(1<<20))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, 900, strings.Count(string(body), "id: "))
	assert.Eventually(t, func() bool { return f.gateway.ahead.held.Value() == 0 }, waitTimeout, time.Millisecond)
}

// What is held for one caller that reads nothing is bounded. Its response is ended
// before it is complete, and others are served.
func TestResponseOfSlowCallerIsEnded(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	sent := f.addLongTarget(20_000)
	conn := f.sendSlowly("a")
	assert.False(t, receive(t, sent), "the gateway has ended the request")
	assert.Eventually(t, func() bool {
		return f.gateway.ahead.ended.Count() == 1 && f.gateway.openRequests.Load() == 0
	}, waitTimeout, time.Millisecond)
	assert.Zero(t, f.gateway.ahead.held.Value())
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<20))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
	}
	require.Error(t, err, "it must not look complete")
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Above the bound for all responses, the one that holds most is ended, not those of
// callers that read.
func TestLargestResponseIsEndedFirst(t *testing.T) {
	a := newReadAhead(memoryPart*10_000, metrics.NewRegistry())
	var ended []string
	queue := func(name string) *eventQueue { return a.newQueue(func() { ended = append(ended, name) }) }
	small, large := queue("small"), queue("large")
	small.put(make([]byte, 2000))
	large.put(make([]byte, 4000))
	large.put(make([]byte, 3000))
	assert.Empty(t, ended)
	small.put(make([]byte, 2000))
	assert.Equal(t, []string{"large"}, ended)
	_, err := large.next()
	require.ErrorIs(t, err, errCallerSlow)
	small.end(io.EOF)
	for range 2 {
		event, err := small.next()
		require.NoError(t, err)
		assert.Len(t, event, 2000)
	}
	_, err = small.next()
	require.ErrorIs(t, err, io.EOF)
	assert.Zero(t, a.used)
	assert.Empty(t, a.queues)
}
