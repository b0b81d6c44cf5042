package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/engine"
	"banyanwalk/services/standin"
)

// maxAgentBytes bounds what an endless response may get rid of: the limit of one document, and
// what the buffers of the sockets and of the proxy hold.
const maxAgentBytes = maxDocumentBytes + 16<<20

// Report of other operators: an engine sends bytes without end, and the machine that called it
// keeps them all and runs out of memory. The agent ends each attempt at such a model.
func TestModelResponseWithoutEndFillsMemory(t *testing.T) {
	for name, response := range standin.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			endless, err := standin.NewEndless(standin.HeaderNames(), response)
			require.NoError(t, err)
			t.Cleanup(endless.Close)
			h := newHarness(t)
			front, back := listen(t), listen(t)
			link := startFaultyLink(t, front, back.Addr().String())
			target := h.startOn(back, engine.Config{Name: "e", AdvertiseAddress: front.Addr().String()})
			link.redirect(endless.Addr)
			h.eventually(func() bool { return h.admitting(target.id) }, "the target is watched again")
			for endless.Requests() == 0 {
				for _, stream := range []bool{false, true} {
					got := h.run(t.Context(), h.chat(target, h.prompt(), 4, stream))
					assert.False(t, got.complete)
				}
			}
			assert.Less(t, endless.Most(), int64(maxAgentBytes))
		})
	}
}
