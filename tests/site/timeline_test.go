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

// runTimeline runs banyanctl timeline over the logs of all processes, as
// docs/OPERATIONS.md describes, and returns its output.
func runTimeline(t *testing.T, s *Site, arguments ...string) string {
	t.Helper()
	command := []string{"timeline"}
	command = append(command, arguments...)
	for _, h := range s.Hosts {
		command = append(command, h.LogPath())
	}
	out, err := exec.Command(binaries+"/banyanctl", command...).CombinedOutput()
	require.NoError(t, err, string(out))
	return string(out)
}

// awaitTimeline waits until the timeline of a request contains all the wanted
// texts: logs are written asynchronously to the requests.
func awaitTimeline(t *testing.T, s *Site, id string, wanted ...string) {
	t.Helper()
	var output string
	assert.Eventually(t, func() bool {
		output = runTimeline(t, s, "-request", id)
		for _, want := range wanted {
			if !bytes.Contains([]byte(output), []byte(want)) {
				return false
			}
		}
		return true
	}, conditionTimeout, 100*time.Millisecond, "%v in the timeline of %s", wanted, id)
	if t.Failed() {
		t.Log(output)
	}
}

// The timeline of a request that was refused under load shows the reason, the
// number of slots and the outcome not_run.
func TestTimelineOfRequestRefusedUnderLoad(t *testing.T) {
	const callers = 40 // more than the 8 slots of the target
	s := startSite(t, 75, standin.Behaviour{Pause: time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	refused := make(chan string, callers)
	var wg conc.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for attempt := 0; ctx.Err() == nil; attempt++ {
				id := fmt.Sprintf("load-%d-%d", i, attempt)
				response := s.Send(ctx, s.Role(Gateway)[0], http.MethodPost, "/once/1", id, []byte("body"))
				if response.Status == http.StatusServiceUnavailable {
					refused <- id
					cancel()
				}
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, refused, "no request was refused")
	awaitTimeline(t, s, <-refused, "request_refused", "code=target_busy", "outcome=not_run", "slots", "route=once", "workspace=w1")
}

// The timeline of a request whose target died while running it shows the target,
// its address and the outcome may_have_run.
func TestTimelineOfRequestWhoseTargetDied(t *testing.T) {
	s := startSite(t, 76, standin.Behaviour{Pause: time.Minute})
	responses := make(chan Response, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		responses <- s.Send(t.Context(), s.Role(Gateway)[0], http.MethodPost, "/once/1", "died", []byte("body"))
	})
	target := s.targets[0].target
	require.Eventually(t, func() bool { return len(target.Runs()) == 1 }, conditionTimeout, time.Millisecond)
	target.Close()
	wg.Wait()
	response := <-responses
	assert.Equal(t, http.StatusBadGateway, response.Status, "the request may have run")
	awaitTimeline(t, s, "died", "attempt_failed", "outcome=may_have_run", "target="+target.ID, "addr="+target.Addr, "request_refused")
}

// The timeline of a request that was refused after a configuration change shows
// the version that decided; the timeline of the whole site shows when that version
// was stored and when the gateway applied it.
func TestTimelineOfRequestRefusedByConfiguration(t *testing.T) {
	s := startSite(t, 77, standin.Behaviour{})
	gateway := s.Role(Gateway)[0]
	awaitServed(t, s, gateway, "/card/1", "before")
	version, body := s.NextConfiguration("llm")
	require.NoError(t, s.PutConfiguration(t.Context(), bytes.ReplaceAll(body, []byte(`"k1"`), []byte(`"k2"`))))
	attempt := 0
	require.Eventually(t, func() bool {
		attempt++
		response := s.Send(t.Context(), gateway, http.MethodPost, "/card/1", fmt.Sprint("key-", attempt), []byte("body"))
		return response.Status == http.StatusUnauthorized
	}, conditionTimeout, 20*time.Millisecond)
	awaitTimeline(t, s, fmt.Sprint("key-", attempt), "request_refused", "code=key_unknown", fmt.Sprint("document=", version), "status=401")
	siteTimeline := runTimeline(t, s)
	assert.Regexp(t, fmt.Sprintf(`banyan-site-gateway/%s .*catalog_taken .*version=%d `, gateway.Name, version), siteTimeline)
	assert.Regexp(t, fmt.Sprintf(`banyan-site-control/\S+ .*document_put .*version=%d`, version), siteTimeline)
}

// banyanctl site shows voters, leaders, processes, targets and stored jobs, as text
// and as JSON.
func TestBanyanctlShowsSite(t *testing.T) {
	s := startSite(t, 78, standin.Behaviour{Events: 3})
	gateway := s.Role(Gateway)[0]
	require.Eventually(t, func() bool {
		return s.Send(t.Context(), gateway, http.MethodPost, "/lots/x", "job-1", batchBody(4, "job-1")).Status == http.StatusAccepted
	}, conditionTimeout, 50*time.Millisecond)
	awaitJobResults(t, s, gateway, "job-1", 4)
	control := fmt.Sprintf("%s:%d", s.Role(Control)[0].IP, firstWirePort)
	runSiteCommand := func(arguments ...string) ([]byte, error) {
		return exec.Command(binaries+"/banyanctl", append([]string{"site", "-control", control}, arguments...)...).CombinedOutput()
	}
	var status struct {
		Site   rpc.SiteStatus
		Stores []struct{ Status *rpc.JobsStatus }
	}
	require.Eventually(t, func() bool {
		out, err := runSiteCommand("-output", "json")
		if err != nil || json.Unmarshal(out, &status) != nil || len(status.Stores) != 3 {
			return false
		}
		for _, store := range status.Stores {
			if store.Status == nil || store.Status.Archived != 1 || len(store.Status.Replica.Voters) != 3 {
				return false
			}
		}
		return len(status.Site.Replica.Voters) == 3 && len(status.Site.Members) == 5 && len(status.Site.Targets) == 1
	}, conditionTimeout, 100*time.Millisecond)
	leaders := 0
	for _, store := range status.Stores {
		assert.Equal(t, 1, store.Status.Jobs)
		assert.Zero(t, store.Status.OpenItems)
		assert.True(t, store.Status.ArchiveComplete)
		if store.Status.Replica.Leads {
			leaders++
		}
	}
	assert.Equal(t, 1, leaders)
	assert.Equal(t, "ready", status.Site.Targets[0].State)
	output, err := runSiteCommand()
	require.NoError(t, err, string(output))
	assert.Contains(t, string(output), "document version 1")
	assert.Contains(t, string(output), gateway.Name)
	output, err = exec.Command(binaries+"/banyanctl", "site", "-control", "127.0.0.1:1").CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(output), "no control host answered")
}
