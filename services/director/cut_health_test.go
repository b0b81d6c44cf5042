package director

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// Report of other operators: an engine stopped in the middle of its response's head. A target
// whose answer about its health broke off in the head is not taken for healthy or warm. The
// body is not read.
func TestCutHealthCountsAsHealthy(t *testing.T) {
	var sent atomic.Pointer[standin.Cut]
	raw, err := standin.NewCut(func(*http.Request) standin.Cut { return *sent.Load() })
	require.NoError(t, err)
	defer raw.Close()
	tried := 0
	for framing, response := range standin.Framings("t", "X-Target: t\r\nX-Cold: 40\r\n", "ok") {
		for n := range 2 * (len(response.Text) + 1) {
			cut := response.Cut(n/2, n%2 == 1)
			sent.Store(&cut)
			coldFor, err := probe(raw.Addr, "/health", "t", HealthHeaders{Target: "X-Target", ColdFor: "X-Cold"})
			if cut.HeadSent {
				require.NoError(t, err, "%s: %q", framing, cut.Sent)
				require.Equal(t, 40*time.Millisecond, coldFor, "%s: %q", framing, cut.Sent)
			} else {
				require.Error(t, err, "%s: %q", framing, cut.Sent)
			}
			tried++
		}
	}
	t.Logf("%d cuts", tried)
}
