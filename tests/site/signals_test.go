package site

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/pause"
	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

var signalLogs = flag.String("signals.logs", "", "folder that keeps the logs of each run of the signal tests")

const (
	signalGateways   = 3
	signalTargets    = 3
	keptCallers      = 12 // callers with kept connections, spread over the gateways
	signalReaders    = 3
	signalSubmitters = 2
	answerSlack      = time.Second            // between the end of an unanswered request and the end of its connection, if it did not run; the promise is 200 ms
	settleTime       = time.Second            // after which what was accepted or read is found at every gateway
	notReadyTime     = 4 * time.Second        // after SIGTERM; a gateway is not ready from then on
	slowItemEvents   = 40                     // events of an item whose run lasts slowItemEvents * slowItemInterval
	slowItemInterval = 250 * time.Millisecond // between the events of such an item
	largeMark        = 16 << 10               // bytes of each event of a large item; its text has more than a frame of 64 KiB
	harmTime         = 5 * time.Second        // after a kill or pause, in which a request may be cut
	stopPause        = 700 * time.Millisecond // between two series of planned signals, at most
	// With kills every half second no quorum lasts long enough to accept a job.
	killPause            = 2500 * time.Millisecond
	jobSubmissionTimeout = 20 * time.Second
)

// signalRun is one run of a site whose processes get series of signals while callers
// hold connections open and submit and read jobs.
type signalRun struct {
	site    *Site
	seed    uint64
	planned bool // only SIGTERM, SIGHUP and starts
	targets []*standin.Target
	started time.Time

	mu         sync.Mutex
	violations []string
	faults     []string
	harmed     map[string][]time.Time // by host: kills, pauses and their ends
	jobs       []*signalJob
	requests   map[string]*keptRequest
	answered   int
	cut        int // requests without an answer
	reads      int // of jobs, with a result
}

// signalJob is a job and what was read of it.
type signalJob struct {
	id         string
	body       []byte
	items      []string
	accepted   time.Time // zero: not accepted
	onlyDenied bool      // each attempt was answered 429 or 503

	mu      sync.Mutex
	results []signalResult // by position
	readAt  []time.Time    // by position: the first time it was read
}

type signalResult struct{ ID, State, Text string }

// keptRequest is a request over a kept connection, as its caller saw it.
type keptRequest struct {
	gateway string
	kind    string
	status  int // 0: no complete response
	begun   time.Time
	sent    time.Time // of its last byte; zero: it was not sent whole
	ended   time.Time
	err     error
}

func (r *signalRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%.2fs ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

func (r *signalRun) fault(h *Host, what string, harms bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%.2fs %s %s", time.Since(r.started).Seconds(), h.Name, what))
	if harms {
		r.harmed[h.Name] = append(r.harmed[h.Name], time.Now())
	}
}

// Guards against requests on kept connections that planned stops cut, and against accepted jobs,
// read results and bodies that are lost when processes are stopped. More seeds by hand:
//
//	go test ./tests/site -run TestStopsLoseNothing -timeout 60m -soak.first 1 -soak.seeds 20 -soak.parallel 1
func TestStopsLoseNothing(t *testing.T) { testSignals(t, true) }

// Guards against accepted jobs, read results and bodies that are lost when processes are killed,
// paused and started, one by one or all at once, and against answers that promise that a request
// does not run although it does.
func TestKillsLoseNothing(t *testing.T) { testSignals(t, false) }

func testSignals(t *testing.T, planned bool) {
	network := 181
	if !planned {
		network = 182
	}
	for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeedCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			dir := t.TempDir()
			if *signalLogs != "" {
				dir = filepath.Join(*signalLogs, strings.ReplaceAll(t.Name(), "/", "-"))
				require.NoError(t, os.MkdirAll(dir, 0o700))
			}
			r := &signalRun{site: New(binaries, dir, network, signalGateways, 3, 3), seed: seed, planned: planned,
				harmed: make(map[string][]time.Time), requests: make(map[string]*keptRequest)}
			defer r.site.Close()
			r.run(t)
			if !assert.Empty(t, r.violations) {
				t.Logf("faults:\n%s", strings.Join(r.faults, "\n"))
			}
			t.Logf("%d requests answered, %d without an answer, %d jobs, %d reads of jobs, %d faults", r.answered, r.cut, len(r.jobs), r.reads, len(r.faults))
			assert.Positive(t, r.answered)
			assert.Positive(t, r.reads)
		})
	}
}

func (r *signalRun) run(t *testing.T) {
	r.start(t)
	ctx, cancel := context.WithTimeout(t.Context(), *soakLength)
	defer cancel()
	var wg conc.WaitGroup
	for i := range keptCallers {
		wg.Go(func() { r.keepCalling(ctx, i) })
	}
	for i := range signalSubmitters {
		wg.Go(func() { r.submit(ctx, i) })
	}
	for i := range signalReaders {
		wg.Go(func() { r.readJobs(ctx, i) })
	}
	r.signalHosts(ctx)
	wg.Wait()
	r.checkEnd(t)
}

func (r *signalRun) start(t *testing.T) {
	r.started = time.Now()
	require.NoError(t, r.site.Start())
	for i := range signalTargets {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), standin.Behaviour{})
		require.NoError(t, err)
		target.SetBehaviour(signalBehaviour)
		r.targets = append(r.targets, target)
		r.site.AddTarget(target, target.Addr, "llm", 12)
	}
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	_, body := r.site.NextConfiguration("llm")
	// Items are not abandoned while their storage hosts are down.
	body = bytes.Replace(body, []byte(`"max_wait_s":60`), []byte(`"max_wait_s":600`), 1)
	require.NoError(t, r.site.PutConfiguration(ctx, body))
	for _, g := range r.site.Role(Gateway) {
		require.Eventually(t, func() bool { return r.site.Ready(g) }, conditionTimeout, 20*time.Millisecond)
	}
}

// signalBehaviour chooses by the kind that begins a request's or an item's id.
func signalBehaviour(id string) standin.Behaviour {
	kind, _, _ := strings.Cut(id, "-")
	switch kind {
	case "ask":
		return standin.Behaviour{Events: soakEventsPerStream, Pause: 25 * time.Millisecond}
	case "slow":
		return standin.Behaviour{Events: slowItemEvents, Pause: slowItemInterval}
	case "large":
		return standin.Behaviour{Events: soakEventsPerStream, Pause: soakEventInterval, Mark: strings.Repeat("x", largeMark)}
	case "item":
		return standin.Behaviour{Events: soakEventsPerStream, Pause: soakEventInterval}
	}
	return standin.Behaviour{Delay: time.Duration(20+len(id)*len(id)%7*50) * time.Millisecond}
}

// keepCalling sends requests of each kind over one connection as long as the gateway keeps it,
// and takes a new one when it is closed.
func (r *signalRun) keepCalling(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(caller)))
	gateway := r.site.Role(Gateway)[caller%signalGateways]
	kinds := []string{"card", "once", "ask"}
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", net.JoinHostPort(gateway.IP, strconv.Itoa(frontendPort)), time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, reader = dialed, bufio.NewReader(dialed)
		}
		kind := kinds[(n+caller/signalGateways)%len(kinds)]
		request := &keptRequest{gateway: gateway.Name, kind: kind, begun: time.Now()}
		id := fmt.Sprintf("%s-%d-%d", kind, caller, n)
		kept := r.exchange(conn, reader, rng, id, request)
		request.ended = time.Now()
		r.mu.Lock()
		r.requests[id] = request
		r.mu.Unlock()
		if !kept {
			conn.Close()
			conn = nil
		}
		pause.For(ctx, time.Duration(rng.Int64N(int64(thinkTime))))
	}
	if conn != nil {
		conn.Close()
	}
}

// exchange sends a request, half of them with a body that ends some time after the head, and
// reads and checks the response.
func (r *signalRun) exchange(conn net.Conn, reader *bufio.Reader, rng *rand.Rand, id string, request *keptRequest) (kept bool) {
	headers := platform.HeaderNames()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: k1\r\n%s: 5000\r\nContent-Length: 2\r\n\r\nb", request.kind,
		headers.RequestID, id, headers.Key, headers.Deadline)
	slow := rng.IntN(2) == 0
	if !slow {
		head += "b"
	}
	if _, request.err = io.WriteString(conn, head); request.err != nil {
		return false
	}
	if slow {
		time.Sleep(time.Duration(rng.Int64N(int64(slowBodyTime))))
		if _, request.err = io.WriteString(conn, "b"); request.err != nil {
			return false
		}
	}
	request.sent = time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		request.err = err
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		request.err = err
		return false
	}
	request.status = response.StatusCode
	want := standin.ResponseBody(id)
	if request.kind == "ask" {
		var stream strings.Builder
		for n := int64(1); n <= soakEventsPerStream; n++ {
			fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
		}
		want = stream.String()
	}
	switch {
	case response.StatusCode == http.StatusOK && (string(body) != want || response.Header.Get(headers.Signature) != standin.Signature(id)):
		r.violation("%s: %s answered with %q", id, request.gateway, body)
	case response.StatusCode == http.StatusNotFound, response.StatusCode == http.StatusUnauthorized, response.StatusCode == http.StatusForbidden:
		r.violation("%s: %s answered %d", id, request.gateway, response.StatusCode)
	}
	return !response.Close
}

// submit submits jobs, each until it is accepted.
func (r *signalRun) submit(ctx context.Context, submitter int) {
	rng := rand.New(rand.NewPCG(r.seed, 1000+uint64(submitter)))
	gateways := r.site.Role(Gateway)
	for n := 0; ctx.Err() == nil; n++ {
		job := &signalJob{id: fmt.Sprintf("lot-%d-%d", submitter, n), onlyDenied: true}
		var requests []any
		for i := range 5 {
			kind := "item"
			switch {
			case i == 0 && n%4 == 0:
				kind = "slow"
			case i == 1 && n%3 == 0:
				kind = "large"
			}
			item := fmt.Sprintf("%s-%s-%d", kind, job.id, i)
			job.items = append(job.items, item)
			requests = append(requests, map[string]any{"id": item, "path": "/lots/x",
				"body": base64.StdEncoding.EncodeToString([]byte(itemBody(item))), "token_count": 100})
		}
		job.body, _ = json.Marshal(map[string]any{"requests": requests}) // cannot fail: only strings and numbers
		r.mu.Lock()
		r.jobs = append(r.jobs, job)
		r.mu.Unlock()
		end := time.Now().Add(jobSubmissionTimeout)
		for ctx.Err() == nil && time.Now().Before(end) {
			if r.submitOnce(gateways[rng.IntN(len(gateways))], job) {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		pause.For(ctx, time.Duration(200+rng.IntN(400))*time.Millisecond)
	}
}

// itemBody is longer than a frame for each fourth item or so.
func itemBody(item string) string {
	if len(item)%4 == 0 {
		return item + strings.Repeat("b", 100<<10)
	}
	return "body of " + item
}

func (r *signalRun) submitOnce(gateway *Host, job *signalJob) (accepted bool) {
	response := r.site.Send(context.Background(), gateway, http.MethodPost, "/lots/x", job.id, job.body)
	job.mu.Lock()
	defer job.mu.Unlock()
	switch {
	case response.Err == nil && response.Status == http.StatusAccepted:
		if job.accepted.IsZero() {
			job.accepted = time.Now()
		}
		return true
	case response.Err == nil && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
		return false
	case response.Err == nil && response.Status < http.StatusInternalServerError:
		r.violation("%s: submission answered %d at %s: %s", job.id, response.Status, gateway.Name, response.Body)
	}
	job.onlyDenied = false
	return false
}

// readJobs reads accepted jobs from any position and bodies of their items at any gateway, and
// submits some of them once more.
func (r *signalRun) readJobs(ctx context.Context, reader int) {
	rng := rand.New(rand.NewPCG(r.seed, 2000+uint64(reader)))
	gateways := r.site.Role(Gateway)
	for ctx.Err() == nil {
		pause.For(ctx, 30*time.Millisecond)
		r.mu.Lock()
		jobs := r.jobs
		r.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		job, gateway := jobs[rng.IntN(len(jobs))], gateways[rng.IntN(len(gateways))]
		job.mu.Lock()
		accepted, known := job.accepted, len(job.results)
		job.mu.Unlock()
		if accepted.IsZero() {
			continue
		}
		switch rng.IntN(6) {
		case 0:
			r.readBody(ctx, gateway, job, job.items[rng.IntN(len(job.items))])
		case 1:
			if time.Since(accepted) < 10*time.Second {
				r.submitOnce(gateway, job)
			}
		default:
			r.readResults(ctx, gateway, job, rng.IntN(known+1))
		}
	}
}

// readResults reads the results of a job from a position and compares them with what was read
// before. It returns the position after the last result, and false without a response.
func (r *signalRun) readResults(ctx context.Context, gateway *Host, job *signalJob, after int) (next int, ok bool) {
	begun := time.Now()
	job.mu.Lock()
	accepted := job.accepted
	var readAt time.Time
	if after < len(job.readAt) {
		readAt = job.readAt[after]
	}
	job.mu.Unlock()
	response := r.site.Send(ctx, gateway, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job.id, after), "read", nil)
	if response.Err != nil || response.Status >= http.StatusInternalServerError {
		return after, false
	}
	var page struct {
		Total, Next int
		Results     []signalResult
	}
	if response.Status != http.StatusOK || json.Unmarshal([]byte(response.Body), &page) != nil {
		if begun.Sub(accepted) > settleTime {
			r.violation("%s: read from %d at %s %s after its acceptance: %d %s", job.id, after, gateway.Name, begun.Sub(accepted), response.Status, response.Body)
		}
		return after, false
	}
	if page.Total != len(job.items) {
		r.violation("%s: total %d of %d at %s", job.id, page.Total, len(job.items), gateway.Name)
	}
	if len(page.Results) == 0 && !readAt.IsZero() && begun.Sub(readAt) > settleTime {
		r.violation("%s: nothing at position %d at %s, read %s before", job.id, after, gateway.Name, begun.Sub(readAt))
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	for i, result := range page.Results {
		position := after + i
		switch {
		case position < len(job.results):
			if job.results[position] != result {
				r.violation("%s: position %d holds %s %s, before %s %s (texts of %d and %d bytes)", job.id, position, result.ID, result.State,
					job.results[position].ID, job.results[position].State, len(result.Text), len(job.results[position].Text))
			}
		case position == len(job.results):
			for other, earlier := range job.results {
				if earlier.ID == result.ID {
					r.violation("%s: item %s at positions %d and %d", job.id, result.ID, other, position)
				}
			}
			job.results, job.readAt = append(job.results, result), append(job.readAt, time.Now())
			r.checkText(job, result)
		}
	}
	r.mu.Lock()
	r.reads++
	r.mu.Unlock()
	return after + len(page.Results), true
}

func (r *signalRun) checkText(job *signalJob, result signalResult) {
	b := signalBehaviour(result.ID)
	events := make([]string, 0, b.Events)
	for n := int64(1); n <= int64(b.Events); n++ {
		events = append(events, standin.EventData(result.ID, n)+b.Mark)
	}
	if result.State != "completed" || result.Text != strings.Join(events, "\n") {
		r.violation("%s: item %s is %s with %d bytes of text, not the whole text", job.id, result.ID, result.State, len(result.Text))
	}
}

// readBody reads the body of an item. An item may have none any more once a target can have
// finished it, which takes a slow one as long as its events.
func (r *signalRun) readBody(ctx context.Context, gateway *Host, job *signalJob, item string) {
	begun := time.Now()
	response := r.site.Send(ctx, gateway, http.MethodGet, "/v1/items/"+job.id+"?id="+item, "body", nil)
	job.mu.Lock()
	accepted := job.accepted
	job.mu.Unlock()
	switch {
	case response.Err != nil || response.Status >= http.StatusInternalServerError:
	case response.Status == http.StatusOK:
		if response.Body != itemBody(item) {
			r.violation("%s: body of %s changed: %d bytes", job.id, item, len(response.Body))
		}
	case strings.HasPrefix(item, "slow") && begun.Sub(accepted) > settleTime && time.Since(accepted) < (slowItemEvents-1)*slowItemInterval:
		r.violation("%s: body of %s at %s %s after the acceptance: %d", job.id, item, gateway.Name, begun.Sub(accepted), response.Status)
	}
}

// signalHosts sends series of signals that overlap, until ctx ends, and leaves all hosts running.
func (r *signalRun) signalHosts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.seed, 3000))
	var wg conc.WaitGroup
	defer wg.Wait()
	var stateful sync.Mutex // planned stops leave a replica group its quorum
	longest := stopPause
	if !r.planned {
		longest = killPause
	}
	for pause.For(ctx, 100*time.Millisecond+time.Duration(rng.Int64N(int64(longest)))) {
		if !r.planned && rng.IntN(8) == 0 {
			r.cutPower(rng)
			continue
		}
		h, seed := r.site.Hosts[rng.IntN(len(r.site.Hosts))], rng.Uint64()
		if rng.IntN(2) == 0 {
			gateways := r.site.Role(Gateway)
			h = gateways[rng.IntN(len(gateways))]
		}
		wg.Go(func() {
			if !h.faultMu.TryLock() {
				return
			}
			defer h.faultMu.Unlock()
			if r.planned && h.Role != Gateway {
				if !stateful.TryLock() {
					return
				}
				defer stateful.Unlock()
			}
			r.signalSeries(h, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

// signalSeries sends some signals to one host and starts it again if they end it.
func (r *signalRun) signalSeries(h *Host, rng *rand.Rand) {
	kinds := 3
	if !r.planned {
		kinds = 6
	}
	for range 1 + rng.IntN(4) {
		switch rng.IntN(kinds) {
		case 0:
			r.fault(h, "SIGHUP", false)
			h.Signal(syscall.SIGHUP)
		case 1, 2:
			r.stop(h, rng)
			return
		case 3:
			r.fault(h, "SIGSTOP", true)
			h.Signal(syscall.SIGSTOP)
			if rng.IntN(3) == 0 {
				r.fault(h, "SIGTERM", true)
				h.Signal(syscall.SIGTERM) // is delivered with SIGCONT
			}
			time.Sleep(time.Duration(200+rng.IntN(2500)) * time.Millisecond)
			r.fault(h, "SIGCONT", true)
			h.Signal(syscall.SIGCONT)
			if h.awaitExit(50 * time.Millisecond) {
				r.restart(h, rng)
				return
			}
		default:
			r.fault(h, "SIGKILL", true)
			h.Kill()
			r.restart(h, rng)
		}
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	// A process that got SIGTERM while it was paused ends later.
	if !r.planned && h.awaitExit(10*time.Second) {
		r.restart(h, rng)
	}
}

// stop sends SIGTERM, at times with other signals during the stop, and starts the host again.
func (r *signalRun) stop(h *Host, rng *rand.Rand) {
	r.fault(h, "SIGTERM", false)
	h.Signal(syscall.SIGTERM)
	at := time.Now()
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		again := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(2)]
		r.fault(h, fmt.Sprint(again, " again"), false)
		h.Signal(again)
	}
	if !r.planned && rng.IntN(3) == 0 {
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		r.fault(h, "SIGKILL in the stop", true)
		h.Kill()
	}
	if h.Role == Gateway && !h.awaitExit(time.Until(at.Add(notReadyTime))) && r.site.Ready(h) && r.site.Ready(h) {
		r.violation("%s: ready %s after SIGTERM", h.Name, time.Since(at))
	}
	if !h.awaitExit(exitTimeout) {
		r.violation("%s: runs %s after SIGTERM", h.Name, time.Since(at))
		h.Kill()
	}
	r.restart(h, rng)
}

func (r *signalRun) restart(h *Host, rng *rand.Rand) {
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	r.fault(h, "start", !r.planned)
	if err := h.Start(); err != nil {
		r.violation("%s: start: %v", h.Name, err)
	}
}

// cutPower kills all hosts, or all of one role, at once and starts them in any order. Hosts in
// a series of signals are left out, unless that is over in a moment.
func (r *signalRun) cutPower(rng *rand.Rand) {
	hosts := r.site.Hosts
	if roles := []string{"", Control, Store}; rng.IntN(2) == 0 {
		if role := roles[rng.IntN(len(roles))]; role != "" {
			hosts = r.site.Role(role)
		}
	}
	var locked []*Host
	for _, h := range hosts {
		if h.faultMu.TryLock() {
			locked = append(locked, h)
			defer h.faultMu.Unlock()
		}
	}
	for _, h := range locked {
		r.fault(h, "SIGKILL with others", true)
		h.Signal(syscall.SIGKILL)
	}
	for _, i := range rng.Perm(len(locked)) {
		locked[i].Kill()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		r.restart(locked[i], rng)
	}
}

// checkEnd checks, with all hosts running, that each accepted job is complete at each gateway and
// that what was read before comes again, and that requests and runs fit the answers.
func (r *signalRun) checkEnd(t *testing.T) {
	for _, h := range r.site.Hosts {
		if h.awaitExit(time.Millisecond) {
			r.violation("%s ended by itself, see %s", h.Name, h.LogPath())
			require.NoError(t, h.Start()) // so that its end does not hide what the others hold
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), recoveryTimeout)
	defer cancel()
	for _, g := range r.site.Role(Gateway) {
		for !r.site.Ready(g) && pause.For(ctx, 20*time.Millisecond) {
			continue
		}
		for _, job := range r.jobs {
			if !job.accepted.IsZero() {
				r.checkComplete(ctx, g, job)
			}
		}
	}
	r.checkRequests()
	for _, line := range r.site.RaceAndPanicLines() {
		r.violation("%s", line)
	}
}

// checkComplete reads a job from its start at one gateway until all of its items are listed.
func (r *signalRun) checkComplete(ctx context.Context, g *Host, job *signalJob) {
	next, ok := 0, false
	for next < len(job.items) {
		if next, ok = r.readResults(ctx, g, job, next); (!ok || next < len(job.items)) && !pause.For(ctx, 50*time.Millisecond) {
			r.violation("%s: %d of %d items can be read at %s at the end", job.id, next, len(job.items), g.Name)
			return
		}
	}
}

func (r *signalRun) checkRequests() {
	runs := make(map[string]int)
	for _, target := range r.targets {
		for _, run := range target.Runs() {
			runs[run.ID]++
		}
	}
	for id, request := range r.requests {
		refused := request.status == http.StatusServiceUnavailable || request.status == http.StatusTooManyRequests ||
			request.status == http.StatusRequestTimeout || request.status == http.StatusMisdirectedRequest
		switch {
		case request.kind == "once" && runs[id] > 1:
			r.violation("%s ran %d times", id, runs[id])
		case request.kind == "once" && runs[id] > 0 && refused:
			r.violation("%s ran and was answered %d by %s", id, request.status, request.gateway)
		}
		if request.status != 0 {
			r.answered++
			continue
		}
		r.cut++
		if request.sent.IsZero() || r.harmsRequest(request) {
			continue
		}
		if runs[id] > 0 || request.ended.Sub(request.sent) > answerSlack {
			r.violation("%s: sent at %.3fs to %s, ran %d times, no answer at %.3fs: %v", id, request.sent.Sub(r.started).Seconds(), request.gateway,
				runs[id], request.ended.Sub(r.started).Seconds(), request.err)
		}
	}
	for _, job := range r.jobs {
		for _, item := range job.items {
			if job.accepted.IsZero() && job.onlyDenied && runs[item] > 0 {
				r.violation("%s: refused at every attempt, and %s ran", job.id, item)
			}
		}
	}
}

// harmsRequest reports whether the request's gateway was killed or paused around it.
func (r *signalRun) harmsRequest(request *keptRequest) bool {
	for _, harmed := range r.harmed[request.gateway] {
		if harmed.After(request.begun.Add(-harmTime)) && harmed.Before(request.ended.Add(harmTime/10)) {
			return true
		}
	}
	return false
}
