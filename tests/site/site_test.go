package site

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const patience = 60 * time.Second // liveness only

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "banyan-site-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "./cmd/banyan-site-gateway", "./cmd/banyan-site-control", "./cmd/banyan-site-store", "./cmd/banyanctl")
	build.Dir = "../.."
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startSite runs a site of two gateways, three control and three storage hosts
// with targets that behave as given.
func startSite(t *testing.T, network int, behaviours ...standin.Behaviour) *Site {
	s := New(binaries, t.TempDir(), network, 2, 3, 3)
	t.Cleanup(func() {
		s.Close()
		assert.Empty(t, s.Faults())
	})
	require.NoError(t, s.Start())
	for i, b := range behaviours {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), b)
		require.NoError(t, err)
		s.AddTarget(target, target.Addr, "llm", 8)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	_, body := s.Configuration("llm")
	require.NoError(t, s.PutConfiguration(ctx, body))
	for _, g := range s.Role(Gateway) {
		require.Eventually(t, func() bool { return s.Ready(g) }, patience, 20*time.Millisecond)
	}
	return s
}

// served asks until a request is answered with 200.
func served(t *testing.T, s *Site, gateway *Host, path, id string) Answer {
	t.Helper()
	var answer Answer
	try := 0
	require.Eventually(t, func() bool {
		try++
		answer = s.Ask(t.Context(), gateway, http.MethodPost, path, fmt.Sprintf("%s.%d", id, try), []byte("body"))
		return answer.Status == http.StatusOK && answer.Err == nil
	}, patience, 50*time.Millisecond, "%s", id)
	return answer
}

func lot(items int, prefix string) []byte {
	var requests []any
	for i := range items {
		requests = append(requests, map[string]any{"id": fmt.Sprintf("%s-%d", prefix, i), "path": fmt.Sprintf("/lots/%d", i),
			"headers": map[string]string{}, "body": base64.StdEncoding.EncodeToString([]byte("item")), "token_count": 100})
	}
	body, _ := json.Marshal(map[string]any{"requests": requests}) // strings and numbers can be encoded
	return body
}

type results struct {
	Total   int `json:"total"`
	Results []struct {
		ID, State, Text string
	} `json:"results"`
}

// finished reads the results of a job until all items are listed.
func finished(t *testing.T, s *Site, gateway *Host, job string, items int) results {
	t.Helper()
	var read results
	require.Eventually(t, func() bool {
		answer := s.Ask(t.Context(), gateway, http.MethodGet, "/v1/lots/"+job+"?after=0", "read", nil)
		read = results{}
		return answer.Status == http.StatusOK && json.Unmarshal([]byte(answer.Body), &read) == nil && len(read.Results) == items
	}, patience, 50*time.Millisecond)
	return read
}

// A site serves each kind of route, and goes on when its leaders are killed,
// one of its storage hosts loses its disk and a gateway is restarted.
func TestASiteServesThroughTheLossOfItsLeaders(t *testing.T) {
	s := startSite(t, 71, standin.Behaviour{Events: 20, Pause: 5 * time.Millisecond}, standin.Behaviour{Events: 20, Pause: 5 * time.Millisecond})
	gateways := s.Role(Gateway)
	answer := served(t, s, gateways[0], "/ask/1", "first")
	assert.Equal(t, 20, strings.Count(answer.Body, "data: "))
	submit := func(job string, items int) {
		t.Helper()
		require.Eventually(t, func() bool {
			return s.Ask(t.Context(), gateways[1], http.MethodPost, "/lots/x", job, lot(items, job)).Status == http.StatusAccepted
		}, patience, 50*time.Millisecond)
	}
	submit("job-1", 30)
	for _, role := range []string{Store, Control} {
		for _, h := range s.Role(role) {
			h.Kill()
			require.NoError(t, h.Start())
			served(t, s, gateways[0], "/ask/1", "after "+h.Name)
		}
	}
	first := finished(t, s, gateways[0], "job-1", 30)
	assert.Equal(t, 30, first.Total)
	seen := map[string]bool{}
	for _, r := range first.Results {
		assert.Equal(t, "completed", r.State)
		assert.Equal(t, 20, strings.Count(r.Text, "\n")+1, r.ID)
		seen[r.ID] = true
	}
	assert.Len(t, seen, 30)

	wiped := s.Role(Store)[0]
	wiped.Kill()
	require.NoError(t, wiped.Wipe())
	require.NoError(t, wiped.Start())
	version, body := s.Configuration("llm")
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.NoError(t, s.PutConfiguration(ctx, body))
	served(t, s, gateways[1], fmt.Sprintf("/version-%d/x", version), "new route")
	submit("job-2", 10)
	finished(t, s, gateways[1], "job-2", 10)
	assert.Equal(t, first, finished(t, s, gateways[1], "job-1", 30), "results never change")

	gateways[0].Stop()
	require.NoError(t, gateways[0].Start())
	served(t, s, gateways[0], "/card/1", "restarted")
	status, read, err := s.Operate(s.Role(Control)[0], http.MethodGet, "/v1/configuration/read", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.JSONEq(t, string(body), string(read))
}

// SIGHUP tells that the settings may have changed; control hosts once ended by
// it (nsl-dakar-grown scale-2: exits of its own).
func TestHangupsEndNoProcess(t *testing.T) {
	s := startSite(t, 72, standin.Behaviour{Events: 3})
	for range 3 {
		for _, h := range s.Hosts {
			h.Signal(syscall.SIGHUP)
		}
		served(t, s, s.Role(Gateway)[0], "/ask/1", "hangup")
	}
	for _, h := range s.Hosts {
		assert.Eventually(t, func() bool {
			log, err := os.ReadFile(h.Log())
			return err == nil && strings.Contains(string(log), "msg=settings_reloaded")
		}, patience, 20*time.Millisecond, h.Name)
		assert.False(t, h.wait(0), h.Name)
	}
}

// The settings file may change without a signal.
func TestAChangedSettingsFileIsRead(t *testing.T) {
	s := startSite(t, 73, standin.Behaviour{Events: 3})
	host := s.Role(Gateway)[0]
	host.Fields = map[string]any{"of_the_future": true}
	require.NoError(t, host.WriteSettings())
	assert.Eventually(t, func() bool {
		log, err := os.ReadFile(host.Log())
		return err == nil && strings.Contains(string(log), "msg=settings_reloaded")
	}, patience, 20*time.Millisecond)
}

// A control process on a host without a disk sends callers on.
func TestAControlHostWithoutADiskSendsCallersOn(t *testing.T) {
	s := startSite(t, 74, standin.Behaviour{Events: 3})
	relay := s.NewHost(Control, 200, map[string]any{"data_dir": nil})
	require.NoError(t, relay.Start())
	t.Cleanup(relay.Kill)
	version, body := s.Configuration("llm")
	require.Eventually(t, func() bool {
		status, _, err := s.Operate(relay, http.MethodPost, "/v1/configuration/replace", body)
		return err == nil && status == http.StatusOK
	}, patience, 20*time.Millisecond)
	status, read, err := s.Operate(s.Role(Control)[0], http.MethodGet, "/v1/configuration/read", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	assert.Contains(t, string(read), fmt.Sprintf(`"version":%d`, version))
	seeded := s.NewHost(Gateway, 201, map[string]any{"seed_nodes": []string{fmt.Sprintf("%s:%d", relay.IP, operatorsPort)}})
	require.NoError(t, seeded.Start())
	t.Cleanup(seeded.Kill)
	served(t, s, seeded, "/ask/1", "seeded")
}

func TestAProgramWithWrongSettingsNamesThem(t *testing.T) {
	file := t.TempDir() + "/local.json"
	require.NoError(t, os.WriteFile(file, []byte(`{"node_name":"n","ip":"here","port_range":[1,2],"bounds":{"grace_s":0}}`), 0o600))
	command := exec.Command(binaries + "/banyan-site-gateway")
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+file)
	out, err := command.CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(out), `ip: "here" is no address`)
	assert.Contains(t, string(out), "bounds.grace_s: 0 is not positive")
	version, err := exec.Command(binaries+"/banyan-site-store", "-version").Output()
	require.NoError(t, err)
	assert.Contains(t, string(version), "banyan-site-store")
}
