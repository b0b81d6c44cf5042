package entry

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// maxEndlessBytes bounds what an endless response may get rid of: the limits of one
// response and what the socket buffers on both sides hold.
const maxEndlessBytes = 16 << 20

// endlessTarget accepts connections, reads the head of a request and responds with
// start and then with filler until the connection is closed.
type endlessTarget struct {
	listener net.Listener
	start    string
	filler   []byte
	pause    time.Duration // after each filler
	most     atomic.Int64  // bytes sent on one connection, the largest number
	requests atomic.Int64
	serving  conc.WaitGroup
}

// addEndlessTarget starts an endless target and adds it to the gateway's targets.
func (f *fixture) addEndlessTarget(start, filler string, pause time.Duration) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	e := &endlessTarget{listener: l, start: start, filler: []byte(filler), pause: pause}
	e.serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.serving.Go(func() { e.serve(conn) })
		}
	})
	f.t.Cleanup(func() {
		l.Close()
		e.serving.Wait()
	})
	report := f.targets[0].Report("llm", "a", 8)
	report.Report.ID, report.Report.Addr = "endless", l.Addr().String()
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	return e
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.requests.Add(1)
	sent := int64(0)
	chunk := []byte(strings.ReplaceAll(e.start, "ID", request.Header.Get("X-Id")))
	for {
		n, err := conn.Write(chunk)
		if sent += int64(n); sent > e.most.Load() {
			e.most.Store(sent)
		}
		if err != nil || sent > 4*maxEndlessBytes {
			return
		}
		chunk = e.filler
		time.Sleep(e.pause)
	}
}

// Incident report: an engine sends bytes without end, in a head or a body, until the
// caller closes. Each response takes bounded memory, the request is answered by
// another target at once, and the endless one gets no further requests for a while.
func TestBytesWithoutEndFillMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"
	line := strings.Repeat("x", 1000)
	cases := map[string]struct{ start, filler string }{
		"header lines": {head, "X-" + line + ": y\r\n"},
		"header line":  {head + "X-Long: ", line},
		"status line":  {"HTTP/1.1 200 ", line},
		"interim":      {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no response":  {"", line},
		"body":         {head + "\r\n", line},
		"long body":    {head + "Content-Length: 99999999999\r\n\r\n", line},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"chunk size":   {head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
		"trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-" + line + ": y\r\n"},
		"stray body":   {"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n", line},
		"event":        {head + "Content-Type: text/event-stream\r\n\r\ndata: ", line},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3})
			endless := f.addEndlessTarget(c.start, c.filler, 0)
			for endless.requests.Load() == 0 {
				response, body, err := f.send("/resume/x", "a")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Contains(t, body, standin.EventData("a", 3))
			}
			assert.Less(t, endless.most.Load(), int64(maxEndlessBytes))
			response, _, err := f.send("/resume/x", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, int64(1), endless.requests.Load(), "the target must be avoided")
		})
	}
}

// A head, or the body of a refusal, that comes byte by byte holds up its request for
// a bounded time only.
func TestSlowHeadEndsBeforeDeadline(t *testing.T) {
	cases := map[string]struct{ start, filler string }{
		"head":    {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"refusal": {"HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3})
			endless := f.addEndlessTarget(c.start, c.filler, 5*time.Millisecond)
			for endless.requests.Load() == 0 {
				response, _, err := f.send("/safe/x", "a")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
			}
		})
	}
}
