package site

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const (
	soakTargets         = 4
	soakEventsPerStream = 15
	soakEventInterval   = 8 * time.Millisecond // between the events of a stream, and after a failed request of a caller
	soakCallers         = 4
	soakTakers          = 3 // callers that leave their streams and take them up again
	soakTakeUps         = 8 // tries of one of them at a stream
	soakItemsPerJob     = 6
	statefulFaultGap    = 7 * time.Second // per role, so that two hosts of one replica group are not down at once
	recoveryTimeout     = 60 * time.Second
)

// soakVersions are the software versions of the targets, by turns.
var soakVersions = []string{"v1", "v1.1"}

// Soak is one run of a site under load with randomized fault injection. It checks
// invariants during and after the faults; Report lists the violations.
type Soak struct {
	site    *Site
	rng     *rand.Rand // chooses the faults
	targets []*standin.Target
	proxies []*Proxy

	mu           sync.Mutex
	violations   []string
	sent         map[string]sentRequest // by request id
	acceptedJobs map[string]int         // item counts by id of accepted job
	ackedVersion uint64                 // newest acknowledged configuration version
	served       atomic.Int64           // requests with a correct response
	lastRequest  atomic.Int64           // number in the newest request id
	faultLog     []string               // injected faults in order, with their times
	started      time.Time
}

// sentRequest is the outcome of a request as its caller saw it.
type sentRequest struct {
	kind   string
	status int // 0: no response
}

// NewSoak returns a run whose faults are chosen from seed. Runs on different
// networks may run at the same time.
func NewSoak(binaries, dir string, network int, seed uint64) *Soak {
	return &Soak{
		site: New(binaries, dir, network, 2, 3, 3), rng: rand.New(rand.NewPCG(seed, seed)),
		sent: make(map[string]sentRequest), acceptedJobs: make(map[string]int),
	}
}

// Report returns the invariant violations, the injected faults in order and the
// number of requests with a correct response.
func (s *Soak) Report() (violations, faultLog []string, served int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations, s.faultLog, s.served.Load()
}

// addViolation records a violation with the time since the start of the run.
func (s *Soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.2fs ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// Run applies load and faults for the given time, clears the faults and checks
// that the site recovers. An error means that the site did not start.
func (s *Soak) Run(ctx context.Context, duration time.Duration) error {
	defer s.close()
	s.started = time.Now()
	if err := s.start(ctx); err != nil {
		return err
	}
	loadCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var wg conc.WaitGroup
	for i := range soakCallers {
		wg.Go(func() { s.runCaller(loadCtx, i) })
	}
	for i := range soakTakers {
		wg.Go(func() { s.takeStreamsUp(loadCtx, i) })
	}
	wg.Go(func() { s.submitJobs(loadCtx) })
	wg.Go(func() { s.replaceConfigurations(loadCtx) })
	wg.Go(func() { s.checkConfigurationReads(loadCtx) })
	s.injectFaults(loadCtx)
	wg.Wait()
	s.clearFaults()
	s.checkRecovery(ctx)
	s.checkRuns()
	for _, line := range s.site.RaceAndPanicLines() {
		s.addViolation("%s", line)
	}
	return nil
}

// start starts the hosts and the targets, each behind a proxy, and waits until
// all gateways are ready.
func (s *Soak) start(ctx context.Context) error {
	if err := s.site.Start(); err != nil {
		return err
	}
	for i := range soakTargets {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), standin.Behaviour{})
		if err != nil {
			return err
		}
		version := soakVersions[i%len(soakVersions)]
		target.SetBehaviour(func(id string) standin.Behaviour {
			if strings.HasPrefix(id, "card") || strings.HasPrefix(id, "once") {
				return standin.Behaviour{Pause: soakEventInterval}
			}
			return standin.Behaviour{Events: soakEventsPerStream, Pause: soakEventInterval, Mark: versionMark + version}
		})
		proxy, err := NewProxy(target.Addr)
		if err != nil {
			return err
		}
		s.targets, s.proxies = append(s.targets, target), append(s.proxies, proxy)
		s.site.AddVersionedTarget(target, proxy.Addr, "llm", 8, version)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, body := s.site.NextConfiguration("llm")
	if err := s.site.PutConfiguration(timeoutCtx, body); err != nil {
		return err
	}
	s.recordAck(version)
	for _, g := range s.site.Role(Gateway) {
		for !s.site.Ready(g) && timeoutCtx.Err() == nil {
			time.Sleep(heartbeatInterval)
		}
	}
	return timeoutCtx.Err()
}

func (s *Soak) close() {
	s.site.Close()
	for _, p := range s.proxies {
		p.Close()
	}
}

// recordAck records that a configuration version was acknowledged.
func (s *Soak) recordAck(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ackedVersion = max(s.ackedVersion, version)
}

// newestAcked returns the newest acknowledged configuration version.
func (s *Soak) newestAcked() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ackedVersion
}

// runCaller sends requests of all online kinds, one after the other, and checks
// the responses.
func (s *Soak) runCaller(ctx context.Context, caller int) {
	kinds := []string{"ask", "card", "once"}
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[n%len(kinds)]
		gateway := s.site.Role(Gateway)[(n+caller)%2]
		id := fmt.Sprintf("%s-%d-%d", kind, caller, s.lastRequest.Add(1))
		response := s.site.Send(ctx, gateway, http.MethodPost, "/"+kind+"/x", id, []byte("body"))
		s.mu.Lock()
		s.sent[id] = sentRequest{kind: kind, status: response.Status}
		s.mu.Unlock()
		s.checkResponse(kind, id, response)
		if response.Status != http.StatusOK {
			time.Sleep(soakEventInterval)
		}
	}
}

// takeStreamsUp begins streams, leaves each after some events and takes it up again at
// another gateway, until it is complete. All its events must be of one version.
func (s *Soak) takeStreamsUp(ctx context.Context, taker int) {
	gateways := s.site.Role(Gateway)
	for n := 0; ctx.Err() == nil; n++ {
		stream := &callerStream{site: s.site, name: fmt.Sprintf("ask-taken-%d-%d", taker, n), events: soakEventsPerStream}
		stop := 1 + (n+taker)%(soakEventsPerStream-1)
		_, _ = stream.attempt(ctx, gateways[n%len(gateways)], stop) // a failure is one of the faults
		if stream.finish(ctx, n+1, soakTakeUps) {
			s.served.Add(1)
		}
		if len(stream.marks) > 1 {
			s.addViolation("%s: events of versions %v, attempts %v", stream.name, stream.marks, stream.attempts)
		}
	}
}

// submitJobs submits batch jobs, retrying each until it is accepted.
func (s *Soak) submitJobs(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		job := fmt.Sprintf("lot-%d", n)
		var requests []any
		for i := range soakItemsPerJob {
			requests = append(requests, map[string]any{"id": fmt.Sprintf("%s-%d", job, i), "path": "/lots/x",
				"body": base64.StdEncoding.EncodeToString([]byte("item")), "token_count": 100})
		}
		body, _ := json.Marshal(map[string]any{"requests": requests}) // cannot fail: only strings and numbers
		for attempt := 0; ctx.Err() == nil; attempt++ {
			response := s.site.Send(ctx, s.site.Role(Gateway)[(n+attempt)%2], http.MethodPost, "/lots/x", job, body)
			if response.Status == http.StatusAccepted {
				s.mu.Lock()
				s.acceptedJobs[job] = soakItemsPerJob
				s.mu.Unlock()
				break
			}
			time.Sleep(heartbeatInterval)
		}
		time.Sleep(heartbeatInterval)
	}
}

// replaceConfigurations puts one configuration version after another.
func (s *Soak) replaceConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		version, body := s.site.NextConfiguration("llm")
		if s.site.PutConfiguration(ctx, body) == nil {
			s.recordAck(version)
		}
		time.Sleep(4 * heartbeatInterval)
	}
}

// checkConfigurationReads checks that no control host returns a version older than
// the newest one acknowledged before the read was sent.
func (s *Soak) checkConfigurationReads(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		control := s.site.Role(Control)[n%3]
		acked := s.newestAcked()
		status, body, err := s.site.CallControl(control, http.MethodGet, "/v1/configuration/read", nil)
		if err == nil && status == http.StatusOK {
			if read := configurationVersion(body); read < acked {
				s.addViolation("%s: read version %d after %d was acknowledged", control.Name, read, acked)
			}
		}
		time.Sleep(heartbeatInterval / 3)
	}
}

// injectFaults injects random faults until ctx ends. Faults on control hosts are
// at least statefulFaultGap apart, and so are those on storage hosts; gateways and
// targets get faults at any time.
func (s *Soak) injectFaults(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	lastFault := map[string]time.Time{}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+s.rng.IntN(700)) * time.Millisecond)
		role := []string{Gateway, Control, Store, "target", "target"}[s.rng.IntN(5)]
		if role == "target" {
			s.injectTargetFault(ctx, &wg)
			continue
		}
		hosts := s.site.Role(role)
		host, fault, duration := hosts[s.rng.IntN(len(hosts))], s.rng.IntN(4), time.Duration(300+s.rng.IntN(2500))*time.Millisecond
		if role != Gateway && time.Since(lastFault[role]) < statefulFaultGap {
			continue
		}
		lastFault[role] = time.Now()
		wg.Go(func() { s.injectHostFault(host, fault, duration) })
	}
}

// logFault appends to the fault log, with the time since the start of the run.
func (s *Soak) logFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf("%.2fs ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// injectHostFault kills, pauses, stops or wipes a host, and resumes or restarts
// it. It does nothing if another fault on the host has not ended.
func (s *Soak) injectHostFault(h *Host, fault int, duration time.Duration) {
	if !h.faultMu.TryLock() {
		return
	}
	defer h.faultMu.Unlock()
	s.logFault("%s: %s for %s", h.Name, []string{"kill", "pause", "stop", "wipe"}[fault], duration)
	switch fault {
	case 0:
		h.Kill()
	case 1:
		h.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		h.Signal(syscall.SIGCONT)
		return
	case 2:
		h.Stop()
	case 3:
		h.Kill()
		if err := h.Wipe(); err != nil {
			s.addViolation("%s: wipe: %v", h.Name, err)
		}
	}
	time.Sleep(duration / 4)
	if err := h.Start(); err != nil {
		s.addViolation("%s: start: %v", h.Name, err)
	}
}

// injectTargetFault sets a fault of one target's proxy for a while, or resets its
// connections once.
func (s *Soak) injectTargetFault(ctx context.Context, wg *conc.WaitGroup) {
	i, duration := s.rng.IntN(len(s.proxies)), time.Duration(200+s.rng.IntN(1500))*time.Millisecond
	fault := Fault(s.rng.IntN(int(RefuseConnections) + 2))
	s.logFault("t%d: fault %d for %s", i, fault, duration)
	proxy := s.proxies[i]
	if fault > RefuseConnections {
		proxy.ResetConnections()
		return
	}
	proxy.SetFault(fault)
	wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(duration):
		}
		proxy.SetFault(NoFault)
	})
}

// clearFaults ends the faults of the proxies and resumes paused hosts. Stopped
// hosts run again when injectFaults returns.
func (s *Soak) clearFaults() {
	for _, p := range s.proxies {
		p.SetFault(NoFault)
	}
	for _, h := range s.site.Hosts {
		h.Signal(syscall.SIGCONT)
	}
}
