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
	waitTimeout = 20 * time.Second // generous bound on waiting; no test measures it
	routeHost   = "a.example"
)

var headerNames = standin.HeaderNames()

// jobCodecStub is a JobCodec that recognizes no calls.
type jobCodecStub struct{}

func (jobCodecStub) Parse(*fasthttp.RequestCtx) (JobCall, bool)                { return JobCall{}, false }
func (jobCodecStub) ParseSubmission(*fasthttp.RequestCtx) (*Submission, error) { return nil, io.EOF }
func (jobCodecStub) WriteResults(*fasthttp.RequestCtx, *Results)               {}

func document() *routing.Document {
	route := func(name string, kind routing.Kind, resumable bool, attempts int) routing.Route {
		return routing.Route{Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Timeout: waitTimeout, Shares: []routing.Share{{Service: "llm", Weight: 1}}}
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

// fixture runs a gateway with simulated targets.
type fixture struct {
	t        *testing.T
	gateway  *Server
	follower *follow.Follower
	addr     string
	targets  []*standin.Target
	stop     context.CancelFunc
	sequence uint64 // of the latest status report of a target
	serveErr chan error
}

func newFixture(t *testing.T, behaviours ...standin.Behaviour) *fixture {
	return newFixtureWithConfig(t, func(*Config) {}, behaviours...)
}

// newFixtureWithConfig is newFixture with a change to the gateway's settings.
func newFixtureWithConfig(t *testing.T, configure func(*Config), behaviours ...standin.Behaviour) *fixture {
	return newFixtureBehind(t, configure, func(string) {}, behaviours...)
}

// newFixtureBehind is newFixtureWithConfig with a function that is called with the
// gateway's address before the gateway reads from any connection.
func newFixtureBehind(t *testing.T, configure func(*Config), before func(addr string), behaviours ...standin.Behaviour) *fixture {
	f := &fixture{t: t, serveErr: make(chan error, 1)}
	f.follower = follow.New(follow.Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func([]byte) (*routing.Document, error) { return document(), nil },
		Log:    telemetry.Discard(),
	})
	push := &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: 1, Version: 1}, nil)}
	for i, b := range behaviours {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), headerNames, b)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		push.Targets = append(push.Targets, target.Report("llm", "a", 8))
	}
	f.follower.ApplyPush(time.Now(), "test", push)
	config := Config{Name: "g", DataCentre: "a", Follower: f.follower, HeaderNames: headerNames, Jobs: jobCodecStub{},
		Log: telemetry.Discard(), Metrics: metrics.NewRegistry(), Grace: 8 * time.Second, ReadinessDelay: time.Millisecond}
	configure(&config)
	f.gateway = New(config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.addr = l.Addr().String()
	before(f.addr)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { f.serveErr <- f.gateway.Serve(ctx, l) })
	t.Cleanup(func() {
		f.stop()
		wg.Wait()
	})
	return f
}

// responseHead holds the status and the header of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// send sends a request and returns the response, its body and the error that
// ended reading the body.
func (f *fixture) send(path, id string, headers ...string) (responseHead, string, error) {
	f.t.Helper()
	return f.sendWithBody(path, id, "body of "+id, headers...)
}

// sendWithBody is send with a given body.
func (f *fixture) sendWithBody(path, id, sent string, headers ...string) (responseHead, string, error) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.addr+path, strings.NewReader(sent))
	require.NoError(f.t, err)
	request.Host = routeHost
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Key", "k1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return responseHead{response.StatusCode, response.Header, response.Close}, string(body), err
}

func (f *fixture) allRuns() []standin.Run {
	var all []standin.Run
	for _, target := range f.targets {
		all = append(all, target.Runs()...)
	}
	return all
}

func eventText(id string, from, to int64) string {
	var all strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
	}
	return all.String()
}

func TestRequestReachesTargetUnchanged(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	response, body, err := f.send("/safe/%41b//c?x=1&y=%20", "r1", "X-Workspace", "forged", "X-Other", "kept", "X-Deadline", "5000")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, standin.ResponseBody("r1"), body)
	assert.Equal(t, standin.Signature("r1"), response.Header.Get("X-Signature"))
	run := f.allRuns()[0]
	assert.Equal(t, "/safe/%41b//c?x=1&y=%20", run.URI)
	assert.Equal(t, routeHost, run.Host)
	assert.Equal(t, "body of r1", run.Body)
	assert.Equal(t, "w1", run.Workspace, "the workspace of the key, not the one that the caller claims")
	assert.Equal(t, "kept", run.Header.Get("X-Other"))
	assert.Empty(t, run.Header.Get("X-Key"), "keys are not passed on")
	assert.Equal(t, "t0", run.Header.Get("X-Expect"))
	assert.NotEmpty(t, run.Header.Get("X-Deadline"))
}

func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
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
		response, _, _ := f.send(c.path, "r", "X-Key", c.key)
		assert.Equal(t, c.status, response.StatusCode, c)
	}
	assert.Empty(t, f.allRuns())
}

// With RefuseStaleAfter set, a gateway whose document was confirmed too long ago
// refuses requests, so that revoked keys stop working everywhere.
func TestStaleGatewayRefusesWhenConfigured(t *testing.T) {
	const bound = time.Hour
	f := newFixtureWithConfig(t, func(c *Config) { c.RefuseStaleAfter = bound }, standin.Behaviour{})
	confirm := func(age time.Duration) {
		ageMS := age.Milliseconds()
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{ConfirmedAgeMS: &ageMS})
	}
	confirm(bound + time.Minute)
	response, _, err := f.send("/safe/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Error(t, f.gateway.Ready())
	assert.Empty(t, f.allRuns())
	confirm(bound - time.Minute)
	confirm(bound + time.Minute)
	response, _, err = f.send("/safe/1", "r2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, "the newest confirmation counts")
	assert.NoError(t, f.gateway.Ready())
}

func TestRateLimitRefusesWithRetryAfter(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	refused := 0
	for i := range 5 {
		response, _, _ := f.send("/safe/1", fmt.Sprint("r", i), "X-Key", "k2")
		if response.StatusCode == http.StatusTooManyRequests {
			refused++
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
	assert.GreaterOrEqual(t, refused, 3)
	assert.Len(t, f.allRuns(), 5-refused)
}

func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true}, standin.Behaviour{})
	for i, path := range []string{"/safe/1", "/once/1"} {
		response, _, _ := f.send(path, fmt.Sprint("r", i))
		assert.Equal(t, http.StatusOK, response.StatusCode, path)
	}
	assert.Len(t, f.allRuns(), 2)
}

func TestRequestRefusedByAllTargetsDidNotRun(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Refuse: true})
	response, _, _ := f.send("/once/1", "r")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Empty(t, f.allRuns())
}

// After a failure that leaves open whether the request ran, a non-idempotent
// request is answered with 502 and an idempotent one is retried.
func TestUnknownOutcomeIsRetriedOnlyWhenIdempotent(t *testing.T) {
	f := newFixture(t, standin.Behaviour{NoSignature: true}, standin.Behaviour{NoSignature: true})
	response, body, _ := f.send("/once/1", "r1")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.NotContains(t, body, standin.ResponseBody("r1"))
	assert.Len(t, f.allRuns(), 1)
	response, _, _ = f.send("/safe/1", "r2")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Len(t, f.allRuns(), 3, "an idempotent request is tried at both targets")
}

func TestServerErrorIsRetriedWhenIdempotent(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Status: http.StatusInternalServerError}, standin.Behaviour{Status: http.StatusInternalServerError})
	response, _, _ := f.send("/safe/1", "r1")
	assert.Contains(t, []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable}, response.StatusCode)
	assert.Len(t, f.allRuns(), 2)
	response, _, _ = f.send("/once/1", "r2")
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode, "the answer of the target itself")
	assert.Equal(t, standin.Signature("r2"), response.Header.Get("X-Signature"))
}

func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	f := newFixture(t, standin.Behaviour{StrayResponse: true})
	_, body, err := f.send("/once/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, standin.ResponseBody("r1"), body)
}

func TestStreams(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 20})
	response, body, err := f.send("/stream/1", "r1")
	require.NoError(t, err)
	assert.Equal(t, eventText("r1", 1, 20), body)
	assert.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	_, body, err = f.send("/resume/1", "begun")
	require.NoError(t, err)
	assert.Equal(t, eventText("begun", 1, 20), body)
	_, body, err = f.send("/resume/1", "r2", "Last-Event-Id", "15", "X-Resumes", "begun")
	require.NoError(t, err)
	assert.Equal(t, eventText("r2", 16, 20), body)
}

func TestBrokenStreamIsNotTerminated(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		f := newFixture(t, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: truncated})
		_, body, err := f.send("/stream/1", "r1")
		assert.Error(t, err)
		assert.Equal(t, eventText("r1", 1, 7), body, "whole events only")
		assert.Len(t, f.allRuns(), 1)
	}
}

func TestResumableStreamContinuesAtAnotherTarget(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		f := newFixture(t, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: truncated}, standin.Behaviour{Events: 20, BreakAfter: 7, TruncateEvent: truncated}, standin.Behaviour{Events: 20})
		_, body, err := f.send("/resume/1", "r1")
		require.NoError(t, err)
		assert.Equal(t, eventText("r1", 1, 20), body)
	}
}

func TestTargetIsCanceledWhenCallerDisconnects(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 100_000, Pause: 10 * time.Millisecond})
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /stream/1 HTTP/1.1\r\nHost: %s\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", routeHost)
	_, err = bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	conn.Close()
	assert.Eventually(t, func() bool {
		runs := f.allRuns()
		return len(runs) == 1 && runs[0].CallerClosed && len(f.follower.Targets.OwnLoads(0)) == 0
	}, waitTimeout, time.Millisecond)
}

// A draining gateway refuses late requests, so that the end of the grace period
// cuts none off. Without this, a request accepted 7 s after the shutdown signal
// was cut off (site nsl-dakar, trial trouble-1).
func TestDrainingGatewayRefusesLateRequests(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	f.gateway.draining.Store(true)
	response, _, _ := f.send("/safe/1", "r1")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close, "callers must reconnect to another gateway")
	f.gateway.rejecting.Store(true)
	response, _, _ = f.send("/safe/1", "r2")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Len(t, f.allRuns(), 1)
}

func TestAmbiguousBodyLengthIsRefused(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /safe/1 HTTP/1.1\r\nHost: %s\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", routeHost)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Empty(t, f.allRuns())
}

func TestGatewayWithoutDocumentAnswers503(t *testing.T) {
	f := newFixture(t)
	f.gateway.follower = follow.New(follow.Config{Log: telemetry.Discard()})
	response, _, _ := f.send("/safe/1", "r1")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Error(t, f.gateway.Ready())
}
