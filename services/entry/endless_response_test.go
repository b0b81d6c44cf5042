package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// maxEndlessBytes bounds what an endless response may get rid of: the limits of one
// response and what the socket buffers on both sides hold.
const maxEndlessBytes = 16 << 20

// addEndlessTarget starts an endless target and adds it to the gateway's targets.
func (f *fixture) addEndlessTarget(response standin.EndlessResponse) *standin.Endless {
	endless, err := standin.NewEndless(headerNames, response)
	require.NoError(f.t, err)
	f.t.Cleanup(endless.Close)
	report := f.targets[0].Report("llm", "a", 8)
	report.Report.ID, report.Report.Addr = "endless", endless.Addr
	f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
	return endless
}

// Incident report: an engine sends bytes without end, in a head or a body, until the
// caller closes. Each response takes bounded memory, the request is answered by
// another target at once, and the endless one gets no further requests for a while.
func TestBytesWithoutEndFillMemory(t *testing.T) {
	refusals := map[string]bool{"refusal": true, "bytes after a body": true}
	for name, endlessResponse := range standin.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3})
			endless := f.addEndlessTarget(endlessResponse)
			for endless.Requests() == 0 {
				response, body, err := f.send("/resume/x", "a")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Contains(t, body, standin.EventData("a", 3))
			}
			assert.Less(t, endless.Most(), int64(maxEndlessBytes))
			response, _, err := f.send("/resume/x", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			if !refusals[name] { // a target that refuses is busy, not faulty
				assert.Equal(t, int64(1), endless.Requests(), "the target must be avoided")
			}
		})
	}
}

// A head, or the body of a refusal, that comes byte by byte holds up its request for
// a bounded time only.
func TestSlowHeadEndsBeforeDeadline(t *testing.T) {
	cases := map[string]standin.EndlessResponse{
		"head":    {Start: "HTTP/1.1 200 OK\r\nX-Long: ", Filler: "x", Pause: 5 * time.Millisecond},
		"refusal": {Start: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n", Filler: "x", Pause: 5 * time.Millisecond},
	}
	for name, slow := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3})
			endless := f.addEndlessTarget(slow)
			for endless.Requests() == 0 {
				response, _, err := f.send("/safe/x", "a")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
			}
		})
	}
}
