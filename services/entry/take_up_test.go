package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/streams"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
	"banyanwalk/services/standin"
)

// serveOrigin makes a broker tell the gateway where each stream began.
func (f *fixture) serveOrigin(found rpc.StreamFound) {
	f.serveStorage(func(server *wire.Server) {
		wire.HandleUnary(server, rpc.MethodStreamFind, func(context.Context, *rpc.StreamFind) (*rpc.StreamFound, error) { return &found, nil })
	})
}

// serveStorage runs a leading storage host with the handlers that register adds.
func (f *fixture) serveStorage(register func(*wire.Server)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := wire.NewServer(telemetry.Discard(), nil)
	register(server)
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, l) }) // ends with the test
	f.t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	id, err := replicated.ID(l.Addr().String())
	require.NoError(f.t, err)
	storage := &rpc.StorageState{ID: id, Term: 1, Leads: true, Voters: []uint64{id}}
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: []rpc.Member{{Name: "s", Role: rpc.RoleStorage, Storage: storage}}})
}

// Report ORDER of issue 37: a gateway that was out of step while targets of a new version
// joined knows the old version only, or learns the new one late. A stream that began at
// the new version through another gateway must not go on at the old one there.
func TestTakeUpAtGatewayOutOfStep(t *testing.T) {
	known := func(version string) rpc.StreamFound {
		return rpc.StreamFound{Known: true, Origin: streams.Origin{Service: "llm", Version: version}}
	}
	for name, test := range map[string]struct {
		versions []string // of the targets that the gateway knows
		found    rpc.StreamFound
		target   string // that the stream goes on at; empty: it is refused
	}{
		"does not know the new version":       {[]string{"v1", "v1"}, known("v2"), ""},
		"knows it again":                      {[]string{"v1", "v2"}, known("v2"), "t1"},
		"knows it only":                       {[]string{"v2", "v2"}, known("v1"), ""},
		"origin without a version":            {[]string{"v1", "v2"}, known(""), ""},
		"target without a version":            {[]string{"v1", ""}, known("v2"), ""},
		"neither has a version":               {[]string{"v1", ""}, known(""), "t1"},
		"nobody knows the origin":             {[]string{"v1", "v1"}, rpc.StreamFound{}, ""},
		"began at another service's version":  {[]string{"v2", "v1"}, rpc.StreamFound{Known: true, Origin: streams.Origin{Service: "another", Version: "v2"}}, ""},
		"one version there, another's origin": {[]string{"v2"}, known("v1"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 20}, standin.Behaviour{Events: 20})
			f.reportVersions(test.versions...)
			if len(test.versions) == 1 {
				f.leave(1)
			}
			f.serveOrigin(test.found)
			response, _, err := f.send("/resume/1", "again", "Last-Event-Id", "5", "X-Resumes", "first")
			require.NoError(t, err)
			if test.target == "" {
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				assert.Empty(t, f.allRuns())
				return
			}
			assert.Equal(t, []string{test.target}, f.targetsOf("again"))
		})
	}
}
