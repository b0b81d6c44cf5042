package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/rollout"
	"banyanwalk/infra/rpc"
	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const (
	rolloutNetwork  = 160
	rolloutGrantTTL = 1500 * time.Millisecond
)

// rolloutTraffic sends requests to gateways and notes when each was sent.
type rolloutTraffic struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	served map[string]int // by gateway
}

func (c *rolloutTraffic) run(t *testing.T, s *Site, gateway *Host, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s/%d/%d", gateway.Name, time.Now().UnixNano(), n)
		c.mu.Lock()
		c.sentAt[id] = time.Now()
		c.mu.Unlock()
		response := s.Send(t.Context(), gateway, http.MethodPost, "/once/x", id, []byte("body"))
		c.mu.Lock()
		if response.Status == http.StatusOK {
			c.served[gateway.Name]++
		}
		c.mu.Unlock()
		time.Sleep(8 * time.Millisecond)
	}
}

// Guards against a bad version that gets more than its exposure, or requests after it was
// reverted, from gateways that were frozen, cut off from control or started anew in
// between. Control is a stub; the gateways are real processes.
func TestBadVersionIsContained(t *testing.T) {
	s := New(binaries, t.TempDir(), rolloutNetwork, 4, 1, 0)
	t.Cleanup(func() {
		s.Close()
		assert.Empty(t, s.RaceAndPanicLines())
	})
	var targets []*standin.Target
	var reports []rpc.TargetReport
	for n := range 8 {
		target, err := standin.NewTarget(fmt.Sprint("t", n), platform.HeaderNames(), standin.Behaviour{Pause: 2 * time.Millisecond})
		require.NoError(t, err)
		t.Cleanup(target.Close)
		if n%2 == 1 {
			target.SetVersion("v2", standin.Fault{AfterRuns: 5, Share: 0.5, Status: http.StatusInternalServerError})
		}
		targets = append(targets, target)
		reports = append(reports, target.Report(PlainService, "za", 8))
	}
	_, configuration := s.NextConfiguration(PlainService)
	control, err := s.StartStubControl(configuration, reports, 0.1, 20, rolloutGrantTTL)
	require.NoError(t, err)
	t.Cleanup(control.Close)
	order := rollout.Rollout{Service: PlainService, Version: "v2", Phase: rollout.Canary, StartedMS: 1, DurationMS: 60_000}
	control.SetRollout(order)
	gateways := s.Role(Gateway)
	for _, g := range gateways {
		require.NoError(t, g.Start())
	}
	for _, g := range gateways {
		awaitServed(t, s, g, "/card/x", "first")
	}
	calm, frozen, cut, restarted := gateways[0], gateways[1], gateways[2], gateways[3]

	traffic := &rolloutTraffic{sentAt: make(map[string]time.Time), served: make(map[string]int)}
	var wg conc.WaitGroup
	end := time.Now().Add(8 * time.Second)
	for _, g := range gateways {
		for range 3 {
			wg.Go(func() { traffic.run(t, s, g, end) })
		}
	}
	time.Sleep(2500 * time.Millisecond)
	frozen.Signal(syscall.SIGSTOP)
	control.CutOff(cut.Name)
	order.Phase, order.Reason = rollout.Reverted, "test"
	control.SetRollout(order)
	revertedAt := time.Now()
	restarted.Kill()
	require.NoError(t, restarted.Start())
	time.Sleep(2500 * time.Millisecond)
	frozen.Signal(syscall.SIGCONT)
	resumedAt := time.Now()
	wg.Wait()

	bad, byGateway := 0, make(map[string]int)
	for n := 1; n < len(targets); n += 2 {
		for _, run := range targets[n].Runs() {
			name, _, _ := strings.Cut(run.ID, "/")
			sentAt := traffic.sentAt[run.ID]
			allowed := revertedAt.Add(2 * stubPushInterval)
			switch name {
			case frozen.Name, cut.Name:
				allowed = revertedAt.Add(rolloutGrantTTL)
			}
			assert.False(t, sentAt.After(allowed), "%s sent %v after the rollout was reverted", run.ID, sentAt.Sub(revertedAt))
			bad++
			byGateway[name]++
		}
	}
	evidence, granted := control.Evidence("v2")
	old, _ := control.Evidence("v1")
	t.Logf("%d requests sent, %d to the bad version (%v) of %d granted; evidence v2 %+v, v1 %+v; frozen for %v; served %v",
		len(traffic.sentAt), bad, byGateway, granted, evidence, old, resumedAt.Sub(revertedAt), traffic.served)
	assert.LessOrEqual(t, bad, granted)
	assert.LessOrEqual(t, float64(bad), 0.1*float64(len(traffic.sentAt))+20)
	assert.Positive(t, byGateway[calm.Name])
	assert.Positive(t, evidence.Failed)
	assert.Zero(t, old.Failed)
	for _, g := range gateways {
		assert.Greater(t, traffic.served[g.Name], 100, g.Name)
	}
}

// Guards against streams that join two versions or break while a good version takes over,
// and against requests at the old targets by the time that these are stopped. Control is
// a stub; the gateways are real processes.
func TestStreamsEndAtOldTargetsBeforeTheyStop(t *testing.T) {
	s := New(binaries, t.TempDir(), rolloutNetwork+1, 2, 1, 0)
	t.Cleanup(func() {
		s.Close()
		assert.Empty(t, s.RaceAndPanicLines())
	})
	var old, fresh []*standin.Target
	var reports []rpc.TargetReport
	for n := range 6 {
		target, err := standin.NewTarget(fmt.Sprint("t", n), platform.HeaderNames(), standin.Behaviour{})
		require.NoError(t, err)
		t.Cleanup(target.Close)
		mark := "-v1"
		if n%2 == 1 {
			target.SetVersion("v2")
			mark = "-v2"
			fresh = append(fresh, target)
		} else {
			old = append(old, target)
		}
		target.SetBehaviour(func(id string) standin.Behaviour {
			b := standin.Behaviour{Events: 20, Pause: 5 * time.Millisecond, Mark: mark}
			if id[len(id)-1]%8 == 0 && len(id)%3 > 0 && n < 2 {
				b.BreakAfter = 7
			}
			return b
		})
		reports = append(reports, target.Report("llm", "za", 8))
	}
	_, configuration := s.NextConfiguration("llm")
	control, err := s.StartStubControl(configuration, reports, 0.1, 20, rolloutGrantTTL)
	require.NoError(t, err)
	t.Cleanup(control.Close)
	order := rollout.Rollout{Service: "llm", Version: "v2", Phase: rollout.Canary, StartedMS: 1, DurationMS: 60_000}
	control.SetRollout(order)
	for _, g := range s.Role(Gateway) {
		require.NoError(t, g.Start())
	}
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s, g, "/ask/x", "first")
	}
	var mu sync.Mutex
	whole, joined, broken := 0, 0, 0
	var wg conc.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for _, g := range s.Role(Gateway) {
		for caller := range 4 {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					response := s.Send(t.Context(), g, http.MethodPost, "/ask/x", fmt.Sprintf("%s.%d.%d", g.Name, caller, n), []byte("body"))
					mu.Lock()
					switch {
					case response.Err != nil || strings.Count(response.Body, "data:") != 20:
						broken++
					case strings.Contains(response.Body, "-v1") && strings.Contains(response.Body, "-v2"):
						joined++
					default:
						whole++
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(1500 * time.Millisecond)
	order.Phase = rollout.Finishing
	control.SetRollout(order)
	time.Sleep(1500 * time.Millisecond)
	finished := time.Now()
	started := 0
	for _, target := range old {
		for _, run := range target.Runs() {
			started++
			assert.Less(t, run.StartedAt.Sub(finished), -500*time.Millisecond, "a request at the old version")
		}
		target.Close()
	}
	order.Phase = rollout.Completed
	control.SetRollout(order)
	wg.Wait()
	moved := 0
	for _, target := range fresh {
		moved += len(target.Runs())
	}
	t.Logf("%d whole, %d joined, %d broken; %d runs at old targets, %d at new ones", whole, joined, broken, started, moved)
	assert.Zero(t, joined)
	assert.Zero(t, broken)
	assert.Greater(t, whole, 50)
}
