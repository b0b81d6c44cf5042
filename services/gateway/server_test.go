package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/auth"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

func requireCode(t *testing.T, r reply, code outcome.Code, o outcome.Outcome) {
	t.Helper()
	var body httpapi.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	require.Equal(t, code.Name(), body.Error.Type, r.body)
	require.Equal(t, o.String(), body.Error.Outcome, r.body)
	require.Equal(t, code.HTTPStatus(), r.status)
}

func TestNonStreamedResponse(t *testing.T) {
	a := startAgent(t, echo)
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	r := g.chat(t)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, chatBody, r.body)
	require.Equal(t, "application/json", r.header.Get("Content-Type"))
	open := a.lastRequest(t)
	require.Equal(t, r.header.Get(requestIDHeader), open.ID.RequestID)
	require.Equal(t, "alpha", open.Workspace)
	require.Equal(t, chatPath, open.Path)
	require.True(t, open.Idempotent)
}

func TestRefusals(t *testing.T) {
	a := startAgent(t, echo)
	state := newFakeState(t, target("e1", "m1", a))
	g := startGateway(t, Config{State: state})
	for name, tc := range map[string]struct {
		method, path, key, body string
		code                    outcome.Code
	}{
		"no key":            {"POST", chatPath, "", chatBody, outcome.KeyMissing},
		"unknown key":       {"POST", chatPath, "nope", chatBody, outcome.KeyUnknown},
		"models need a key": {"GET", "/v1/models", "", "", outcome.KeyMissing},
		"no route":          {"POST", "/v2/x", keyA, chatBody, outcome.UnknownRoute},
		"no service":        {"POST", "/v1/services/none", keyA, "", outcome.UnknownRoute},
		"other model":       {"POST", chatPath, keyA, `{"model":"zzz"}`, outcome.UnknownModel},
		"service as model":  {"POST", chatPath, keyA, `{"model":"desk"}`, outcome.UnknownModel},
		"model by case":     {"POST", chatPath, keyA, `{"Model":"m1"}`, outcome.BadRequest},
		"model forbidden":   {"POST", chatPath, keyB, chatBody, outcome.NotAllowed},
		"no target":         {"POST", chatPath, keyA, `{"model":"m2"}`, outcome.NoTarget},
		"no JSON":           {"POST", chatPath, keyA, `[`, outcome.BadRequest},
		"reserved field":    {"POST", chatPath, keyA, `{"model":"m1","resume_from_tokens":2}`, outcome.BadRequest},
		"large body":        {"POST", chatPath, keyA, strings.Repeat("x", 100001), outcome.BodyTooLarge},
		"dot segments":      {"POST", "/v1/services/desk/open/../pay", keyA, "", outcome.BadRequest},
		"escapes":           {"POST", "/v1/services/desk/open%2f..%2fpay", keyA, "", outcome.BadRequest},
		"key in the body":   {"POST", chatPath, keyA, `{"model":"m1","user":"` + keyA + `"}`, outcome.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r := g.do(t, tc.method, tc.path, tc.key, tc.body)
			requireCode(t, r, tc.code, outcome.NotRun)
		})
	}
	require.Zero(t, a.received.Load())
}

// A request may be refused before its body is read. The rest of the body must not
// be parsed as the next request on the connection.
func TestUnreadBodyDoesNotDesynchronise(t *testing.T) {
	a := startAgent(t, echo)
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a))})
	large := `{"model":"m1","x":"` + strings.Repeat("GET /v1/models HTTP/1.1\r\n\r\n", 3000) + `"}`
	for range 20 {
		requireCode(t, g.do(t, "POST", chatPath, "nope", large), outcome.KeyUnknown, outcome.NotRun)
		require.Equal(t, chatBody, g.chat(t).body)
	}
}

// Guards against a connection reset: without reading the rest of a refused body,
// the gateway closed the connection of a caller that was still sending, before the
// caller read the response.
func TestResponseArrivesWhenLargeBodyIsRefused(t *testing.T) {
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", startAgent(t, echo)))})
	large := strings.Repeat("a", 20<<20)
	for range 20 {
		requireCode(t, g.do(t, "POST", chatPath, keyA, large), outcome.BodyTooLarge, outcome.NotRun)
	}
}

func TestStaleStateRefusesRequests(t *testing.T) {
	a := startAgent(t, echo)
	state := newFakeState(t, target("e1", "m1", a))
	g := startGateway(t, Config{State: state})
	require.Equal(t, http.StatusOK, g.do(t, "GET", "/readyz", "", "").status)
	state.stale.Store(true)
	r := g.chat(t)
	requireCode(t, r, outcome.StateStale, outcome.NotRun)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, http.StatusServiceUnavailable, g.do(t, "GET", "/readyz", "", "").status)
	require.Equal(t, http.StatusOK, g.do(t, "GET", "/healthz", "", "").status)
	require.Zero(t, a.received.Load())
}

func TestKeyNeverReachesTarget(t *testing.T) {
	a := startAgent(t, echo)
	service := target("s1", "desk", a)
	g := startGateway(t, Config{State: newFakeState(t, target("e1", "m1", a), service)})
	path := "/v1/services/desk/safe/x?a=1&key=" + keyA + "&api_key=zzz&b=" + keyA
	r := g.do(t, "GET", path, keyA, "", "X-Api-Key", keyA, "Cookie", keyA, "Accept-Language", keyA,
		"X-Banyan-Workspace", "beta", "X-Request-Id", "mine", "Traceparent", "00-1")
	require.Equal(t, http.StatusOK, r.status)
	open := a.lastRequest(t)
	require.Equal(t, "alpha", open.Workspace)
	require.Equal(t, "/safe/x?a=1", open.Path)
	require.NotEqual(t, "mine", open.ID.RequestID)
	for _, h := range open.Headers {
		require.NotContains(t, h.Value, keyA)
		require.Contains(t, []string{"Traceparent", "Accept-Encoding", "Content-Type"}, h.Name)
	}
}

func TestOpenRouteHasNoWorkspace(t *testing.T) {
	a := startAgent(t, echo)
	g := startGateway(t, Config{State: newFakeState(t, target("s1", "desk", a))})
	for _, key := range []string{"", "nope", keyA} {
		require.Equal(t, http.StatusOK, g.do(t, "GET", "/v1/services/desk/open", key, "").status)
		require.Empty(t, a.lastRequest(t).Workspace)
	}
}

func TestRevokedKeyIsRefusedOnOpenConnection(t *testing.T) {
	a := startAgent(t, echo)
	state := newFakeState(t, target("e1", "m1", a))
	g := startGateway(t, Config{State: state})
	require.Equal(t, http.StatusOK, g.chat(t).status)
	newState := newFakeState(t)
	source := strings.Replace(string(newState.View().SignedBundle().Source), "keys: [{digest", "keys: [{label: other, digest", 1)
	source = strings.Replace(strings.Replace(source, "version: 1", "version: 2", 1), auth.KeyDigest(keyA), auth.KeyDigest("another"), 1)
	signed := *newState.View().SignedBundle()
	signed.Source = []byte(source)
	state.apply(t, fleet.Update{Revision: 2, Bundle: &signed})
	requireCode(t, g.chat(t), outcome.KeyUnknown, outcome.NotRun)
	require.EqualValues(t, 1, a.received.Load())
}

func TestModelListContainsOnlyAllowedModels(t *testing.T) {
	g := startGateway(t, Config{State: newFakeState(t)})
	var list modelList
	require.NoError(t, json.Unmarshal([]byte(g.do(t, "GET", "/v1/models", keyB, "").body), &list))
	require.Len(t, list.Data, 1)
	require.Equal(t, "m2", list.Data[0].ID)
}

func TestQuarantinedRequestIsRefused(t *testing.T) {
	a := startAgent(t, echo)
	state := newFakeState(t, target("e1", "m1", a))
	g := startGateway(t, Config{State: state})
	require.Equal(t, http.StatusOK, g.chat(t).status)
	verdict := quarantine.Verdict{Workspace: "alpha", Digest: a.lastRequest(t).Digest, Level: quarantine.Suspect}
	state.apply(t, fleet.Update{Revision: 2, Verdicts: []quarantine.Verdict{verdict}})
	require.Equal(t, http.StatusOK, g.chat(t).status)
	require.True(t, a.lastRequest(t).Suspect)
	verdict.Level = quarantine.Quarantined
	state.apply(t, fleet.Update{Revision: 3, Verdicts: []quarantine.Verdict{verdict}})
	requireCode(t, g.chat(t), outcome.Quarantined, outcome.NotRun)
	require.EqualValues(t, 2, a.received.Load())
}

func TestOutOfServiceTargetReceivesNoRequests(t *testing.T) {
	a := startAgent(t, echo)
	state := newFakeState(t, target("e1", "m1", a))
	g := startGateway(t, Config{State: state})
	state.apply(t, fleet.Update{Revision: 2, Marks: &fleet.Marks{DataCentresOut: []string{"dc1"}}})
	requireCode(t, g.chat(t), outcome.NoTarget, outcome.NotRun)
	require.Zero(t, a.received.Load())
}

func refuseWith(code outcome.Code, o outcome.Outcome) func(*fakeAgent, *rpc.ExecuteOpen, *wire.Stream) error {
	return func(*fakeAgent, *rpc.ExecuteOpen, *wire.Stream) error {
		return outcome.New(code, o, "refused by the test")
	}
}
