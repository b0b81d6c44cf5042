package puller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/agent"
)

// liveness bounds waiting for what must come about; nothing is measured by it.
const liveness = 60 * time.Second

const (
	model    = "bell-lm"
	chatURL  = "/v1/chat/completions"
	orderURL = "/orders"
	targetID = fleet.TargetID("h1/e1")
	oneGroup = 1
)

// fakeControl is control over the pure machine of one group. It may lose
// answers, so that requests are sent again.
type fakeControl struct {
	mu      sync.Mutex
	machine *batch.Machine
	records map[batch.Digest][]byte
	changed chan struct{}
	polls   int
	lose    func() bool // whether the next answer is lost
	delay   time.Duration
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		machine: batch.New(), records: make(map[batch.Digest][]byte), changed: make(chan struct{}),
		lose: func() bool { return false },
	}
}

func (f *fakeControl) apply(c *batch.Command) batch.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.machine.Apply(time.Now().UnixMilli(), c)
	close(f.changed)
	f.changed = make(chan struct{})
	return r
}

func (f *fakeControl) put(data []byte) batch.Ref {
	f.mu.Lock()
	defer f.mu.Unlock()
	ref := batch.Ref{Digest: sha256.Sum256(data), Length: uint32(len(data))}
	f.records[ref.Digest] = data
	return ref
}

func (f *fakeControl) read(parts []batch.Slice) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var joined []byte
	for _, p := range parts {
		joined = append(joined, f.records[p.Record.Digest][p.Offset:p.Offset+p.Length]...)
	}
	return joined
}

func (f *fakeControl) CallAgain(ctx context.Context, method wire.Method, request, response any) error {
	for {
		err := f.Poll(ctx, method, request, response)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

func (f *fakeControl) Poll(ctx context.Context, method wire.Method, request, response any) error {
	time.Sleep(f.delay)
	switch method {
	case rpc.MethodItemsPull:
		r := request.(*rpc.ItemsPull)
		f.pull(ctx, r, response.(*rpc.ItemsPulled))
	case rpc.MethodItemsCommit:
		r := request.(*rpc.ItemsCommit)
		c := &batch.Commit{Agent: r.Agent, Results: r.Results}
		if len(r.Payload) > 0 {
			c.Record = f.put(r.Payload)
		}
		response.(*rpc.ItemsCommitted).Acks = f.apply(&batch.Command{Commit: c}).Items
	case rpc.MethodItemsRenew:
		r := request.(*rpc.ItemsRenew)
		c := &batch.RenewItems{Agent: r.Agent, Incarnation: r.Incarnation, Items: r.Items, LeaseMS: r.LeaseMS}
		response.(*rpc.ItemsRenewed).Stopped = f.apply(&batch.Command{Renew: c}).Stopped
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil || f.lose() {
		return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "the answer was lost")
	}
	return nil
}

func (f *fakeControl) pull(ctx context.Context, r *rpc.ItemsPull, out *rpc.ItemsPulled) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMS)*time.Millisecond)
	defer cancel()
	f.mu.Lock()
	f.polls++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		c := &batch.LeaseItems{Agent: r.Agent, Incarnation: r.Incarnation, Request: r.Request, LeaseMS: r.LeaseMS, Wants: r.Wants}
		for _, l := range f.leaseNow(c) {
			item := rpc.PulledItem{Group: oneGroup, Lease: l, Input: f.read(l.Input)}
			if l.Progress != nil {
				item.Progress = f.read([]batch.Slice{*l.Progress})
			}
			out.Items = append(out.Items, item)
		}
		if len(out.Items) > 0 || ctx.Err() != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (f *fakeControl) leaseNow(c *batch.LeaseItems) []batch.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	var models []string
	for _, w := range c.Wants {
		models = append(models, w.Model)
	}
	if !f.machine.HasQueued(models) && !f.machine.KnowsRequest(c.Agent, c.Incarnation, c.Request) {
		return nil
	}
	return f.machine.Apply(time.Now().UnixMilli(), &batch.Command{Lease: c}).Leases
}

// job queues n items on a route.
func (f *fakeControl) job(t testing.TB, id, url string, n int) {
	t.Helper()
	var contents []byte
	var index batch.IndexBuilder
	for i := range n {
		line := fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":%q,"body":{"model":"bell-lm","messages":[%d]}}`, i, url, i)
		index.Add(uint32(len(contents)), uint32(len(line)), 0)
		contents = append(contents, line+"\n"...)
	}
	ref := f.put(contents)
	file := batch.File{ID: "file-" + id, Workspace: "lab", Bytes: int64(len(contents)), Chunks: []batch.Ref{ref}}
	require.Nil(t, f.apply(&batch.Command{FilePut: &batch.FilePut{File: file}}).Err)
	require.Nil(t, f.apply(&batch.Command{JobCreate: &batch.JobCreate{
		ID: id, Workspace: "lab", InputFile: file.ID, WindowMS: 3_600_000, Index: index.Bytes(), Weight: 1,
		Templates: []batch.Template{{Model: model, Path: url, Method: "POST", Idempotent: url == chatURL, TimeoutMS: 60_000}},
	}}).Err)
}

func (f *fakeControl) counts(id string) batch.Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, err := f.machine.Job("lab", id)
	if err != nil {
		return batch.Counts{}
	}
	return j.Counts
}

// lines returns the lines of a settled job by custom id.
func (f *fakeControl) lines(t *testing.T, id string) map[string]batch.ResultLine {
	t.Helper()
	lines := map[string]batch.ResultLine{}
	for _, kind := range []batch.OutputKind{batch.OutputResults, batch.OutputErrors} {
		f.mu.Lock()
		parts, _, _, err := f.machine.OutputLines(id, kind, 0, 1_000_000)
		f.mu.Unlock()
		require.NoError(t, err)
		for _, part := range parts {
			var l batch.ResultLine
			if part.Result == nil {
				raw, err := batch.FailureLine(id, part, f.read(part.Input))
				require.NoError(t, err)
				require.NoError(t, json.Unmarshal(raw, &l))
			} else {
				require.NoError(t, json.Unmarshal(f.read([]batch.Slice{*part.Result}), &l))
			}
			require.NotContains(t, lines, l.CustomID, "an item has two lines")
			lines[l.CustomID] = l
		}
	}
	return lines
}

// fakeSlots is an agent with one target.
type fakeSlots struct {
	run func(ctx context.Context, open rpc.ExecuteOpen) (agent.Answer, error)

	mu      sync.Mutex
	limit   int
	active  int
	peak    int
	busy    time.Duration // slot time in use
	changed chan struct{}
	runs    map[string]int // by request id
	seen    map[rpc.AttemptID]bool
}

func newFakeSlots(limit int, run func(ctx context.Context, open rpc.ExecuteOpen) (agent.Answer, error)) *fakeSlots {
	return &fakeSlots{run: run, limit: limit, changed: make(chan struct{}, 1), runs: make(map[string]int), seen: make(map[rpc.AttemptID]bool)}
}

func (s *fakeSlots) Spare() int { return s.SpareOn(targetID) }

func (s *fakeSlots) SpareOn(fleet.TargetID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.limit-s.active)
}

func (s *fakeSlots) Changed() <-chan struct{} { return s.changed }

func (s *fakeSlots) Targets() []fleet.Target {
	return []fleet.Target{{ID: targetID, Model: model, Kind: bundle.KindModel}}
}

func (s *fakeSlots) Fresh() bool { return true }

func (s *fakeSlots) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *fakeSlots) setLimit(n int) {
	s.mu.Lock()
	s.limit = n
	s.mu.Unlock()
	s.signal()
}

func (s *fakeSlots) RunBatch(ctx context.Context, open rpc.ExecuteOpen) (agent.Answer, error) {
	s.mu.Lock()
	if s.seen[open.ID] {
		s.mu.Unlock()
		return agent.Answer{}, outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "the attempt came twice")
	}
	s.seen[open.ID] = true
	if s.active >= s.limit {
		s.mu.Unlock()
		return agent.Answer{}, outcome.New(outcome.TargetBusy, outcome.NotRun, "no slot")
	}
	s.active++
	s.peak = max(s.peak, s.active)
	s.runs[open.ID.RequestID]++
	s.mu.Unlock()
	began := time.Now()
	answer, err := s.run(ctx, open)
	s.mu.Lock()
	s.active--
	s.busy += time.Since(began)
	s.mu.Unlock()
	s.signal()
	return answer, err
}

// sseAnswer streams the tokens [from, to) of a generation of wholeTokens.
func sseAnswer(from, to int) agent.Answer {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, `data: {"id":"x","created":7,"model":"bell-lm","choices":[{"delta":{"content":" t%d"}}]}`+"\n\n", i)
	}
	a := agent.Answer{Status: 200, Tokens: to - from}
	if to == wholeTokens {
		fmt.Fprintf(&b, `data: {"id":"x","model":"bell-lm","choices":[{"delta":{},"finish_reason":"length"}]}`+"\n\n")
		fmt.Fprintf(&b, `data: {"id":"x","model":"bell-lm","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", to-from, to-from+1)
		b.WriteString("data: [DONE]\n\n")
		a.Complete = true
	}
	a.Body = []byte(b.String())
	return a
}

// resumeFrom reads where a streamed request goes on.
func resumeFrom(t testing.TB, open rpc.ExecuteOpen) int {
	t.Helper()
	var body struct {
		Stream bool `json:"stream"`
		From   int  `json:"resume_from_tokens"`
	}
	require.NoError(t, json.Unmarshal(open.Body, &body))
	require.True(t, body.Stream)
	return body.From
}

// start runs a puller until the test ends or stop is called.
func start(t testing.TB, control *fakeControl, slots *fakeSlots) (stop func()) {
	t.Helper()
	p := New(Config{Agent: "h1", Slots: slots, Control: control, Log: telemetry.Discard(), DrainTimeout: liveness})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return stop
}

func eventually(t testing.TB, condition func() bool, message string) {
	t.Helper()
	require.Eventually(t, condition, liveness, 2*time.Millisecond, message)
}

// seeded returns whether an event of the given probability happens, guarded by
// the caller.
func seeded(seed uint64, probability float64) func() bool {
	random := rand.New(rand.NewPCG(seed, seed))
	return func() bool { return random.Float64() < probability }
}
