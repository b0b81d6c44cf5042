package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/catalog"
	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/core/routing"
	"banyanwalk/infra/httplimits"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
	"banyanwalk/services/standin"
)

// resultsPath is followed by the id of the job whose results are read, with GET, or that is
// ended.
const resultsPath = "/results/"

// jobCodec takes the request's id for that of its job, and its body for the only item's.
type jobCodec struct{ jobCodecStub }

func (jobCodec) Parse(ctx *fasthttp.RequestCtx) (JobCall, bool) {
	id, found := strings.CutPrefix(string(ctx.Path()), resultsPath)
	call := JobCall{Action: ReadResults, Job: id}
	if string(ctx.QueryArgs().Peek("end")) != "" {
		call.Action = EndJob
	}
	return call, found
}

func (jobCodec) ParseSubmission(ctx *fasthttp.RequestCtx) (*Submission, error) {
	item := jobs.Item{ID: "item", Path: string(ctx.Path()), Body: append([]byte(nil), ctx.PostBody()...)}
	return &Submission{ID: string(ctx.Request.Header.Peek(headerNames.RequestID)), Items: []jobs.Item{item}}, nil
}

// jobFixture is a gateway with a batch route, and a storage host that keeps the jobs in a
// machine without a log.
type jobFixture struct {
	*fixture
	putDocument func(change func(*routing.Document)) // puts the next version in force
	version     uint64                               // of the newest document

	mu      sync.Mutex
	machine *jobs.Machine
}

func newJobFixture(t *testing.T, behaviours ...standin.Behaviour) *jobFixture {
	j := &jobFixture{machine: jobs.NewMachine()}
	var current *routing.Document
	follower := follow.New(follow.Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func([]byte) (*routing.Document, error) { return current, nil },
		Log:    telemetry.Discard(),
	})
	j.fixture = newFixtureWithConfig(t, func(c *Config) { c.Jobs, c.Follower = jobCodec{}, follower }, behaviours...)
	j.follower = follower
	j.putDocument = func(change func(*routing.Document)) {
		j.version++
		current = document()
		current.Version = j.version
		current.Routes = append(current.Routes, routing.Route{Name: "lots", Host: routeHost, Prefix: "/lots/", Kind: routing.Batch, Timeout: waitTimeout,
			Shares: []routing.Share{{Service: "llm", Weight: 1}}})
		change(current)
		follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: j.version, Version: j.version}, nil)})
	}
	for _, target := range j.targets {
		follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{target.Report("llm", "a", 8)}})
	}
	j.serveStorage(func(server *wire.Server) {
		wire.HandleUnary(server, rpc.MethodJobSubmit, j.submit)
		wire.HandleUnary(server, rpc.MethodJobRead, j.read)
		wire.HandleUnary(server, rpc.MethodJobEnd, j.end)
	})
	return j
}

func (j *jobFixture) submit(_ context.Context, spec *jobs.Spec) (*rpc.Ack, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if refused := j.machine.Apply(jobs.Command{Submit: spec}).Error; refused != nil {
		return nil, refused
	}
	return &rpc.Ack{}, nil
}

func (j *jobFixture) read(_ context.Context, r *rpc.JobRead) (*rpc.JobResults, error) {
	if job := j.job(r.Job); job == nil || !job.IsOpenTo(r.Workspace) {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "no job %q", r.Job)
	}
	return &rpc.JobResults{Total: 1}, nil
}

func (j *jobFixture) end(_ context.Context, e *jobs.EndJob) (*rpc.Ack, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if refused := j.machine.Apply(jobs.Command{End: e}).Error; refused != nil {
		return nil, refused
	}
	return &rpc.Ack{}, nil
}

func (j *jobFixture) job(id string) *jobs.Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.machine.Job(id)
}

// Guards against a submission that fits no frame and is tried at one storage host after
// another: its caller got 503 no_quorum and came back again and again.
func TestSubmissionBeyondOneFrameIsRefused(t *testing.T) {
	j := newJobFixture(t)
	j.putDocument(func(*routing.Document) {})
	response, body, err := j.sendWithBody("/lots/1", "job", strings.Repeat("b", httplimits.DefaultBodyBytes))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode, body)
	assert.Nil(t, j.job("job"))
}

// Guards against a job without the version of the document that a gateway accepted it by:
// a storage host whose document is older abandons its items (review/3).
func TestSubmissionNamesItsDocument(t *testing.T) {
	j := newJobFixture(t)
	for range 2 {
		j.putDocument(func(*routing.Document) {})
	}
	response, _, err := j.send("/lots/1", "job")
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	assert.Equal(t, uint64(2), j.job("job").Document)
}

// Guards against a job that is accepted and then not found by its caller: the workspace of a
// submission on a public route was none, while reading took that of the key, and its items
// carried no workspace (review/5).
func TestCallsOnJobAgreeOnItsWorkspace(t *testing.T) {
	const known, other, unknown, none = "k1", "k2", "k9", ""
	publicLots := func(d *routing.Document) { d.Routes[len(d.Routes)-1].Public = true }
	private := func(*routing.Document) {}
	withoutWorkspaces := func(d *routing.Document) { d.Workspaces = nil }
	for name, test := range map[string]struct {
		submitted func(*routing.Document) // the document
		key       string                  // of the submission
		status    int                     // of its response
		workspace string                  // of the job
		read      func(*routing.Document)
		statuses  map[string]int // of calls on the job, by key
	}{
		"private route":                 {private, known, 202, "w1", private, map[string]int{known: 200, other: 404, unknown: 401, none: 401}},
		"private route becomes public":  {private, known, 202, "w1", publicLots, map[string]int{known: 200, other: 404, unknown: 401, none: 401}},
		"private route, unknown key":    {private, unknown, 401, "", private, nil},
		"private route, no key":         {private, none, 401, "", private, nil},
		"public route":                  {publicLots, known, 202, "w1", publicLots, map[string]int{known: 200, other: 404, unknown: 401, none: 401}},
		"public route becomes private":  {publicLots, known, 202, "w1", private, map[string]int{known: 200, other: 404, none: 401}},
		"public route, unknown key":     {publicLots, unknown, 401, "", publicLots, nil},
		"public route, no key":          {publicLots, none, 202, "", publicLots, map[string]int{known: 200, none: 200, unknown: 401}},
		"no key, then the route closes": {publicLots, none, 202, "", private, map[string]int{known: 200, none: 200}},
		"before there were workspaces":  {withoutWorkspaces, known, 202, "", private, map[string]int{known: 200, unknown: 401}},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJobFixture(t)
			j.putDocument(test.submitted)
			response, body, err := j.send("/lots/1", "job", "X-Key", test.key)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, body)
			j.putDocument(test.read)
			if test.status != http.StatusAccepted {
				assert.Nil(t, j.job("job"))
				return
			}
			assert.Equal(t, test.workspace, j.job("job").Workspace)
			for key, want := range test.statuses {
				for _, path := range []string{resultsPath + "job", resultsPath + "job?end=1"} {
					response, body, err := j.send(path, "call", "X-Key", key)
					require.NoError(t, err)
					assert.Equal(t, want, response.StatusCode, "%s with key %q: %s", path, key, body)
				}
			}
		})
	}
}

// Guards against a request whose key names a workspace and that reaches its target without
// it, because its route needs no key.
func TestKeyOnPublicRouteNamesItsWorkspace(t *testing.T) {
	j := newJobFixture(t, standin.Behaviour{})
	j.putDocument(func(d *routing.Document) {
		for i := range d.Routes {
			d.Routes[i].Public = true
		}
	})
	want := map[string]string{"k1": "w1", "k9": "", "": ""}
	for key := range want {
		response, _, err := j.send("/safe/1", "key "+key, "X-Key", key)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	runs := j.allRuns()
	require.Len(t, runs, len(want))
	for _, run := range runs {
		assert.Equal(t, want[strings.TrimPrefix(run.ID, "key ")], run.Workspace, run.ID)
		assert.Empty(t, run.Header.Get("X-Key"))
	}
}
