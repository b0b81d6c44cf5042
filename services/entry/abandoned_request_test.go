package entry

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// A gateway that was frozen finds requests whose callers have left in the meantime.
// None of them may reach a target, and the one whose caller still waits is served.
func TestAbandonedRequestsAreNotSentAfterFreeze(t *testing.T) {
	registry := metrics.NewRegistry()
	var waiting net.Conn
	sendRequest := func(addr, path, id string) net.Conn {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: k1\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n", path, routeHost, id)
		require.NoError(t, err)
		return conn
	}
	f := newFixtureBehind(t, func(c *Config) { c.Metrics = registry }, func(addr string) {
		for i, path := range []string{"/safe/1", "/once/1", "/stream/1", "/resume/1"} {
			require.NoError(t, sendRequest(addr, path, fmt.Sprintf("left-%d", i)).Close())
		}
		waiting = sendRequest(addr, "/safe/1", "waits")
	}, standin.Behaviour{})
	defer waiting.Close()
	gone, found := registry.Get("entry.callers.gone").(metrics.Counter)
	require.True(t, found)
	require.Eventually(t, func() bool { return gone.Count() == 4 }, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return len(f.allRuns()) == 1 }, waitTimeout, time.Millisecond)
	require.Equal(t, "waits", f.allRuns()[0].ID)
}
