package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/control"
)

const changesBeforeRestart = 500

// awaitLeader waits until the leader of the configuration group is known and
// returns the name of its process.
func (f *fleet) awaitLeader() string {
	var name string
	f.eventually("a leader is known", func() bool {
		s, ok := f.controlStatus()
		if !ok || s.Replicas[0].Leader == 0 {
			return false
		}
		name = fmt.Sprintf("control-%d", s.Replicas[0].Leader)
		return true
	})
	return name
}

// controlStatus returns the status of the first control host that responds with a
// complete one.
func (f *fleet) controlStatus() (*control.Status, bool) {
	output, err := f.banyanctl("status", "-output", "json")
	var hosts []struct {
		Status *control.Status `json:"status"`
	}
	if err != nil || json.Unmarshal([]byte(output), &hosts) != nil {
		return nil, false
	}
	for _, h := range hosts {
		if h.Status != nil && h.Status.Fleet != nil && len(h.Status.Replicas) > 0 {
			return h.Status, true
		}
	}
	return nil, false
}

// demoBundle returns the source of the bundle that scripts/fleet.sh starts with.
func demoBundle(t *testing.T) string {
	t.Helper()
	source, err := os.ReadFile("../examples/latvia.yaml")
	require.NoError(t, err)
	return string(source)
}

// The leader of the configuration group is killed under traffic, twice: no request
// fails, and a new leader accepts the next bundle.
func TestLeaderKilledUnderTraffic(t *testing.T) {
	f := startFleet(t)
	callers := startTraffic(t, f, f.env["KEY_A"], 0, 1, 2)
	callers.awaitCorrect(f, 20)
	for round := range 2 {
		leader := f.awaitLeader()
		f.signal(leader, "KILL")
		f.rollBundleEventually(raiseVersion(t, demoBundle(t), round+1))
		callers.awaitCorrect(f, 20)
		f.start(leader)
		f.awaitVoters(3)
	}
	assert.Empty(t, callers.stop())
	s, ok := f.controlStatus()
	require.True(t, ok)
	assert.EqualValues(t, 3, s.Fleet.Bundle.Version)
}

// rollBundleEventually rolls a bundle and retries while control may be electing a
// leader. Retries are idempotent: the same bundle gets the first response again.
func (f *fleet) rollBundleEventually(source string) {
	f.t.Helper()
	path, signedPath := filepath.Join(f.dir, "next.yaml"), filepath.Join(f.dir, "next.signed")
	require.NoError(f.t, os.WriteFile(path, []byte(source), 0o600))
	f.sign(path, signedPath)
	f.eventually("the bundle is rolled", func() bool {
		_, err := f.banyanctl("bundle", "roll", signedPath)
		return err == nil
	})
}

// awaitVoters waits until every group has n voters, no membership change is in
// progress, and none of the removed incarnations is a voter.
func (f *fleet) awaitVoters(n int, removed ...string) {
	f.t.Helper()
	f.eventually("every group has all its voters", func() bool {
		s, ok := f.controlStatus()
		return ok && !slices.ContainsFunc(s.Replicas, func(r control.ReplicaStatus) bool {
			return len(r.Voters) != n || len(r.Learners) != 0 || len(r.Outgoing) != 0 ||
				slices.ContainsFunc(r.Voters, func(v string) bool { return slices.Contains(removed, v) })
		})
	})
}

// incarnationsOf returns the incarnations of a control host that are voters, of
// all groups.
func (f *fleet) incarnationsOf(host string) []string {
	f.t.Helper()
	s, ok := f.controlStatus()
	require.True(f.t, ok)
	var incarnations []string
	for _, r := range s.Replicas {
		for _, v := range r.Voters {
			if strings.HasPrefix(v, host+"/") {
				incarnations = append(incarnations, v)
			}
		}
	}
	require.NotEmpty(f.t, incarnations)
	return incarnations
}

// A control host loses its disk and is repaired, and right after the repair a
// second one is lost with its disk. The results of a completed batch must still be
// readable, and a bundle can be rolled: the repair must have copied all data, not
// only joined the groups.
func TestSecondHostLostAfterRepair(t *testing.T) {
	f := startFleet(t)
	client := f.openAIClient(0, f.env["KEY_A"])
	submitted := submitBatch(t, client, batchFile(f.env["MODEL"], 50, 0, 4))
	done := awaitBatch(t, f, client, submitted.ID, openai.BatchStatusCompleted)
	lost := f.incarnationsOf("2")
	f.signal("control-2", "KILL")
	require.NoError(t, os.RemoveAll(filepath.Join(f.dir, "control-2.data")))
	f.start("control-2")
	f.awaitVoters(3, lost...)
	f.signal("control-3", "KILL")
	require.NoError(t, os.RemoveAll(filepath.Join(f.dir, "control-3.data")))
	f.eventually("the results are readable from the remaining hosts", func() bool {
		response, err := client.Files.Content(t.Context(), done.OutputFileID)
		if err != nil {
			return false
		}
		response.Body.Close()
		return true
	})
	total, distinct := countItems(fileLines(t, client, done.OutputFileID))
	assert.Equal(t, 50, total)
	assert.Equal(t, 50, distinct)
	f.rollBundleEventually(raiseVersion(t, demoBundle(t), 1))
}

// All control hosts are killed and restarted after hundreds of changes: the last
// acknowledged change is still in force.
func TestRestartAfterManyChanges(t *testing.T) {
	f := startFleet(t)
	controlURL := "http://" + strings.Fields(f.env["CONTROLS"])[0]
	for i := range changesBeforeRestart {
		action := "out"
		if i%2 == 1 {
			action = "in"
		}
		url := controlURL + "/admin/v1/data-centres/lv-east-c/" + action
		status, response := post(url, f.env["OPERATOR_TOKEN"], "", "Idempotency-Key", fmt.Sprintf("change-%d", i))
		require.Equal(t, http.StatusOK, status, response)
	}
	_, err := f.banyanctl("data-centre", "out", "lv-east-b")
	require.NoError(t, err)
	for i := 1; i <= 3; i++ {
		f.signal(fmt.Sprintf("control-%d", i), "KILL")
	}
	for i := 1; i <= 3; i++ {
		f.start(fmt.Sprintf("control-%d", i))
	}
	f.eventually("the data centre is still marked out", func() bool {
		s, ok := f.controlStatus()
		return ok && slices.Equal(s.Fleet.Marks.DataCentresOut, []string{"lv-east-b"})
	})
}

// While every control host is paused nothing confirms the state of the gateways:
// they must refuse requests as not run, and serve again afterwards.
func TestGatewaysRefuseWithoutConfirmedState(t *testing.T) {
	f := startFleet(t)
	for i := 1; i <= 3; i++ {
		f.signal(fmt.Sprintf("control-%d", i), "STOP")
	}
	body := chatRequest(f.env["MODEL"], "anyone there", 2, false)
	for i := range 3 {
		url := f.gatewayURL(i) + "/v1/chat/completions"
		f.eventually("the gateway refuses requests", func() bool {
			status, response := post(url, f.env["KEY_A"], body)
			return status == http.StatusServiceUnavailable && strings.Contains(response, `"not_run"`)
		})
		status, _ := post(url, f.env["KEY_A"], body)
		assert.Equal(t, http.StatusServiceUnavailable, status, "the gateway must keep refusing")
	}
	for i := 1; i <= 3; i++ {
		f.signal(fmt.Sprintf("control-%d", i), "CONT")
	}
	callers := startTraffic(t, f, f.env["KEY_A"], 0, 1, 2)
	f.eventually("the gateways serve again", func() bool {
		return callers.correctCount() > 10
	})
}

// A gateway is paused while a key is withdrawn. When it resumes, it must not accept
// the key on its outdated state.
func TestPausedGatewayRejectsWithdrawnKey(t *testing.T) {
	f := startFleet(t)
	url := f.gatewayURL(0) + "/v1/chat/completions"
	body := chatRequest(f.env["MODEL"], "hello", 2, false)
	status, response := post(url, f.env["KEY_B"], body)
	require.Equal(t, http.StatusOK, status, response)
	f.signal("gateway-1", "STOP")
	f.rollBundle(withWithdrawnKey(t, demoBundle(t), f.env["KEY_B"]))
	otherURL := f.gatewayURL(1) + "/v1/chat/completions"
	f.eventually("another gateway rejects the key", func() bool {
		status, _ := post(otherURL, f.env["KEY_B"], body)
		return status == http.StatusUnauthorized
	})
	f.waitMaxStaleness()
	f.signal("gateway-1", "CONT")
	status, response = post(url, f.env["KEY_B"], body)
	assert.NotEqual(t, http.StatusOK, status, response)
}
