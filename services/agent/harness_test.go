package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/agent/announce"
	"banyanwalk/services/engine"
)

const waitLimit = 30 * time.Second

// fakeControl stands for the control replicas.
type fakeControl struct {
	mu      sync.Mutex
	view    *fleet.View
	stale   atomic.Bool
	reports []rpc.CrashReport
	beats   []rpc.AgentHeartbeat
}

func (c *fakeControl) View() *fleet.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeControl) Fresh(time.Time) bool { return !c.stale.Load() }

func (c *fakeControl) CallAgain(_ context.Context, method wire.Method, request, _ any) error {
	switch r := request.(type) {
	case *rpc.AgentHeartbeat:
		c.mu.Lock()
		c.beats = append(c.beats, *r)
		c.mu.Unlock()
		c.update(func(u *fleet.Update) { u.Targets = stamped(r.Targets, u.Revision) })
	case *rpc.CrashReport:
		c.mu.Lock()
		c.reports = append(c.reports, *r)
		c.mu.Unlock()
		level := fleet.Suspect
		if r.Alone {
			level = fleet.Convict
		}
		c.update(func(u *fleet.Update) {
			for _, s := range r.Suspects {
				u.Verdicts = append(u.Verdicts, fleet.Verdict{Workspace: s.Workspace, Digest: s.Digest, Level: level, Revision: u.Revision})
			}
		})
	default:
		return errors.Newf("unexpected method %d", method)
	}
	return nil
}

func stamped(targets []fleet.Target, revision uint64) []fleet.Target {
	list := make([]fleet.Target, len(targets))
	for i, t := range targets {
		t.Revision = revision
		list[i] = t
	}
	return list
}

func (c *fakeControl) update(change func(u *fleet.Update)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := fleet.Update{Revision: c.view.Revision + 1}
	change(&u)
	next, err := c.view.Apply(u)
	if err != nil {
		panic(err)
	}
	c.view = next
}

func (c *fakeControl) crashReports() []rpc.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]rpc.CrashReport(nil), c.reports...)
}

// bench is an agent with stand-in targets on the loopback network.
type bench struct {
	t        testing.TB
	agent    *Agent
	control  *fakeControl
	conn     *wire.Conn
	announce string
	stop     context.CancelFunc // tells the agent to stop
	stopped  chan error
	wg       conc.WaitGroup
	next     atomic.Int64
}

func newBench(t testing.TB) *bench {
	t.Helper()
	return newBenchWith(t, Config{})
}

func newBenchWith(t testing.TB, cfg Config) *bench {
	t.Helper()
	b := &bench{t: t, control: &fakeControl{view: &fleet.View{}}, stopped: make(chan error, 1)}
	cfg.Name, cfg.DataCentre, cfg.DrainTimeout = "h1", "east", waitLimit
	cfg.Control, cfg.Log = b.control, telemetry.Discard()
	b.agent = New(cfg)
	wireListener, announceListener := listen(t), listen(t)
	b.announce = "http://" + announceListener.Addr().String() + announce.Path
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.wg.Go(func() { b.stopped <- b.agent.Run(ctx, wireListener, announceListener) })
	conn, err := wire.Dial(ctx, wireListener.Addr().String(), nil)
	require.NoError(t, err)
	b.conn = conn
	t.Cleanup(func() {
		cancel()
		b.wg.Wait()
		conn.Close()
	})
	return b
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// standIn is an engine that restarts after each crash, unless told not to.
type standIn struct {
	*engine.Engine
	id      fleet.TargetID
	restart atomic.Bool
	stop    context.CancelFunc
}

func (b *bench) start(cfg engine.Config) *standIn {
	b.t.Helper()
	return b.startOn(listen(b.t), cfg)
}

func (b *bench) startOn(l net.Listener, cfg engine.Config) *standIn {
	b.t.Helper()
	if cfg.Model == "" {
		cfg.Model = "m"
	}
	cfg.Agent = b.announce
	cfg.AnnounceInterval = 20 * time.Millisecond
	s := &standIn{Engine: engine.New(cfg, telemetry.Discard()), id: fleet.TargetID("h1/" + cfg.Name)}
	s.restart.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	addr := l.Addr().String()
	var wg conc.WaitGroup
	wg.Go(func() {
		for errors.Is(s.Run(ctx, l), engine.ErrCrashed) && s.restart.Load() {
			next, err := net.Listen("tcp", addr)
			if err != nil {
				return
			}
			l = next
		}
	})
	b.t.Cleanup(func() {
		s.restart.Store(false)
		cancel()
		wg.Wait()
	})
	b.eventually(func() bool {
		_, known := b.control.View().Target(s.id)
		return known && b.up(s.id)
	}, "target registered")
	return s
}

// up reports whether the agent takes requests for the target.
func (b *bench) up(id fleet.TargetID) bool {
	t, found := b.agent.target(id)
	if !found {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.down && !t.gate.Closed() && t.lost != nil
}

func (b *bench) eventually(condition func() bool, what string) {
	b.t.Helper()
	require.Eventually(b.t, condition, waitLimit, time.Millisecond, what)
}

// chat returns an attempt at a generation of so many tokens.
func (b *bench) chat(s *standIn, prompt string, tokens int, stream bool) rpc.ExecuteOpen {
	id := fmt.Sprintf("r%d", b.next.Add(1))
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
	open := rpc.ExecuteOpen{
		ID:         rpc.AttemptID{RequestID: id, Attempt: 1, Target: s.id, AgentIncarnation: b.agent.Incarnation()},
		Workspace:  "w",
		Model:      "m",
		Idempotent: true,
		HTTPMethod: "POST",
		Path:       "/v1/chat/completions",
		Headers:    []rpc.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:       []byte(body),
	}
	copy(open.Digest[:], prompt)
	return open
}

// result is what one attempt brought.
type result struct {
	events  []rpc.ExecuteEvent
	sent    bool
	status  int
	headers []rpc.Header
	body    []byte
	whole   bool
	err     *outcome.Error
}

func (b *bench) run(ctx context.Context, open rpc.ExecuteOpen) result {
	stream, err := b.conn.Open(ctx, rpc.MethodExecute)
	if err != nil {
		return result{err: outcome.From(err)}
	}
	defer stream.Close()
	if err := stream.Send(&open); err != nil {
		return result{err: outcome.From(err)}
	}
	return collect(stream)
}

func collect(stream *wire.Stream) result {
	var r result
	for {
		var event rpc.ExecuteEvent
		err := stream.Recv(&event)
		if errors.Is(err, io.EOF) {
			return r
		}
		if err != nil {
			r.err = outcome.From(err)
			return r
		}
		r.events = append(r.events, event)
		switch event.Kind {
		case rpc.EventSent:
			r.sent = true
		case rpc.EventHead:
			r.status, r.headers = event.Status, event.Headers
		case rpc.EventData:
			r.body = append(r.body, event.Data...)
		case rpc.EventEnd:
			r.whole = true
		}
	}
}

// text returns the generated text of an answer, whole or streamed.
func (r result) text(t testing.TB) string {
	t.Helper()
	type answer struct {
		Choices []struct {
			Message struct{ Content string }
			Delta   struct{ Content string }
		}
	}
	var text strings.Builder
	add := func(data []byte) {
		var a answer
		require.NoError(t, json.Unmarshal(data, &a))
		for _, c := range a.Choices {
			text.WriteString(c.Message.Content + c.Delta.Content)
		}
	}
	if !strings.HasPrefix(string(r.body), "data:") {
		add(r.body)
		return text.String()
	}
	for event := range strings.SplitSeq(strings.TrimSpace(string(r.body)), "\n\n") {
		if data := strings.TrimPrefix(event, "data: "); data != doneMark {
			add([]byte(data))
		}
	}
	return text.String()
}

func expected(t testing.TB, open rpc.ExecuteOpen) string {
	t.Helper()
	text, err := engine.ExpectedText(open.Body, 0)
	require.NoError(t, err)
	return text
}

func serviceConfig(name string) engine.Config {
	return engine.Config{Name: name, Kind: bundle.KindService, Model: "m", Warm: 8}
}

// forgetVerdicts takes back what control made of the crash reports.
func (b *bench) forgetVerdicts() {
	targets := b.agent.Targets()
	b.control.update(func(u *fleet.Update) { u.Full, u.Targets = true, targets })
}

// prompt returns a prompt that no other request has.
func (b *bench) prompt() string { return fmt.Sprintf("%d plan", b.next.Add(1)) }
