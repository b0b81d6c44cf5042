package site

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
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

// What the site has learned of a request that crashes targets outlives the loss of
// every process, of the control host that leads, and of a control host's disk.
func TestVerdictIsForgottenWithProcesses(t *testing.T) {
	s := startSite(t, 83)
	targets := s.AddRestartingTargets(12, "llm", 8, crashByID)
	t.Cleanup(targets.Stop)
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s, g, "/ask/1", "first")
	}
	poison := func(g *Host, id string) Response {
		return s.Send(t.Context(), g, http.MethodPost, "/card/x", id, []byte("ends the target"))
	}
	awaitRefused := func(step string) {
		t.Helper()
		for _, g := range s.Role(Gateway) {
			awaitServed(t, s, g, "/ask/1", step)
			require.Eventually(t, func() bool {
				response := poison(g, "poison-"+step)
				return response.Status == http.StatusServiceUnavailable && strings.Contains(response.Body, "306")
			}, conditionTimeout, resendInterval, "%s: %s", step, g.Name)
		}
	}
	poison(s.Role(Gateway)[0], "poison-first")
	awaitRefused("learned")
	runs := len(poisonRuns(t, targets))

	for _, h := range s.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range s.Hosts {
		h.Kill()
		require.NoError(t, h.Start())
	}
	awaitRefused("all-killed")
	for i, control := range s.Role(Control) {
		control.Kill()
		if i == 0 {
			require.NoError(t, control.Wipe())
		}
		require.NoError(t, control.Start())
		awaitRefused(control.Name)
	}
	after := len(poisonRuns(t, targets)) - runs
	t.Logf("%d runs before the losses, %d after", runs, after)
	assert.LessOrEqual(t, after, retriesAllowed)
}

// Targets crash in waves under sound requests, some of them with the same content
// many times over. None is refused as a request that crashes targets.
func TestBurstOfCrashesQuarantinesSoundRequests(t *testing.T) {
	const count, waves, callers = 12, 5, 8
	s := startSite(t, 84)
	targets := s.AddRestartingTargets(count, "llm", 8, func(string) standin.Behaviour {
		return standin.Behaviour{Events: 10, Pause: 10 * time.Millisecond}
	})
	t.Cleanup(targets.Stop)
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s, g, "/ask/1", "first")
	}
	var sent, served, quarantined atomic.Int64
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := "popular content"
				if n%2 == 0 {
					body = fmt.Sprintf("content %d of caller %d", n, caller)
				}
				kind := []string{"ask", "card", "once"}[n%3]
				for attempt := range 2 { // as callers do: one retry
					response := s.Send(t.Context(), s.Role(Gateway)[(caller+attempt)%2], http.MethodPost, "/"+kind+"/x", fmt.Sprintf("sound-%d-%d-%d", caller, n, attempt), []byte(body))
					if strings.Contains(response.Body, "306") {
						quarantined.Add(1)
					}
					if response.Status == http.StatusOK && response.Err == nil {
						served.Add(1)
						break
					}
				}
				sent.Add(1)
			}
		})
	}
	for wave := range waves {
		first := 4 * wave
		targets.Crash(first%count, (first+1)%count, (first+2)%count, (first+3)%count)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(contactTime)
	stop()
	wg.Wait()
	t.Logf("%d sound requests, %d served, %d refused by mistake", sent.Load(), served.Load(), quarantined.Load())
	assert.Zero(t, quarantined.Load())
}
