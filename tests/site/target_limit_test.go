package site

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const (
	// limitWindow, limitFactor and limitSlack bound what a target gets that names a
	// limit: limitFactor times the limit in each limitWindow, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// manySlots leaves room at targets without a limit for what comes at once when the
	// test's own processes were held up.
	manySlots = 24
)

// limitedTargets are targets of which some name a limit.
type limitedTargets struct {
	targets []*standin.Target
	limits  []float64 // requests per second; 0: none
	from    time.Time // when the limits are first named
}

// addLimitedTargets starts a target of a service for each limit; none names it yet.
func addLimitedTargets(t *testing.T, s *Site, service string, slots int, behaviour standin.Behaviour, limits ...float64) *limitedTargets {
	l := &limitedTargets{limits: limits}
	for i := range limits {
		target, err := standin.NewTarget(fmt.Sprintf("%s-%d", service, i), platform.HeaderNames(), behaviour)
		require.NoError(t, err)
		s.AddTarget(target, target.Addr, service, slots)
		l.targets = append(l.targets, target)
	}
	return l
}

// name makes the targets name their limits from now on.
func (l *limitedTargets) name(behaviour standin.Behaviour) {
	l.from = time.Now()
	for i, target := range l.targets {
		b := behaviour
		if l.limits[i] > 0 {
			b.RateLimit = fmt.Sprint(l.limits[i])
		}
		target.SetBehaviour(func(string) standin.Behaviour { return b })
	}
}

// check asserts that no target got more than it allows in any window that starts
// later than contactTime after it first named its limit, and before until.
func (l *limitedTargets) check(t *testing.T, until time.Time) {
	t.Helper()
	for i, target := range l.targets {
		var times []time.Time
		for _, run := range target.Runs() {
			if run.StartedAt.After(l.from.Add(contactTime)) && run.StartedAt.Before(until) {
				times = append(times, run.StartedAt)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		most := 0
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) > limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		rate := float64(len(times)) / until.Sub(l.from.Add(contactTime)).Seconds()
		t.Logf("target %d, limit %.1f: %.2f a second, %d in the fullest %v", i, l.limits[i], rate, most, limitWindow)
		if l.limits[i] > 0 {
			assert.LessOrEqual(t, float64(most), limitFactor*l.limits[i]*limitWindow.Seconds()+limitSlack, "LIMIT: target %d", i)
			assert.GreaterOrEqual(t, rate, l.limits[i]/2, "the limit of target %d is used", i)
		}
	}
}

// sendSteadily sends requests of one kind at a rate until stop is closed, and
// returns how many were sent and how many answered.
func sendSteadily(t *testing.T, s *Site, kind string, perSecond int, gateways []*Host, stop <-chan struct{}) (sent, answered int64) {
	var wg conc.WaitGroup
	var ok atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return int64(n), ok.Load()
		case <-ticker.C:
		}
		wg.Go(func() {
			response := s.Send(t.Context(), gateways[n%len(gateways)], http.MethodPost, "/"+kind+"/x", fmt.Sprintf("%s-%d", kind, n), []byte("body"))
			if response.Status == http.StatusOK && response.Err == nil {
				ok.Add(1)
			}
		})
	}
}

// Incident LIMIT: a target that named the requests per second that it takes got as
// many as before, because nothing read its limit.
func TestTargetGetsMoreThanItsLimit(t *testing.T) {
	behaviour := standin.Behaviour{Events: 5, Pause: 20 * time.Millisecond}
	for i, test := range []struct {
		name     string
		gateways int
		disturb  func(s *Site) // beside the traffic
	}{
		{name: "one gateway", gateways: 1},
		{name: "two gateways", gateways: 2},
		{name: "restarts and a lost leader", gateways: 2, disturb: func(s *Site) {
			time.Sleep(2 * contactTime)
			for _, h := range slices.Concat(s.Role(Store), s.Role(Gateway)[1:], s.Role(Control)) {
				h.Kill()
				_ = h.Start() // a host that stays down fails the checks below
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, 110+i)
			limited := addLimitedTargets(t, s, "llm", manySlots, behaviour, 4, 0.7, 0, 0)
			gateways := s.Role(Gateway)[:test.gateways]
			for _, g := range gateways {
				awaitServed(t, s, g, "/ask/1", "first")
			}
			stop := make(chan struct{})
			var wg conc.WaitGroup
			var sent, answered int64
			wg.Go(func() { sent, answered = sendSteadily(t, s, "ask", 60, gateways, stop) })
			time.Sleep(time.Second)
			limited.name(behaviour)
			if test.disturb != nil {
				test.disturb(s)
			}
			time.Sleep(4 * contactTime)
			close(stop)
			wg.Wait()
			t.Logf("%d requests, %d answered", sent, answered)
			limited.check(t, time.Now())
			if test.disturb == nil {
				assert.Equal(t, sent, answered, "the other targets take the rest")
			}
		})
	}
}

// All targets of a service name a limit: what goes beyond is refused at once, with
// the time at which a place is likely. The limits end when they are named no more.
func TestAllTargetsNameLimits(t *testing.T) {
	behaviour := standin.Behaviour{Events: 5, Pause: 20 * time.Millisecond}
	s := startSite(t, 113)
	limited := addLimitedTargets(t, s, "llm", 8, behaviour, 3, 2.5, 4)
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s, g, "/ask/1", "first")
	}
	limited.name(behaviour)
	var mu sync.Mutex
	refusals, slow, withoutRetryAfter := 0, 0, 0
	var wg conc.WaitGroup
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	send := func(n int) {
		started := time.Now()
		response := s.Send(t.Context(), s.Role(Gateway)[n%2], http.MethodPost, "/ask/x", fmt.Sprintf("ask-%d", n), []byte("body"))
		if response.Status != http.StatusServiceUnavailable {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		refusals++
		if time.Since(started) > time.Second {
			slow++
		}
		if response.RetryAfter <= 0 {
			withoutRetryAfter++
		}
	}
	for n := range 400 {
		<-ticker.C
		wg.Go(func() { send(n) })
	}
	wg.Wait()
	t.Logf("%d of 400 requests refused, %d of them late, %d without Retry-After", refusals, slow, withoutRetryAfter)
	limited.check(t, time.Now())
	assert.Greater(t, refusals, 200)
	assert.Zero(t, slow)
	assert.Zero(t, withoutRetryAfter)

	for _, target := range limited.targets {
		target.SetBehaviour(func(string) standin.Behaviour { return behaviour })
	}
	require.Eventually(t, func() bool {
		for n := range 20 {
			response := s.Send(t.Context(), s.Role(Gateway)[n%2], http.MethodPost, "/ask/x", fmt.Sprintf("free-%d-%d", n, time.Now().UnixNano()), []byte("body"))
			if response.Status != http.StatusOK {
				return false
			}
		}
		return true
	}, conditionTimeout, 100*time.Millisecond, "the limits end")
}

// A plain service, whose requests no broker places, keeps to the limits as well.
func TestPlainTargetsGetMoreThanTheirLimits(t *testing.T) {
	behaviour := standin.Behaviour{Pause: 20 * time.Millisecond}
	s := startSite(t, 114)
	_, body := s.NextConfiguration(PlainService)
	require.NoError(t, s.PutConfiguration(t.Context(), body))
	limited := addLimitedTargets(t, s, PlainService, 6, behaviour, 3, 0.7, 0)
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s, g, "/card/1", "first")
	}
	limited.name(behaviour)
	stop := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { _, _ = sendSteadily(t, s, "card", 40, s.Role(Gateway), stop) })
	time.Sleep(5 * contactTime)
	close(stop)
	wg.Wait()
	limited.check(t, time.Now())
}

// The items of jobs count towards the limits of targets.
func TestItemsGoBeyondLimitsOfTargets(t *testing.T) {
	const jobs, items = 8, 50
	behaviour := standin.Behaviour{Events: 5, Pause: 20 * time.Millisecond}
	s := startSite(t, 115)
	limited := addLimitedTargets(t, s, "llm", 8, behaviour, 3, 2)
	gateway := s.Role(Gateway)[0]
	awaitServed(t, s, gateway, "/ask/1", "first")
	limited.name(behaviour)
	for n := range jobs {
		job := fmt.Sprintf("job-%d", n)
		require.Eventually(t, func() bool {
			return s.Send(t.Context(), gateway, http.MethodPost, "/lots/x", job, batchBody(items, job)).Status == http.StatusAccepted
		}, conditionTimeout, 50*time.Millisecond)
		time.Sleep(contactTime / 2)
	}
	limited.check(t, time.Now())
}
