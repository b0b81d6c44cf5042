package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// Guards against a rollout whose two sides do not fit together: a good version must be
// completed, a bad one reverted within its exposure, also if it is bad only later and
// while control hosts or brokers are lost.
func TestWholeRollout(t *testing.T) {
	for n, c := range []struct {
		name   string
		after  time.Duration // of the fault
		faults []standin.Fault
		kill   string // role whose hosts are killed and started again, one after another
		state  string
	}{
		{name: "slow later", after: 12 * time.Second, faults: []standin.Fault{{Delay: 150 * time.Millisecond}}, state: "reverted"},
		{name: "fails later, control is lost", after: 10 * time.Second, faults: []standin.Fault{{Status: 500, Share: 0.3}}, kill: Control, state: "reverted"},
		{name: "good, brokers are lost", kill: Store, state: "completed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range c.faults {
				c.faults[i].After = time.Now().Add(c.after + 4*time.Second) // until the order
			}
			wholeRollout(t, 170+n, c.faults, c.kill, c.state)
		})
	}
}

func wholeRollout(t *testing.T, network int, faults []standin.Fault, kill, expected string) {
	s := New(binaries, t.TempDir(), network, 2, 3, 3)
	t.Cleanup(func() {
		s.Close()
		assert.Empty(t, s.RaceAndPanicLines())
	})
	for _, h := range s.Hosts {
		h.SettingsOverrides = map[string]any{"bounds": map[string]any{"grace_s": 8, "status_s": 120, "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "max_skew_ms": 6000}}
	}
	require.NoError(t, s.Start())
	add := func(id, version string, f []standin.Fault) *standin.Target {
		target, err := standin.NewTarget(id, platform.HeaderNames(), standin.Behaviour{Events: 10, Pause: 10 * time.Millisecond, Mark: "-" + version})
		require.NoError(t, err)
		target.SetVersion(version, f...)
		s.AddVersionedTarget(target, target.Addr, "llm", 8, version)
		return target
	}
	var old, fresh []*standin.Target
	for n := range 4 {
		old = append(old, add(fmt.Sprint("old", n), "v1", nil))
	}
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	_, body := s.NextConfiguration("llm")
	require.NoError(t, s.PutConfiguration(ctx, body))
	for _, g := range s.Role(Gateway) {
		require.Eventually(t, func() bool { return s.Ready(g) }, conditionTimeout, 20*time.Millisecond)
		awaitServed(t, s, g, "/ask/1", "first")
	}
	const duration = 25 * time.Second
	began := time.Now()
	require.Eventually(t, func() bool {
		status, answer, err := s.CallControl(s.Role(Control)[0], http.MethodPost, "/v1/rollouts/begin", fmt.Appendf(nil, `{"service":"llm","target":"v2","duration_s":%d}`, int(duration.Seconds())))
		t.Log(status, string(answer), err)
		return err == nil && status == 200
	}, conditionTimeout, 300*time.Millisecond)
	for n := range 4 {
		fresh = append(fresh, add(fmt.Sprint("new", n), "v2", faults))
	}
	var mu sync.Mutex
	whole, joined, broken, other := 0, 0, 0, 0
	statuses := map[int]int{}
	var wg conc.WaitGroup
	stop := began.Add(duration + 3*time.Second)
	for _, g := range s.Role(Gateway) {
		for caller := range 8 {
			wg.Go(func() {
				for n := 0; time.Now().Before(stop); n++ {
					r := s.Send(t.Context(), g, http.MethodPost, "/ask/x", fmt.Sprintf("%s.%d.%d", g.Name, caller, n), []byte("body"))
					mu.Lock()
					statuses[r.Status]++
					switch {
					case r.Status != 200:
						other++
					case r.Err != nil || strings.Count(r.Body, "data:") != 10:
						broken++
					case strings.Contains(r.Body, "-v1") && strings.Contains(r.Body, "-v2"):
						joined++
					default:
						whole++
					}
					mu.Unlock()
				}
			})
		}
	}
	if kill != "" {
		wg.Go(func() {
			time.Sleep(5 * time.Second)
			for _, h := range s.Role(kill) {
				h.Kill()
				time.Sleep(time.Second)
				assert.NoError(t, h.Start())
				time.Sleep(2 * time.Second)
			}
		})
	}
	state := ""
	var at time.Duration
	for time.Since(began) < duration+2*time.Second && state != "completed" && state != "reverted" {
		time.Sleep(100 * time.Millisecond)
		_, answer, err := s.CallControl(s.Role(Control)[int(time.Since(began)/(100*time.Millisecond))%3], http.MethodGet, "/v1/rollouts/llm/read", nil)
		var read struct{ State, Target string }
		if err == nil && json.Unmarshal(answer, &read) == nil {
			state = read.State
		}
		at = time.Since(began)
	}
	inOld, inNew := 0, 0
	for _, o := range old {
		inOld += len(o.Runs())
	}
	for _, f := range fresh {
		inNew += len(f.Runs())
	}
	if state == "completed" {
		for _, o := range old {
			o.Close()
		}
	}
	wg.Wait()
	late := 0
	for _, f := range fresh {
		late += len(f.Runs())
	}
	t.Logf("%s after %v; runs then: %d old, %d new; new at the end %d; whole %d joined %d broken %d statuses %v", state, at, inOld, inNew, late, whole, joined, broken, statuses)
	assert.Equal(t, expected, state)
	assert.Zero(t, joined)
	if expected == "reverted" {
		assert.LessOrEqual(t, float64(late), 0.1*float64(inOld+inNew)+50)
	}
}
