package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// Incident report: several targets crashed while they ran the same sound items, and
// afterwards these were never placed again. Here the two targets of a service crash
// in waves, with one or with many slots, while the storage hosts, the leader among
// them, are killed in turn and online callers are cut off.
func TestSoundItemIsNeverPlacedAgain(t *testing.T) {
	const waves, items = 5, 6
	for i, slots := range []int{1, 8} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			s := startSite(t, 86+i)
			targets := s.AddRestartingTargets(2, "llm", slots, func(string) standin.Behaviour {
				return standin.Behaviour{Events: 20, Pause: 20 * time.Millisecond}
			})
			t.Cleanup(targets.Stop)
			gateway := s.Role(Gateway)[0]
			awaitServed(t, s, gateway, "/ask/1", "first")
			require.Eventually(t, func() bool {
				return s.Send(t.Context(), gateway, http.MethodPost, "/lots/x", "job", batchBody(items, "job")).Status == http.StatusAccepted
			}, conditionTimeout, 50*time.Millisecond)
			var callers conc.WaitGroup
			for wave := range waves {
				for n := range 4 {
					callers.Go(func() {
						s.Send(t.Context(), s.Role(Gateway)[n%2], http.MethodPost, "/ask/x", fmt.Sprintf("ask-%d-%d", wave, n), []byte("sound"))
					})
				}
				time.Sleep(300 * time.Millisecond)
				targets.Crash(0, 1)
				store := s.Role(Store)[wave%3]
				store.Kill()
				time.Sleep(400 * time.Millisecond)
				require.NoError(t, store.Start())
			}
			callers.Wait()
			results := awaitJobResults(t, s, gateway, "job", items)
			for _, r := range results.Results {
				assert.Equal(t, "completed", r.State, r.ID)
			}
		})
	}
}
