package site

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// timeline runs banyanctl timeline over the logs of all processes, as
// docs/OPERATIONS.md has it.
func timeline(t *testing.T, s *Site, arguments ...string) string {
	t.Helper()
	command := []string{"timeline"}
	command = append(command, arguments...)
	for _, h := range s.Hosts {
		command = append(command, h.Log())
	}
	out, err := exec.Command(binaries+"/banyanctl", command...).CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}

// traced waits until the time line of a request tells all that is wanted: logs
// are written beside the requests.
func traced(t *testing.T, s *Site, id string, wanted ...string) {
	t.Helper()
	var told string
	assert.Eventually(t, func() bool {
		told = timeline(t, s, "-request", id)
		for _, want := range wanted {
			if !bytes.Contains([]byte(told), []byte(want)) {
				return false
			}
		}
		return true
	}, patience, 100*time.Millisecond, "%v in the time line of %s", wanted, id)
	if t.Failed() {
		t.Log(told)
	}
}

// A request that is refused under load: its id leads to the reason, the number
// of slots and the promise that it did not run.
func TestTraceOfARequestRefusedUnderLoad(t *testing.T) {
	const callers = 40 // at 8 slots
	s := startSite(t, 75, standin.Behaviour{Pause: time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	refused := make(chan string, callers)
	var wg conc.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for try := 0; ctx.Err() == nil; try++ {
				id := fmt.Sprintf("load-%d-%d", i, try)
				answer := s.Ask(ctx, s.Role(Gateway)[0], http.MethodPost, "/once/1", id, []byte("body"))
				if answer.Status == http.StatusServiceUnavailable {
					refused <- id
					cancel()
				}
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, refused, "nobody was refused")
	traced(t, s, <-refused, "request_refused", "code=target_busy", "outcome=not_run", "slots", "route=once", "workspace=w1")
}

// A request whose target dies while it works: its id leads to the target and to
// what was sent there.
func TestTraceOfARequestWhoseTargetDied(t *testing.T) {
	s := startSite(t, 76, standin.Behaviour{Pause: time.Minute})
	answered := make(chan Answer, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		answered <- s.Ask(t.Context(), s.Role(Gateway)[0], http.MethodPost, "/once/1", "died", []byte("body"))
	})
	target := s.targets[0].target
	require.Eventually(t, func() bool { return len(target.Runs()) == 1 }, patience, time.Millisecond)
	target.Close()
	wg.Wait()
	answer := <-answered
	assert.Equal(t, http.StatusBadGateway, answer.Status, "it may have run")
	traced(t, s, "died", "attempt_failed", "outcome=may_have_run", "target="+target.ID, "addr="+target.Addr, "request_refused")
}

// A request that is refused after a change of the configuration: its id leads
// to the version that decided, and that to when the gateway took it.
func TestTraceOfARequestRefusedByAConfiguration(t *testing.T) {
	s := startSite(t, 77, standin.Behaviour{})
	gateway := s.Role(Gateway)[0]
	served(t, s, gateway, "/card/1", "before")
	version, body := s.Configuration("llm")
	require.NoError(t, s.PutConfiguration(t.Context(), bytes.ReplaceAll(body, []byte(`"k1"`), []byte(`"k2"`))))
	try := 0
	require.Eventually(t, func() bool {
		try++
		answer := s.Ask(t.Context(), gateway, http.MethodPost, "/card/1", fmt.Sprint("key-", try), []byte("body"))
		return answer.Status == http.StatusUnauthorized
	}, patience, 20*time.Millisecond)
	traced(t, s, fmt.Sprint("key-", try), "request_refused", "code=key_unknown", fmt.Sprint("document=", version), "status=401")
	all := timeline(t, s)
	assert.Regexp(t, fmt.Sprintf(`banyan-site-gateway/%s .*catalog_taken .*version=%d `, gateway.Name, version), all)
	assert.Regexp(t, fmt.Sprintf(`banyan-site-control/\S+ .*document_put .*version=%d`, version), all)
}
