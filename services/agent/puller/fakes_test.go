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

// eventTimeout bounds how long a test waits for an expected event. It isn't a
// performance limit.
const eventTimeout = 60 * time.Second

const (
	testModel = "bell-lm"
	chatURL   = "/v1/chat/completions"
	orderURL  = "/orders"
	targetID  = fleet.TargetID("h1/e1")
	testGroup = 1
)

// fakeControl is a control service that applies commands directly to the batch
// state machine of one group. It can drop responses, so that callers have to
// resend their requests.
type fakeControl struct {
	mu           sync.Mutex
	machine      *batch.Machine
	records      map[batch.Digest][]byte
	changed      chan struct{}
	polls        int
	dropResponse func() bool // whether to drop the next response
	callDelay    time.Duration
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		machine: batch.New(), records: make(map[batch.Digest][]byte), changed: make(chan struct{}),
		dropResponse: func() bool { return false },
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

func (f *fakeControl) putRecord(data []byte) batch.Ref {
	f.mu.Lock()
	defer f.mu.Unlock()
	ref := batch.Ref{Digest: sha256.Sum256(data), Length: uint32(len(data))}
	f.records[ref.Digest] = data
	return ref
}

func (f *fakeControl) readSlices(parts []batch.Slice) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var joined []byte
	for _, p := range parts {
		joined = append(joined, f.records[p.Record.Digest][p.Offset:p.Offset+p.Length]...)
	}
	return joined
}

func (f *fakeControl) CallIdempotent(ctx context.Context, method wire.Method, request, response any) error {
	for {
		err := f.Poll(ctx, method, request, response)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

func (f *fakeControl) Poll(ctx context.Context, method wire.Method, request, response any) error {
	time.Sleep(f.callDelay)
	switch method {
	case rpc.MethodItemsPull:
		r := request.(*rpc.ItemsPull)
		f.pull(ctx, r, response.(*rpc.ItemsPullResponse))
	case rpc.MethodItemsCommit:
		r := request.(*rpc.ItemsCommit)
		c := &batch.Commit{Agent: r.Agent, Results: r.Results}
		if len(r.Payload) > 0 {
			c.Record = f.putRecord(r.Payload)
		}
		response.(*rpc.ItemsCommitResponse).Acks = f.apply(&batch.Command{Commit: c}).Items
	case rpc.MethodItemsRenew:
		r := request.(*rpc.ItemsRenew)
		c := &batch.RenewItems{Agent: r.Agent, Incarnation: r.Incarnation, Items: r.Items, LeaseMS: r.LeaseMS}
		response.(*rpc.ItemsRenewResponse).Stopped = f.apply(&batch.Command{Renew: c}).Stopped
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil || f.dropResponse() {
		return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "the answer was lost")
	}
	return nil
}

func (f *fakeControl) pull(ctx context.Context, r *rpc.ItemsPull, out *rpc.ItemsPullResponse) {
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
		for _, l := range f.tryLease(c) {
			pulledItem := rpc.PulledItem{Group: testGroup, Lease: l, Input: f.readSlices(l.Input)}
			if l.Progress != nil {
				pulledItem.Progress = f.readSlices([]batch.Slice{*l.Progress})
			}
			out.Items = append(out.Items, pulledItem)
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

func (f *fakeControl) tryLease(c *batch.LeaseItems) []batch.Lease {
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

// createJob creates a job of n items on a route.
func (f *fakeControl) createJob(t testing.TB, id, url string, n int) {
	t.Helper()
	var contents []byte
	var index batch.IndexBuilder
	for i := range n {
		line := fmt.Sprintf(`{"custom_id":"c%d","method":"POST","url":%q,"body":{"model":"bell-lm","messages":[%d]}}`, i, url, i)
		index.Add(uint32(len(contents)), uint32(len(line)), 0)
		contents = append(contents, line+"\n"...)
	}
	ref := f.putRecord(contents)
	file := batch.File{ID: "file-" + id, Workspace: "lab", Bytes: int64(len(contents)), Chunks: []batch.Ref{ref}}
	require.Nil(t, f.apply(&batch.Command{FilePut: &batch.FilePut{File: file}}).Err)
	require.Nil(t, f.apply(&batch.Command{JobCreate: &batch.JobCreate{
		ID: id, Workspace: "lab", InputFile: file.ID, WindowMS: 3_600_000, Index: index.Bytes(), Weight: 1,
		Templates: []batch.Template{{Model: testModel, Path: url, Method: "POST", Idempotent: url == chatURL, TimeoutMS: 60_000}},
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

// resultLines returns the output and error lines of a settled job by custom id.
func (f *fakeControl) resultLines(t *testing.T, id string) map[string]batch.ResultLine {
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
				raw, err := batch.FailureLine(id, part, f.readSlices(part.Input))
				require.NoError(t, err)
				require.NoError(t, json.Unmarshal(raw, &l))
			} else {
				require.NoError(t, json.Unmarshal(f.readSlices([]batch.Slice{*part.Result}), &l))
			}
			require.NotContains(t, lines, l.CustomID, "an item has more than one output line")
			lines[l.CustomID] = l
		}
	}
	return lines
}

// fakeSlots implements agent.BatchSlots for an agent with one target.
type fakeSlots struct {
	run func(ctx context.Context, open rpc.ExecuteOpen) (agent.Response, error)

	mu            sync.Mutex
	limit         int
	active        int
	peak          int
	busyTime      time.Duration // total time that slots were in use
	changed       chan struct{}
	runsByRequest map[string]int
	seenAttempts  map[rpc.AttemptID]bool
}

func newFakeSlots(limit int, run func(ctx context.Context, open rpc.ExecuteOpen) (agent.Response, error)) *fakeSlots {
	return &fakeSlots{run: run, limit: limit, changed: make(chan struct{}, 1), runsByRequest: make(map[string]int), seenAttempts: make(map[rpc.AttemptID]bool)}
}

func (s *fakeSlots) Spare() int { return s.SpareOn(targetID) }

func (s *fakeSlots) SpareOn(fleet.TargetID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.limit-s.active)
}

func (s *fakeSlots) Changed() <-chan struct{} { return s.changed }

func (s *fakeSlots) Targets() []fleet.Target {
	return []fleet.Target{{ID: targetID, Model: testModel, Kind: bundle.KindModel}}
}

func (s *fakeSlots) Fresh() bool { return true }

func (s *fakeSlots) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *fakeSlots) setLimit(n int) {
	s.mu.Lock()
	s.limit = n
	s.mu.Unlock()
	s.notifyChanged()
}

func (s *fakeSlots) RunBatch(ctx context.Context, open rpc.ExecuteOpen) (agent.Response, error) {
	s.mu.Lock()
	if s.seenAttempts[open.ID] {
		s.mu.Unlock()
		return agent.Response{}, outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "the attempt came twice")
	}
	s.seenAttempts[open.ID] = true
	if s.active >= s.limit {
		s.mu.Unlock()
		return agent.Response{}, outcome.New(outcome.TargetBusy, outcome.NotRun, "no slot")
	}
	s.active++
	s.peak = max(s.peak, s.active)
	s.runsByRequest[open.ID.RequestID]++
	s.mu.Unlock()
	startedAt := time.Now()
	response, err := s.run(ctx, open)
	s.mu.Lock()
	s.active--
	s.busyTime += time.Since(startedAt)
	s.mu.Unlock()
	s.notifyChanged()
	return response, err
}

// sseResponse returns a streamed response with the tokens [from, to) of a
// generation of totalTokens tokens. It is complete if to is totalTokens.
func sseResponse(from, to int) agent.Response {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, `data: {"id":"x","created":7,"model":"bell-lm","choices":[{"delta":{"content":" t%d"}}]}`+"\n\n", i)
	}
	a := agent.Response{Status: 200, Tokens: to - from}
	if to == totalTokens {
		fmt.Fprintf(&b, `data: {"id":"x","model":"bell-lm","choices":[{"delta":{},"finish_reason":"length"}]}`+"\n\n")
		fmt.Fprintf(&b, `data: {"id":"x","model":"bell-lm","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", to-from, to-from+1)
		b.WriteString("data: [DONE]\n\n")
		a.Complete = true
	}
	a.Body = []byte(b.String())
	return a
}

// resumeFrom returns the number of tokens after which a streamed request
// resumes.
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

// startPuller runs a puller until the test ends or stop is called.
func startPuller(t testing.TB, control *fakeControl, slots *fakeSlots) (stop func()) {
	t.Helper()
	p := New(Config{Agent: "h1", Slots: slots, Control: control, Log: telemetry.Discard(), DrainTimeout: eventTimeout})
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
	require.Eventually(t, condition, eventTimeout, 2*time.Millisecond, message)
}

// seededChance returns a function that reports true with the given probability.
// The function isn't safe for concurrent use.
func seededChance(seed uint64, probability float64) func() bool {
	random := rand.New(rand.NewPCG(seed, seed))
	return func() bool { return random.Float64() < probability }
}
