package entry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// addRawTargets adds targets that answer the first request with first, and all later ones,
// whichever target they reach, with then.
func (f *fixture) addRawTargets(count int, first, then string) *atomic.Int64 {
	f.t.Helper()
	requests := new(atomic.Int64)
	respond := func(r *http.Request) string {
		response := then
		if requests.Add(1) == 1 {
			response = first
		}
		return strings.ReplaceAll(response, "ID", r.Header.Get("X-Id"))
	}
	for i := range count {
		raw, err := standin.NewRaw(respond)
		require.NoError(f.t, err)
		f.t.Cleanup(raw.Close)
		named := standin.Target{ID: "raw" + string(rune('0'+i)), Addr: raw.Addr}
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{named.Report("llm", "a", 8)}})
	}
	return requests
}

// readRaw sends a request on a connection of its own and returns the status and the body of
// the response, and the error at which the body ended. Status 0: the connection was closed
// without a response.
func (f *fixture) readRaw(path, id string) (status int, body string, err error) {
	f.t.Helper()
	conn := f.beginRequest(path, id, 1)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// Report of other operators: a stream had begun and broke off, and the next engine answered
// with an error. Callers found the error's text or head in their stream, or the stream ended
// as if it were complete.
func TestErrorAfterBrokenStreamReachesCaller(t *testing.T) {
	for point, begun := range standin.BrokenStreams() {
		t.Run(point, func(t *testing.T) {
			t.Parallel()
			hasEvent := strings.Contains(begun, "data: "+standin.EventData("ID", 1)+"\n\n")
			for kind, failure := range standin.Errors() {
				if standin.IsBeginning(kind) && !hasEvent {
					continue
				}
				for _, path := range []string{"/resume/1", "/stream/1"} {
					f := newFixture(t)
					requests := f.addRawTargets(2, begun, failure)
					status, body, err := f.readRaw(path, "id")
					what := kind + " at " + path
					assert.NotZero(t, requests.Load(), what)
					if status == http.StatusOK {
						assert.Error(t, err, "%s: the response ended as if it were complete: %q", what, body)
					}
					assert.NotContains(t, body, "FOREIGN", what)
					assert.NotContains(t, body, "HTTP/1.1", what)
					if status == http.StatusOK {
						assert.True(t, strings.HasPrefix(eventText("id", 1, standin.BrokenStreamEvents), body), "%s: %q", what, body)
						assert.True(t, body == "" || strings.HasSuffix(body, "\n\n"), "%s: part of an event: %q", what, body)
					}
				}
			}
		})
	}
}
