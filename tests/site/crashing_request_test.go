package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

const (
	// contactTime is the contact_ms of the sites.
	contactTime = 3 * time.Second
	// crashesAllowed and retriesAllowed bound the runs of a request that crashes
	// targets: crashesAllowed at any time, retriesAllowed more once contactTime has
	// passed after the last of these.
	crashesAllowed = 3
	retriesAllowed = 3
	resendInterval = 150 * time.Millisecond
)

// crashByID crashes the target for requests whose id starts with "poison".
func crashByID(id string) standin.Behaviour {
	if strings.HasPrefix(id, "poison") {
		return standin.Behaviour{Crash: true}
	}
	return standin.Behaviour{Events: 5, Pause: 2 * time.Millisecond}
}

// poisonRuns returns the runs of poison requests, oldest first.
func poisonRuns(t *testing.T, targets *RestartingTargets) []standin.Run {
	t.Helper()
	runs, errs := targets.Runs()
	require.Empty(t, errs)
	runs = slices.DeleteFunc(runs, func(r standin.Run) bool { return !strings.HasPrefix(r.ID, "poison") })
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return runs
}

// countLateRuns returns how many runs started later than contactTime after the
// last allowed crash.
func countLateRuns(runs []standin.Run) int {
	late := 0
	for i := range runs {
		if i >= crashesAllowed && runs[i].StartedAt.Sub(runs[crashesAllowed-1].StartedAt) > contactTime {
			late++
		}
	}
	return late
}

// Incident BUDGET: a request that had crashed three targets was sent to more and
// more of them, because no gateway remembered it from one attempt to the next.
func TestRequestThatCrashesTargetsIsSentOnWithoutEnd(t *testing.T) {
	for i, kind := range []string{"card", "ask", "once"} {
		t.Run(kind, func(t *testing.T) {
			s := startSite(t, 80+i)
			targets := s.AddRestartingTargets(12, "llm", 8, crashByID)
			t.Cleanup(targets.Stop)
			for _, g := range s.Role(Gateway) {
				awaitServed(t, s, g, "/ask/1", "first")
			}
			served, sound := 0, 0
			for n, started := 0, time.Now(); time.Since(started) < 2*contactTime; n++ {
				g := s.Role(Gateway)[n%2]
				poisoned := s.Send(t.Context(), g, http.MethodPost, "/"+kind+"/x", fmt.Sprintf("poison-%d", n), []byte("ends the target"))
				assert.NotEqual(t, http.StatusOK, poisoned.Status)
				sound++
				if s.Send(t.Context(), g, http.MethodPost, "/ask/x", fmt.Sprintf("sound-%d", n), []byte("sound")).Status == http.StatusOK {
					served++
				}
				time.Sleep(resendInterval)
			}
			runs := poisonRuns(t, targets)
			late := countLateRuns(runs)
			t.Logf("%d runs, %d of them late; %d of %d sound requests served", len(runs), late, served, sound)
			assert.LessOrEqual(t, late, retriesAllowed)
			assert.Equal(t, sound, served)
		})
	}
}
