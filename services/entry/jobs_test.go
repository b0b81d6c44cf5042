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
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/follow"
)

// jobCodec takes the request's id for that of its job, and its body for the only item's.
type jobCodec struct{ jobCodecStub }

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

func newJobFixture(t *testing.T) *jobFixture {
	j := &jobFixture{machine: jobs.NewMachine()}
	var current *routing.Document
	follower := follow.New(follow.Config{
		Member: rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode: func([]byte) (*routing.Document, error) { return current, nil },
		Log:    telemetry.Discard(),
	})
	j.fixture = newFixtureWithConfig(t, func(c *Config) { c.Jobs, c.Follower = jobCodec{}, follower })
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
	j.serveStorage(func(server *wire.Server) {
		wire.HandleUnary(server, rpc.MethodJobSubmit, j.submit)
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
	response, body, err := j.sendWithBody("/lots/1", "job", strings.Repeat("b", maxBodyBytes))
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
