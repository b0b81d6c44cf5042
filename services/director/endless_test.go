package director

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// maxProbeBytes bounds what an endless response may get rid of: the limit of one response
// about health, and what the socket buffers on both sides hold.
const maxProbeBytes = 8 << 20

// Report of other operators: an engine sends bytes without end, and the machine that called it
// keeps them all and runs out of memory. A control host asks all targets that it knew about
// their health when it starts.
func TestHealthWithoutEndFillsMemory(t *testing.T) {
	for name, response := range standin.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			endless, err := standin.NewEndless(standin.HeaderNames(), response)
			require.NoError(t, err)
			defer endless.Close()
			_, err = probe(endless.Addr, "/health", "t", HealthHeaders{Target: "X-Target", ColdFor: "X-Cold"})
			assert.Error(t, err)
			assert.Less(t, endless.Most(), int64(maxProbeBytes))
		})
	}
}
