package entry

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// cutTargets are targets that send given responses. Only one request is under way at a time.
type cutTargets struct {
	f        *fixture
	raw      []*standin.Raw
	names    []string
	first    standin.Cut                       // to the first request
	then     func(r *http.Request) standin.Cut // to all later ones
	requests atomic.Int64
}

func (f *fixture) addCutTargets(count int) *cutTargets {
	f.t.Helper()
	c := &cutTargets{f: f}
	for i := range count {
		raw, err := standin.NewCut(func(r *http.Request) standin.Cut {
			if c.requests.Add(1) == 1 {
				return c.first
			}
			return c.then(r)
		})
		require.NoError(f.t, err)
		f.t.Cleanup(raw.Close)
		c.raw = append(c.raw, raw)
		named := standin.Target{ID: fmt.Sprint("cut", i), Addr: raw.Addr}
		c.names = append(c.names, named.ID)
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{named.Report("llm", "a", 8)}})
	}
	return c
}

// prepare sets the responses to the next request. It waits until the connections of the last
// one are closed: one that is closed as the next request is sent on it is no cut response.
func (c *cutTargets) prepare(first standin.Cut, then func(r *http.Request) standin.Cut) {
	for _, raw := range c.raw {
		for raw.OpenConns() > 0 {
			time.Sleep(20 * time.Microsecond)
		}
	}
	c.first, c.then = first, then
	c.requests.Store(0)
	for _, name := range c.names { // those that failed are avoided for a while
		c.f.follower.Targets.Succeeded(name)
	}
}

// keptCaller is a caller that uses one connection as long as it may, so that bytes that are no
// part of a response show in the next one.
type keptCaller struct {
	f      *fixture
	conn   net.Conn
	reader *bufio.Reader
}

// callResult is what a caller sees of its request. Status 0: the connection was closed without
// a response.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error // that ended the body
}

func (k *keptCaller) call(method, path, id string) callResult {
	k.f.t.Helper()
	if k.conn == nil {
		conn, err := net.Dial("tcp", k.f.addr)
		require.NoError(k.f.t, err)
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	_, err := fmt.Fprintf(k.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\n%s", method, path, routeHost, id, len(id), id)
	require.NoError(k.f.t, err)
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		k.close()
		return callResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.Close || err != nil {
		k.close()
	}
	return callResult{response.StatusCode, response.Header, string(body), err}
}

func (k *keptCaller) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// cutCase is one response, cut at one point.
type cutCase struct {
	whole *standin.Response
	cut   standin.Cut
	what  string
}

// requireSound checks what a caller got whose target broke off, after so many requests to
// targets.
func (c *cutCase) requireSound(t *testing.T, got callResult, requests int64) {
	t.Helper()
	what := fmt.Sprintf("%s: %d requests, %+v", c.what, requests, got)
	require.Positive(t, requests, what)
	whole := got.err == nil && (c.cut.Complete && got.body == c.cut.Body || requests > 1 && got.body == c.whole.Body)
	switch status := got.status; {
	case status == 0: // closed without a response
	case status < http.StatusMultipleChoices && got.err != nil:
		require.True(t, strings.HasPrefix(c.whole.Body, got.body), "foreign bytes: %s", what)
	case status < http.StatusBadRequest:
		require.True(t, whole && !c.whole.Refusal, "looks complete: %s", what)
		require.NotEmpty(t, got.header.Get("X-Signature"), what)
	case status == http.StatusServiceUnavailable:
		require.True(t, c.whole.Refusal && c.cut.HeadSent, "may have run: %s", what)
	default:
		require.Equal(t, http.StatusBadGateway, status, what)
		require.Empty(t, got.header.Get("X-Signature"), what)
		require.NoError(t, got.err, what)
	}
	if got.status >= http.StatusMultipleChoices {
		require.NotContains(t, got.body, "#", "foreign bytes: %s", what)
	}
}

// Report of other operators: an engine stopped in the middle of its response's head and closed.
// Callers got a 200 with an empty or short body, framed as whole. Each response is cut after
// each byte, and the connection is closed or reset.
func TestCutResponseLooksComplete(t *testing.T) {
	const anyID = "#0000"
	const eventStream = "Content-Type: text/event-stream\r\n"
	documents, bodiless := standin.Framings(anyID, "", "#body"), standin.BodilessFramings(anyID)
	eventStreams := standin.Framings(anyID, eventStream, eventText(anyID, 1, 2))
	for path, responses := range map[string]map[string]*standin.Response{
		"/once/1": documents, "/once/2": bodiless, "/safe/1": documents, "/safe/2": bodiless,
		"/stream/1": eventStreams, "/resume/1": eventStreams,
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			targets := f.addCutTargets(3)
			caller := &keptCaller{f: f}
			defer caller.close()
			repeatable := strings.HasPrefix(path, "/safe") || strings.HasPrefix(path, "/resume")
			tried, retried := 0, int64(0)
			for framing, response := range responses {
				for n := range 2 * (len(response.Text) + 1) {
					id := fmt.Sprintf("#%04x", tried)
					whole := response.For(anyID, id)
					then := func(r *http.Request) standin.Cut {
						if strings.Contains(whole.Text, eventStream) {
							from, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // 0: from the start
							rest := standin.Framings(id, eventStream, eventText(id, from+1, 2))["chunks"]
							return rest.Cut(len(rest.Text), false)
						}
						return whole.Cut(len(whole.Text), false)
					}
					c := cutCase{whole: whole, cut: whole.Cut(n/2, n%2 == 1)}
					c.what = fmt.Sprintf("%s, %d of %d bytes, reset %v: %q", framing, n/2, len(whole.Text), c.cut.Reset, c.cut.Sent)
					targets.prepare(c.cut, then)
					got := caller.call(cmp.Or(whole.Method, http.MethodPost), path, id)
					requests := targets.requests.Load()
					c.requireSound(t, got, requests)
					if !whole.Refusal && (repeatable || n == 2*len(whole.Text)) {
						require.NoError(t, got.err, c.what)
						require.Less(t, got.status, http.StatusBadRequest, "%s: %+v", c.what, got)
					}
					if !repeatable && !whole.Refusal {
						require.EqualValues(t, 1, requests, "runs twice: %s", c.what)
					}
					tried++
					retried += requests - 1
				}
			}
			t.Logf("%d cuts of %d framings, %d retries", tried, len(responses), retried)
		})
	}
}
