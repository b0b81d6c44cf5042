package adminclient

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// Report of other operators: a peer stopped in the middle of its response's head and closed.
// An order whose response broke off is not taken for confirmed.
func TestCutResponseIsNotTakenAsConfirmation(t *testing.T) {
	var sent atomic.Pointer[standin.Cut]
	raw, err := standin.NewCut(func(*http.Request) standin.Cut { return *sent.Load() })
	require.NoError(t, err)
	defer raw.Close()
	c := New(Config{Addrs: []string{raw.Addr}, Timeout: time.Second})
	tried := 0
	for framing, response := range standin.Framings("t", "", `{"value":71}`) {
		for n := range 2 * (len(response.Text) + 1) {
			cut := response.Cut(n/2, n%2 == 1)
			sent.Store(&cut)
			var out struct{ Value int }
			err := c.attemptOnce(raw.Addr, http.MethodPost, "/x", []byte("{}"), &out, time.Now().Add(time.Second))
			switch {
			case err == nil:
				assert.True(t, cut.Complete && cut.Body == response.Body, "looks complete: %s: %q", framing, cut.Sent)
				assert.Equal(t, 71, out.Value, "%s: %q", framing, cut.Sent)
			case n == 2*len(response.Text): // the HTTP library takes no heads with LF only
				assert.Contains(t, framing, "LF only", "%v: %q", err, cut.Sent)
			}
			tried++
		}
	}
	t.Logf("%d cuts", tried)
}
