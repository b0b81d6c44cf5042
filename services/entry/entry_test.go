package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/catalog"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/standin"
)

const (
	patience = 20 * time.Second // liveness only
	host     = "a.example"
)

var dialect = standin.HeaderNames()

// noJobs serves no jobs.
type noJobs struct{}

func (noJobs) Parse(*fasthttp.RequestCtx) (JobCall, bool)                { return JobCall{}, false }
func (noJobs) ParseSubmission(*fasthttp.RequestCtx) (*Submission, error) { return nil, io.EOF }
func (noJobs) WriteResults(*fasthttp.RequestCtx, *Results)               {}

func document() *routing.Document {
	route := func(name string, kind routing.Kind, resumable bool, attempts int) routing.Route {
		return routing.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: patience, Shares: []routing.Share{{Service: "llm", Weight: 1}}}
	}
	return &routing.Document{
		Version:  1,
		Services: []routing.Service{{Name: "llm"}},
		Routes: []routing.Route{
			route("safe", routing.Idempotent, false, 3),
			route("once", routing.NonIdempotent, false, 1),
			route("stream", routing.Stream, false, 2),
			route("resume", routing.Stream, true, 3),
		},
		Workspaces: []routing.Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "slow", Keys: []string{"k2"}, RatePerSecond: 1, Burst: 1}},
	}
}

// fixture is a gateway with stand-in targets.
type fixture struct {
	t        *testing.T
	gateway  *Server
	follower *follow.Follower
	addr     string
	targets  []*standin.Target
	stop     context.CancelFunc
	ended    chan error
}

func newFixture(t *testing.T, behaviours ...standin.Behaviour) *fixture {
	return newFixtureWith(t, func(*Config) {}, behaviours...)
}

// newFixtureWith lets the test change the settings of the gateway.
func newFixtureWith(t *testing.T, change func(*Config), behaviours ...standin.Behaviour) *fixture {
	f := &fixture{t: t, ended: make(chan error, 1)}
	f.follower = follow.New(follow.Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func([]byte) (*routing.Document, error) { return document(), nil },
		Log:    telemetry.Discard(),
	})
	push := &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: 1, Version: 1}, nil)}
	for i, b := range behaviours {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), dialect, b)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		push.Targets = append(push.Targets, target.Report("llm", "a", 8))
	}
	f.follower.Take(time.Now(), "test", push)
	config := Config{Name: "g", DataCentre: "a", Follower: f.follower, HeaderNames: dialect, Jobs: noJobs{},
		Log: telemetry.Discard(), Metrics: metrics.NewRegistry(), Grace: 8 * time.Second, Notice: time.Millisecond}
	change(&config)
	f.gateway = New(config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = l.Addr().String()
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { f.ended <- f.gateway.Serve(ctx, l) })
	t.Cleanup(func() {
		f.stop()
		wg.Wait()
	})
	return f
}

// answer is the head of an answer.
type answer struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// ask sends a request and returns the answer with its body, and the error that
// ended the body.
func (f *fixture) ask(path, id string, headers ...string) (answer, string, error) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.addr+path, strings.NewReader("body of "+id))
	require.NoError(f.t, err)
	request.Host = host
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Key", "k1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, response.Close}, string(body), err
}

func (f *fixture) runs() []standin.Run {
	var all []standin.Run
	for _, target := range f.targets {
		all = append(all, target.Runs()...)
	}
	return all
}

func events(id string, from, to int64) string {
	var all strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
	}
	return all.String()
}

func TestARequestReachesItsTargetUnchanged(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	response, body, err := f.ask("/safe/%41b//c?x=1&y=%20", "r1", "X-Workspace", "forged", "X-Other", "kept", "X-Deadline", "5000")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, standin.ResponseBody("r1"), body)
	assert.Equal(t, standin.Signature("r1"), response.Header.Get("X-Signature"))
	run := f.runs()[0]
	assert.Equal(t, "/safe/%41b//c?x=1&y=%20", run.URI)
	assert.Equal(t, host, run.Host)
	assert.Equal(t, "body of r1", run.Body)
	assert.Equal(t, "w1", run.Workspace, "the workspace of the key, whatever the caller says")
	assert.Equal(t, "kept", run.Header.Get("X-Other"))
	assert.Empty(t, run.Header.Get("X-Key"), "keys are not passed on")
	assert.Equal(t, "t0", run.Header.Get("X-Expect"))
	assert.NotEmpty(t, run.Header.Get("X-Deadline"))
}

func TestWhoMayNot(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	cases := []struct {
		path, key string
		status    int
	}{
		{"/nowhere/1", "k1", http.StatusNotFound},
		{"/safe/1", "k9", http.StatusUnauthorized},
		{"/safe/1", "", http.StatusUnauthorized},
	}
	for _, c := range cases {
		response, _, _ := f.ask(c.path, "r", "X-Key", c.key)
		assert.Equal(t, c.status, response.StatusCode, c)
	}
	assert.Empty(t, f.runs())
}

// Where keys that are taken away must end everywhere, a gateway that cannot
// confirm its document refuses; elsewhere it serves on.
func TestAGatewayThatIsOutOfDateRefusesWhereItMust(t *testing.T) {
	const bound = time.Hour
	f := newFixtureWith(t, func(c *Config) { c.RefuseStaleAfter = bound }, standin.Behaviour{})
	confirm := func(age time.Duration) {
		ms := age.Milliseconds()
		f.follower.Take(time.Now(), "test", &rpc.FollowPush{Confirmed: &ms})
	}
	confirm(bound + time.Minute)
	response, _, err := f.ask("/safe/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Error(t, f.gateway.Ready())
	assert.Empty(t, f.runs())
	confirm(bound - time.Minute)
	confirm(bound + time.Minute)
	response, _, err = f.ask("/safe/1", "r2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, "the newest confirmation counts")
	assert.NoError(t, f.gateway.Ready())
}

func TestOverTheRateIsRefusedWithATime(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	refused := 0
	for i := range 5 {
		response, _, _ := f.ask("/safe/1", fmt.Sprint("r", i), "X-Key", "k2")
		if response.StatusCode == http.StatusTooManyRequests {
			refused++
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
	assert.GreaterOrEqual(t, refused, 3)
	assert.Len(t, f.runs(), 5-refused)
}

func TestWhatDidNotRunGoesElsewhere(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true}, standin.Behaviour{})
	for i, path := range []string{"/safe/1", "/once/1"} {
		response, _, _ := f.ask(path, fmt.Sprint("r", i))
		assert.Equal(t, http.StatusOK, response.StatusCode, path)
	}
	assert.Len(t, f.runs(), 2)
}

func TestWhatAllRefuseDidNotRun(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true})
	response, _, _ := f.ask("/once/1", "r")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Empty(t, f.runs())
}

// A failure after which nobody knows whether the request ran promises nothing,
// unless the request may run again.
func TestWhatMayHaveRun(t *testing.T) {
	f := newFixture(t, standin.Behaviour{NoSignature: true}, standin.Behaviour{NoSignature: true})
	response, body, _ := f.ask("/once/1", "r1")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.NotContains(t, body, standin.ResponseBody("r1"))
	assert.Len(t, f.runs(), 1)
	response, _, _ = f.ask("/safe/1", "r2")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Len(t, f.runs(), 3, "one that may run again has been to both")
}

func TestFailuresOfTheTargetAreTriedElsewhere(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Status: http.StatusInternalServerError}, standin.Behaviour{Status: http.StatusInternalServerError})
	response, _, _ := f.ask("/safe/1", "r1")
	assert.Contains(t, []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable}, response.StatusCode)
	assert.Len(t, f.runs(), 2)
	response, _, _ = f.ask("/once/1", "r2")
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode, "the answer of the target itself")
	assert.Equal(t, standin.Signature("r2"), response.Header.Get("X-Signature"))
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	f := newFixture(t, standin.Behaviour{StrayResponse: true})
	_, body, err := f.ask("/once/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, standin.ResponseBody("r1"), body)
}

func TestStreams(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20})
	response, body, err := f.ask("/stream/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, events("r1", 1, 20), body)
	assert.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	_, body, err = f.ask("/resume/1", "r2", "Last-Event-Id", "15")
	require.NoError(t, err)
	assert.Equal(t, events("r2", 16, 20), body)
}

func TestABrokenStreamNeverLooksWhole(t *testing.T) {
	for _, torn := range []bool{false, true} {
		f := newFixture(t, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: torn})
		_, body, err := f.ask("/stream/1", "r1")
		assert.Error(t, err)
		assert.Equal(t, events("r1", 1, 7), body, "whole events only")
		assert.Len(t, f.runs(), 1)
	}
}

func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	for _, torn := range []bool{false, true} {
		f := newFixture(t, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: torn}, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: torn}, standin.Behaviour{Events: 20})
		_, body, err := f.ask("/resume/1", "r1")
		require.NoError(t, err)
		assert.Equal(t, events("r1", 1, 20), body)
	}
}

func TestTheTargetStopsWhenTheCallerLeaves(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 100_000, Pause: 10 * time.Millisecond})
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /stream/1 HTTP/1.1\r\nHost: %s\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", host)
	_, err = bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	conn.Close()
	assert.Eventually(t, func() bool {
		runs := f.runs()
		return len(runs) == 1 && runs[0].CallerClosed && len(f.follower.Targets.Own(0)) == 0
	}, patience, time.Millisecond)
}

// A gateway that stops refuses what comes late, so that nothing is cut off by
// the end of its grace (nsl-dakar
// trouble-1: a request taken 7 s after the order to stop was cut off).
func TestAStoppingGatewayRefusesWhatComesLate(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	f.gateway.draining.Store(true)
	response, _, _ := f.ask("/safe/1", "r1")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close, "callers are to open their next connection elsewhere")
	f.gateway.closing.Store(true)
	response, _, _ = f.ask("/safe/1", "r2")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Len(t, f.runs(), 1)
}

func TestAmbiguousLengthsAreRefused(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /safe/1 HTTP/1.1\r\nHost: %s\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", host)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Empty(t, f.runs())
}

func TestAGatewayWithoutDocumentPromises(t *testing.T) {
	f := newFixture(t)
	f.gateway.follower = follow.New(follow.Config{Log: telemetry.Discard()})
	response, _, _ := f.ask("/safe/1", "r1")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Error(t, f.gateway.Ready())
}
