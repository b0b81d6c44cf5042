package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
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

// banyanctl site tells who votes and leads, what runs where, and what is kept.
func TestTheToolShowsASite(t *testing.T) {
	s := startSite(t, 78, standin.Behaviour{Events: 3})
	gateway := s.Role(Gateway)[0]
	require.Eventually(t, func() bool {
		return s.Ask(t.Context(), gateway, http.MethodPost, "/lots/x", "job-1", lot(4, "job-1")).Status == http.StatusAccepted
	}, patience, 50*time.Millisecond)
	finished(t, s, gateway, "job-1", 4)
	control := fmt.Sprintf("%s:%d", s.Role(Control)[0].IP, firstWirePort)
	show := func(arguments ...string) ([]byte, error) {
		return exec.Command(binaries+"/banyanctl", append([]string{"site", "-control", control}, arguments...)...).CombinedOutput()
	}
	var told struct {
		Site   rpc.SiteStatus
		Stores []struct{ Status *rpc.JobsStatus }
	}
	require.Eventually(t, func() bool {
		out, err := show("-output", "json")
		if err != nil || json.Unmarshal(out, &told) != nil || len(told.Stores) != 3 {
			return false
		}
		for _, store := range told.Stores {
			if store.Status == nil || store.Status.Archived != 1 || len(store.Status.Replica.Voters) != 3 {
				return false
			}
		}
		return len(told.Site.Replica.Voters) == 3 && len(told.Site.Members) == 5 && len(told.Site.Targets) == 1
	}, patience, 100*time.Millisecond)
	leaders := 0
	for _, store := range told.Stores {
		assert.Equal(t, 1, store.Status.Jobs)
		assert.Zero(t, store.Status.OpenItems)
		assert.True(t, store.Status.ArchiveComplete)
		if store.Status.Replica.Leads {
			leaders++
		}
	}
	assert.Equal(t, 1, leaders)
	assert.Equal(t, "ready", told.Site.Targets[0].State)
	text, err := show()
	require.NoError(t, err, string(text))
	assert.Contains(t, string(text), "document version 1")
	assert.Contains(t, string(text), gateway.Name)
	text, err = exec.Command(binaries+"/banyanctl", "site", "-control", "127.0.0.1:1").CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(text), "no control host answered")
}
