package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/standin"
)

// requireServing fails if the gateway has returned from Serve, after which its process
// exits.
func (f *fixture) requireServing() {
	f.t.Helper()
	select {
	case err := <-f.serveErr:
		f.t.Fatalf("the gateway has ended: %v", err)
	default:
	}
}

// beginRequest sends the head of a request with a body of size bytes on a connection of its
// own, and the body's first byte.
func (f *fixture) beginRequest(path, id string, size int) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\nb", path, routeHost, id, size)
	require.NoError(f.t, err)
	return conn
}

// Guards against a gateway that ends while it reads a request: it counted requests from their
// handler on, called itself drained, and cut the request after it had passed it on
// (LOST on muuttorengas-banyan-grown).
func TestStopServesRequestsBeingRead(t *testing.T) {
	for name, path := range map[string]string{"plain": "/once/1", "stream": "/stream/1"} {
		t.Run(name, func(t *testing.T) {
			behaviour := standin.Behaviour{Delay: 200 * time.Millisecond}
			if name == "stream" {
				behaviour.Events, behaviour.Pause = 10, 20*time.Millisecond
			}
			f := newFixture(t, behaviour)
			conn := f.beginRequest(path, "slow", 2)
			require.Eventually(t, func() bool { return f.gateway.openConns.Load() == 1 }, waitTimeout, time.Millisecond)
			f.stop()
			time.Sleep(10 * drainPollInterval)
			f.requireServing()
			_, err := io.WriteString(conn, "b")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(f.allRuns()) == 1 }, waitTimeout, time.Millisecond)
			f.requireServing()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, http.StatusOK, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			if name == "stream" {
				assert.Equal(t, eventText("slow", 1, 10), string(body))
			} else {
				assert.Equal(t, standin.ResponseBody("slow"), string(body))
			}
			assert.NoError(t, <-f.serveErr)
			assert.Zero(t, f.gateway.openConns.Load())
		})
	}
}

// Guards against requests that the end of the grace period cuts without an answer, among
// them some that must not be repeated.
func TestEndOfGraceAnswersRunningRequests(t *testing.T) {
	behaviour := standin.Behaviour{Events: 1, Delay: waitTimeout}
	f := newFixtureWithConfig(t, func(c *Config) { c.Grace = 3 * time.Second }, behaviour, behaviour)
	conns := make(map[string]net.Conn)
	for _, route := range []string{"once", "safe", "stream", "resume"} {
		conns[route] = f.beginRequest("/"+route+"/1", route, 1)
	}
	require.Eventually(t, func() bool { return len(f.allRuns()) == len(conns) }, waitTimeout, time.Millisecond)
	f.stop()
	for route, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, route)
		response.Body.Close()
		assert.Equal(t, http.StatusBadGateway, response.StatusCode, "%s may have run", route)
		assert.True(t, response.Close, route)
	}
	assert.NoError(t, <-f.serveErr)
	assert.Len(t, f.allRuns(), len(conns), "no other target gets them")
}

// Guards against a request that is read to its end late in the grace period and passed on
// though it may not end in time: it is refused, which its caller may take elsewhere.
func TestRequestReadLateIsRefused(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	conn := f.beginRequest("/once/1", "late", 2)
	require.Eventually(t, func() bool { return f.gateway.openConns.Load() == 1 }, waitTimeout, time.Millisecond)
	f.stop()
	require.Eventually(t, f.gateway.rejecting.Load, waitTimeout, time.Millisecond)
	f.requireServing()
	_, err := io.WriteString(conn, "b")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.NoError(t, <-f.serveErr)
	assert.Empty(t, f.allRuns())
}

// Guards against releases, reports of crashes and of streams that are queued when a gateway
// ends, and lost: slots stay taken until their requests' deadlines, and nobody learns
// where a stream began.
func TestLastReportsAreSent(t *testing.T) {
	f := newFixture(t)
	var released, begun atomic.Int64
	f.serveStorage(func(server *wire.Server) {
		wire.HandleUnary(server, rpc.MethodSlotRelease, func(_ context.Context, r *rpc.SlotRelease) (*rpc.Ack, error) {
			released.Add(int64(len(r.IDs)))
			return &rpc.Ack{}, nil
		})
		wire.HandleUnary(server, rpc.MethodStreamBegun, func(_ context.Context, r *rpc.StreamsBegun) (*rpc.Ack, error) {
			begun.Add(int64(len(r.Begun)))
			return &rpc.Ack{}, nil
		})
	})
	broker := f.follower.StorageHosts()[0].ID
	ended, end := context.WithCancel(t.Context())
	end()
	jobs := newJobClient(f.follower)
	for n := range uint64(10) { // whichever of the end and the queue a sender sees first
		slots := newSlots(f.follower, jobs)
		slots.releases <- release{broker: broker, id: rpc.SlotID{Incarnation: 1, Number: n}}
		slots.sendReleases(ended)
		origins := newStreamOrigins(f.follower, jobs, metrics.NewCounter())
		origins.begun(streams.KeyOf("w", "s"), streams.Origin{Service: "llm"}, false)
		origins.run(ended)
	}
	assert.Equal(t, int64(10), released.Load())
	assert.Equal(t, int64(10), begun.Load())
}
