package agent

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/engine"
)

const unlimited = int64(1) << 40

// faultyLink is a TCP proxy between the agent and a target. It breaks a connection
// after a given number of bytes of the request or of the response.
type faultyLink struct {
	front    net.Listener
	up, down atomic.Int64 // bytes left until a connection breaks, per direction

	mu      sync.Mutex
	backend string
	conns   []net.Conn
	wg      conc.WaitGroup
}

func startFaultyLink(t *testing.T, l net.Listener, backend string) *faultyLink {
	t.Helper()
	k := &faultyLink{backend: backend}
	k.up.Store(unlimited)
	k.down.Store(unlimited)
	k.open(l)
	t.Cleanup(func() {
		k.close()
		k.wg.Wait()
	})
	return k
}

func (k *faultyLink) open(l net.Listener) {
	k.front = l
	k.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			k.wg.Go(func() { k.serve(conn) })
		}
	})
}

// close refuses new connections and breaks the open ones.
func (k *faultyLink) close() {
	k.front.Close()
	k.redirect(k.target())
}

// redirect sends new connections to another target and breaks the open ones.
func (k *faultyLink) redirect(backend string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backend = backend
	for _, conn := range k.conns {
		conn.Close()
	}
	k.conns = nil
}

func (k *faultyLink) target() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.backend
}

// serve proxies one connection. Requests for load reports don't count towards the
// limit of the request direction, and a connection without traffic stays open.
func (k *faultyLink) serve(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", k.target())
	if err != nil {
		return
	}
	defer target.Close()
	k.mu.Lock()
	k.conns = append(k.conns, caller, target)
	k.mu.Unlock()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, _ = io.Copy(caller, &budgetReader{source: target, remaining: &k.down})
		caller.Close()
	})
	first := make([]byte, 9)
	n, err := io.ReadFull(caller, first)
	if err == nil && bytes.Equal(first, []byte("GET /load")) {
		_, _ = target.Write(first)
		_, _ = io.Copy(target, caller)
	} else if n > 0 {
		request := io.MultiReader(bytes.NewReader(first[:n]), caller)
		_, _ = io.Copy(target, &budgetReader{source: request, remaining: &k.up})
	}
	target.Close()
}

// budgetReader returns EOF once the remaining bytes are used up.
type budgetReader struct {
	source    io.Reader
	remaining *atomic.Int64
}

func (r *budgetReader) Read(p []byte) (int, error) {
	left := r.remaining.Load()
	if left <= 0 {
		return 0, io.EOF
	}
	n, err := r.source.Read(p[:min(int64(len(p)), left)])
	r.remaining.Add(-int64(n))
	return n, err
}

// TestOutcomeMatchesTargetAfterConnectionCut breaks the connection to the target in
// each phase of a request. The outcome that the agent reports must agree with what
// the target has recorded: a request reported as not run must not have reached it.
func TestOutcomeMatchesTargetAfterConnectionCut(t *testing.T) {
	for _, kind := range []bundle.Kind{bundle.KindModel, bundle.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			b := newHarness(t)
			front := listen(t)
			back := listen(t)
			proxy := startFaultyLink(t, front, back.Addr().String())
			s := b.startOn(back, engine.Config{Name: "e1", Kind: kind, WarmCapacity: 4, AdvertiseAddress: front.Addr().String()})
			seen := make(map[string]int)
			for _, cut := range cuts() {
				b.eventually(func() bool { return b.admitting(s.id) }, "up")
				open := b.chat(s, b.prompt(), 6, cut.stream)
				open.Idempotent = false
				if kind == bundle.KindService {
					open.Path = "/book"
				}
				proxy.up.Store(cut.up)
				proxy.down.Store(cut.down)
				r := b.run(t.Context(), open)
				proxy.up.Store(unlimited)
				proxy.down.Store(unlimited)
				received := s.Stats().Received[open.ID.RequestID]
				assert.LessOrEqual(t, received, 1, "%+v", cut)
				switch {
				case r.err == nil:
					assert.True(t, r.complete, "%+v", cut)
					assert.Equal(t, 1, received, "%+v", cut)
					seen["answered"]++
				case r.err.Outcome == outcome.NotRun:
					assert.Zero(t, received, "%+v: %v", cut, r.err)
					seen["not run"]++
				default:
					assert.False(t, r.complete, "%+v", cut)
					seen[fmt.Sprintf("may have run, received %d", received)]++
				}
			}
			assert.Positive(t, seen["answered"])
			assert.Positive(t, seen["may have run, received 0"])
			assert.Positive(t, seen["may have run, received 1"])
		})
	}
}

type cut struct {
	up, down int64
	stream   bool
}

func cuts() []cut {
	var list []cut
	for _, stream := range []bool{false, true} {
		for _, n := range []int64{0, 1, 60, 200, 320} {
			list = append(list, cut{up: n, down: unlimited, stream: stream}, cut{up: unlimited, down: n, stream: stream})
		}
		list = append(list, cut{up: unlimited, down: 900, stream: stream}, cut{up: unlimited, down: unlimited, stream: stream})
	}
	return list
}

// TestLostGatewayStopsItsRequests closes a gateway's connection while one of its
// requests runs. The request must be cancelled at the target, and the same attempt
// must be refused on another connection.
func TestLostGatewayStopsItsRequests(t *testing.T) {
	b := newHarness(t)
	s := b.start(engine.Config{Name: "e1", WarmCapacity: 4, TokenTime: 1 << 40})
	stream, err := b.conn.Open(t.Context(), rpc.MethodExecute)
	require.NoError(t, err)
	open := b.chat(s, "x", 9, true)
	require.NoError(t, stream.Send(&open))
	b.eventually(func() bool { return s.Stats().Running == 1 }, "runs")
	require.NoError(t, b.conn.Close())
	b.eventually(func() bool { return s.Stats().Cancelled[open.ID.RequestID] == 1 }, "stopped")

	conn, err := wire.Dial(t.Context(), *b.agent.addr.Load(), nil)
	require.NoError(t, err)
	b.conn = conn
	again := open
	r := b.run(t.Context(), again)
	require.NotNil(t, r.err, "the same attempt on another connection")
	assert.Equal(t, outcome.AlreadyAttempted, r.err.Code)
	assert.Equal(t, 1, s.Stats().Received[open.ID.RequestID])
}
