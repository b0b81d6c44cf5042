package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/auth"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const (
	keyA         = "key-of-alpha"
	keyB         = "key-of-beta"
	testTimeout  = 20 * time.Second // only against hanging tests
	pollInterval = time.Millisecond
	chatPath     = "/v1/chat/completions"
	chatBody     = `{"model":"m1","messages":[{"role":"user","content":"hi"}]}`
	streamBody   = `{"model":"m1","stream":true,"messages":[]}`
	bundleSource = `
version: 1
data_centres: [{name: dc1, region: r}, {name: dc2, region: r}]
models: [{name: m1, kind: model}, {name: m2, kind: model}, {name: desk, kind: service}]
routes:
  - {path: /v1/chat/completions, idempotent: true}
  - {path: /v1/completions, idempotent: true}
  - {path: /v1/models, idempotent: true}
  - {path: /v1/services/desk, service: desk}
  - {path: /v1/services/desk/safe, service: desk, idempotent: true}
  - {path: /v1/services/desk/open, service: desk, idempotent: true, open: true}
workspaces:
  - {name: alpha, rate: 1000, burst: 1000, weight: 1, keys: [{digest: %s}]}
  - {name: beta, rate: 1000, burst: 1000, weight: 1, models: [m2], keys: [{digest: %s}]}
limits: {max_body_bytes: 100000, max_batch_file_bytes: 100000, max_batch_items: 100, max_item_attempts: 3, max_attempts: 3, retry_ratio: 0.1, request_timeout: 20s, open_rate: 100, open_burst: 100}
`
)

// fakeState is a fleet state that the test sets.
type fakeState struct {
	view  atomic.Pointer[fleet.View]
	stale atomic.Bool
}

func (f *fakeState) View() *fleet.View    { return f.view.Load() }
func (f *fakeState) Fresh(time.Time) bool { return !f.stale.Load() }

func newFakeState(t testing.TB, targets ...fleet.Target) *fakeState {
	source := fmt.Sprintf(bundleSource, auth.KeyDigest(keyA), auth.KeyDigest(keyB))
	_, err := bundle.Load([]byte(source))
	require.NoError(t, err)
	view, err := (&fleet.View{}).Apply(fleet.Update{
		Revision: 1,
		Full:     true,
		Bundle:   &bundle.Signed{Source: []byte(source)},
		Marks:    &fleet.Marks{},
		Targets:  targets,
	})
	require.NoError(t, err)
	f := &fakeState{}
	f.view.Store(view)
	return f
}

func (f *fakeState) apply(t testing.TB, u fleet.Update) {
	view, err := f.View().Apply(u)
	require.NoError(t, err)
	f.view.Store(view)
}

// fakeAgent serves MethodExecute with a function given by the test.
type fakeAgent struct {
	addr     string
	runs     atomic.Int64 // requests that reached the target
	received atomic.Int64 // requests that reached the agent
	mu       sync.Mutex
	requests []rpc.ExecuteOpen
	serve    func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error
}

func (a *fakeAgent) handle(_ context.Context, s *wire.Stream) error {
	open := &rpc.ExecuteOpen{}
	if err := s.Recv(open); err != nil {
		return err
	}
	a.received.Add(1)
	a.mu.Lock()
	a.requests = append(a.requests, *open)
	a.mu.Unlock()
	return a.serve(a, open, s)
}

// lastRequest returns the latest request that the agent received.
func (a *fakeAgent) lastRequest(t testing.TB) rpc.ExecuteOpen {
	a.mu.Lock()
	defer a.mu.Unlock()
	require.NotEmpty(t, a.requests)
	return a.requests[len(a.requests)-1]
}

// startAgent starts an agent on a free port that runs until the test ends.
func startAgent(t testing.TB, serve func(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error) *fakeAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &fakeAgent{addr: l.Addr().String(), serve: serve}
	server := wire.NewServer(telemetry.Discard(), nil)
	server.Handle(rpc.MethodExecute, a.handle)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return a
}

// eventSender sends the events of one attempt, numbered in sequence.
type eventSender struct {
	id  rpc.AttemptID
	seq uint64
	s   *wire.Stream
}

func (s *eventSender) send(kind rpc.EventKind, data string, headers ...rpc.Header) error {
	event := &rpc.ExecuteEvent{ID: s.id, Seq: s.seq, Kind: kind, Data: []byte(data), Headers: headers}
	if kind == rpc.EventHead {
		event.Status = http.StatusOK
	}
	s.seq++
	return s.s.Send(event)
}

// echo responds with the request body.
func echo(a *fakeAgent, open *rpc.ExecuteOpen, s *wire.Stream) error {
	w := &eventSender{id: open.ID, s: s}
	if err := w.send(rpc.EventSent, ""); err != nil {
		return err
	}
	a.runs.Add(1)
	_ = w.send(rpc.EventHead, "", rpc.Header{Name: "Content-Type", Value: "application/json"})
	_ = w.send(rpc.EventData, string(open.Body))
	return w.send(rpc.EventEnd, "")
}

func target(name, model string, a *fakeAgent) fleet.Target {
	return fleet.Target{
		ID: fleet.TargetID("host/" + name), AgentAddr: a.addr, AgentIncarnation: 7, DataCentre: "dc1",
		Model: model, Kind: bundle.KindModel, Incarnation: 1, WarmCapacity: 16, ColdCapacity: 16,
	}
}

// testGateway is a gateway that serves on a free port.
type testGateway struct {
	*Server
	url         string
	client      *http.Client
	stop        context.CancelFunc
	serveResult chan error
}

func startGateway(t testing.TB, cfg Config) *testGateway {
	cfg.Name, cfg.DataCentre, cfg.Log = "g1", "dc1", telemetry.Discard()
	cfg.Pool = wire.NewPool(nil)
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = time.Millisecond
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g := &testGateway{
		Server:      New(cfg),
		url:         "http://" + l.Addr().String(),
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: testTimeout},
		stop:        cancel,
		serveResult: make(chan error, 1),
	}
	var wg conc.WaitGroup
	wg.Go(func() { g.serveResult <- g.Serve(ctx, l) })
	t.Cleanup(func() {
		g.client.CloseIdleConnections()
		cancel()
		wg.Wait()
		cfg.Pool.Close()
	})
	return g
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (g *testGateway) do(t testing.TB, method, path, key, body string, headers ...string) reply {
	r, err := g.try(method, path, key, body, headers...)
	require.NoError(t, err)
	return r
}

// try is do for goroutines other than the test's own, which must not call FailNow.
func (g *testGateway) try(method, path, key, body string, headers ...string) (reply, error) {
	request, err := http.NewRequest(method, g.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}, err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := g.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(responseBody)}, err
}

// tryChat sends chatBody. It returns a reply with status 0 if there was no
// response.
func (g *testGateway) tryChat() reply {
	r, err := g.try(http.MethodPost, chatPath, keyA, chatBody)
	if err != nil {
		return reply{body: err.Error()}
	}
	return r
}

func (g *testGateway) chat(t testing.TB) reply {
	return g.do(t, http.MethodPost, chatPath, keyA, chatBody)
}
