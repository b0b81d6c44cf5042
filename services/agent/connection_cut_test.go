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

const uncut = int64(1) << 40

// link is a TCP link between the agent and a target that breaks after so many
// bytes of a request or of its answer.
type link struct {
	front    net.Listener
	up, down atomic.Int64 // bytes until the cut

	mu      sync.Mutex
	backend string
	conns   []net.Conn
	wg      conc.WaitGroup
}

func startLink(t *testing.T, l net.Listener, backend string) *link {
	t.Helper()
	k := &link{backend: backend}
	k.up.Store(uncut)
	k.down.Store(uncut)
	k.open(l)
	t.Cleanup(func() {
		k.close()
		k.wg.Wait()
	})
	return k
}

func (k *link) open(l net.Listener) {
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

// close refuses connections from now on and breaks the open ones.
func (k *link) close() {
	k.front.Close()
	k.redirect(k.target())
}

// redirect leads new connections to another target and breaks the open ones.
func (k *link) redirect(backend string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backend = backend
	for _, conn := range k.conns {
		conn.Close()
	}
	k.conns = nil
}

func (k *link) target() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.backend
}

// serve carries one connection. Load reports and idle connections are not cut.
func (k *link) serve(caller net.Conn) {
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
		_, _ = io.Copy(caller, &limited{conn: target, left: &k.down})
		caller.Close()
	})
	first := make([]byte, 9)
	n, err := io.ReadFull(caller, first)
	if err == nil && bytes.Equal(first, []byte("GET /load")) {
		_, _ = target.Write(first)
		_, _ = io.Copy(target, caller)
	} else if n > 0 {
		whole := io.MultiReader(bytes.NewReader(first[:n]), caller)
		_, _ = io.Copy(target, &limited{conn: whole, left: &k.up})
	}
	target.Close()
}

// limited reads until the budget is spent.
type limited struct {
	conn io.Reader
	left *atomic.Int64
}

func (l *limited) Read(p []byte) (int, error) {
	left := l.left.Load()
	if left <= 0 {
		return 0, io.EOF
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), left)])
	l.left.Add(-int64(n))
	return n, err
}

// TestCutsNeverLieAboutRunning breaks the link to the target in each phase of
// a request and compares the outcome with the target's own record.
func TestCutsNeverLieAboutRunning(t *testing.T) {
	for _, kind := range []bundle.Kind{bundle.KindModel, bundle.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			b := newBench(t)
			front := listen(t)
			back := listen(t)
			k := startLink(t, front, back.Addr().String())
			s := b.startOn(back, engine.Config{Name: "e1", Kind: kind, Warm: 4, Address: front.Addr().String()})
			seen := make(map[string]int)
			for _, cut := range cuts() {
				b.eventually(func() bool { return b.up(s.id) }, "up")
				open := b.chat(s, b.prompt(), 6, cut.stream)
				open.Idempotent = false
				if kind == bundle.KindService {
					open.Path = "/book"
				}
				k.up.Store(cut.up)
				k.down.Store(cut.down)
				r := b.run(t.Context(), open)
				k.up.Store(uncut)
				k.down.Store(uncut)
				received := s.Runs().Received[open.ID.RequestID]
				assert.LessOrEqual(t, received, 1, "%+v", cut)
				switch {
				case r.err == nil:
					assert.True(t, r.whole, "%+v", cut)
					assert.Equal(t, 1, received, "%+v", cut)
					seen["answered"]++
				case r.err.Outcome == outcome.NotRun:
					assert.Zero(t, received, "%+v: %v", cut, r.err)
					seen["not run"]++
				default:
					assert.False(t, r.whole, "%+v", cut)
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
			list = append(list, cut{up: n, down: uncut, stream: stream}, cut{up: uncut, down: n, stream: stream})
		}
		list = append(list, cut{up: uncut, down: 900, stream: stream}, cut{up: uncut, down: uncut, stream: stream})
	}
	return list
}

// TestLostGatewayStopsItsRequests cuts the connection of a gateway while its
// requests run.
func TestLostGatewayStopsItsRequests(t *testing.T) {
	b := newBench(t)
	s := b.start(engine.Config{Name: "e1", Warm: 4, TokenTime: 1 << 40})
	stream, err := b.conn.Open(t.Context(), rpc.MethodExecute)
	require.NoError(t, err)
	open := b.chat(s, "x", 9, true)
	require.NoError(t, stream.Send(&open))
	b.eventually(func() bool { return s.Runs().Running == 1 }, "runs")
	require.NoError(t, b.conn.Close())
	b.eventually(func() bool { return s.Runs().Cancelled[open.ID.RequestID] == 1 }, "stopped")

	conn, err := wire.Dial(t.Context(), *b.agent.addr.Load(), nil)
	require.NoError(t, err)
	b.conn = conn
	again := open
	r := b.run(t.Context(), again)
	require.NotNil(t, r.err, "the same attempt on another connection")
	assert.Equal(t, outcome.AlreadyAttempted, r.err.Code)
	assert.Equal(t, 1, s.Runs().Received[open.ID.RequestID])
}
