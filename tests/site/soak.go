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
	soakTargets   = 4
	soakEvents    = 15
	soakPause     = 8 * time.Millisecond // between two events
	soakCallers   = 4
	soakLotItems  = 6
	stateGap      = 7 * time.Second // between two losses of state-keeping hosts
	settleTimeout = 60 * time.Second
)

// Soak is one randomized run of a site under faults from outside. Report lists
// every promise that was broken.
type Soak struct {
	site    *Site
	rng     *rand.Rand // of the faults
	targets []*standin.Target
	proxies []*Proxy

	mu       sync.Mutex
	broken   []string
	sent     map[string]sentRequest // by id
	accepted map[string]int         // items by accepted job
	acked    uint64                 // newest acknowledged configuration
	served   atomic.Int64
	next     atomic.Int64
	history  []string // faults, in order
	started  time.Time
}

type sentRequest struct {
	kind   string
	status int // 0: no answer
}

// NewSoak lays out a run. Different networks may run at once.
func NewSoak(binaries, dir string, network int, seed uint64) *Soak {
	return &Soak{
		site: New(binaries, dir, network, 2, 3, 3), rng: rand.New(rand.NewPCG(seed, seed)),
		sent: make(map[string]sentRequest), accepted: make(map[string]int),
	}
}

// Report returns the broken promises, the faults in order and the number of
// requests that were served.
func (k *Soak) Report() (broken, history []string, served int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.broken, k.history, k.served.Load()
}

func (k *Soak) breaks(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = append(k.broken, fmt.Sprintf("%.2fs ", time.Since(k.started).Seconds())+fmt.Sprintf(format, args...))
}

// Run plays faults for a time, heals everything and checks what is left.
func (k *Soak) Run(ctx context.Context, length time.Duration) error {
	defer k.close()
	k.started = time.Now()
	if err := k.start(ctx); err != nil {
		return err
	}
	running, stop := context.WithTimeout(ctx, length)
	defer stop()
	var wg conc.WaitGroup
	for i := range soakCallers {
		wg.Go(func() { k.call(running, i) })
	}
	wg.Go(func() { k.submitLots(running) })
	wg.Go(func() { k.configure(running) })
	wg.Go(func() { k.readConfigurations(running) })
	k.disturb(running)
	wg.Wait()
	k.heal()
	k.settle(ctx)
	k.checkRuns()
	for _, fault := range k.site.Faults() {
		k.breaks("%s", fault)
	}
	return nil
}

func (k *Soak) start(ctx context.Context) error {
	if err := k.site.Start(); err != nil {
		return err
	}
	for i := range soakTargets {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), standin.Behaviour{})
		if err != nil {
			return err
		}
		target.SetBehaviour(func(id string) standin.Behaviour {
			if strings.HasPrefix(id, "card") || strings.HasPrefix(id, "once") {
				return standin.Behaviour{Pause: soakPause}
			}
			return standin.Behaviour{Events: soakEvents, Pause: soakPause}
		})
		proxy, err := NewProxy(target.Addr)
		if err != nil {
			return err
		}
		k.targets, k.proxies = append(k.targets, target), append(k.proxies, proxy)
		k.site.AddTarget(target, proxy.Addr, "llm", 8)
	}
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	version, body := k.site.Configuration("llm")
	if err := k.site.PutConfiguration(bounded, body); err != nil {
		return err
	}
	k.ack(version)
	for _, g := range k.site.Role(Gateway) {
		for !k.site.Ready(g) && bounded.Err() == nil {
			time.Sleep(beatInterval)
		}
	}
	return bounded.Err()
}

func (k *Soak) close() {
	k.site.Close()
	for _, p := range k.proxies {
		p.Close()
	}
}

func (k *Soak) ack(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acked = max(k.acked, version)
}

func (k *Soak) newest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acked
}

// call sends requests of all kinds and checks their answers.
func (k *Soak) call(ctx context.Context, caller int) {
	kinds := []string{"ask", "card", "once"}
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[n%len(kinds)]
		gateway := k.site.Role(Gateway)[(n+caller)%2]
		id := fmt.Sprintf("%s-%d-%d", kind, caller, k.next.Add(1))
		answer := k.site.Ask(ctx, gateway, http.MethodPost, "/"+kind+"/x", id, []byte("body"))
		k.mu.Lock()
		k.sent[id] = sentRequest{kind: kind, status: answer.Status}
		k.mu.Unlock()
		k.checkAnswer(kind, id, answer)
		if answer.Status != http.StatusOK {
			time.Sleep(soakPause)
		}
	}
}

// submitLots hands jobs in, each until it is accepted.
func (k *Soak) submitLots(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		job := fmt.Sprintf("lot-%d", n)
		var requests []any
		for i := range soakLotItems {
			requests = append(requests, map[string]any{"id": fmt.Sprintf("%s-%d", job, i), "path": "/lots/x",
				"body": base64.StdEncoding.EncodeToString([]byte("item")), "token_count": 100})
		}
		body, _ := json.Marshal(map[string]any{"requests": requests}) // strings and numbers can be encoded
		for try := 0; ctx.Err() == nil; try++ {
			answer := k.site.Ask(ctx, k.site.Role(Gateway)[(n+try)%2], http.MethodPost, "/lots/x", job, body)
			if answer.Status == http.StatusAccepted {
				k.mu.Lock()
				k.accepted[job] = soakLotItems
				k.mu.Unlock()
				break
			}
			time.Sleep(beatInterval)
		}
		time.Sleep(beatInterval)
	}
}

// configure sends one version after another.
func (k *Soak) configure(ctx context.Context) {
	for ctx.Err() == nil {
		version, body := k.site.Configuration("llm")
		if k.site.PutConfiguration(ctx, body) == nil {
			k.ack(version)
		}
		time.Sleep(4 * beatInterval)
	}
}

// readConfigurations checks that no control host ever answers with a version
// older than the newest one that was acknowledged before.
func (k *Soak) readConfigurations(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		control := k.site.Role(Control)[n%3]
		before := k.newest()
		status, body, err := k.site.Operate(control, http.MethodGet, "/v1/configuration/read", nil)
		if err == nil && status == http.StatusOK {
			if read := versionOf(body); read < before {
				k.breaks("%s: read version %d after %d was acknowledged", control.Name, read, before)
			}
		}
		time.Sleep(beatInterval / 3)
	}
}

// disturb plays faults until ctx ends: at most one host of each group that
// keeps state is harmed within stateGap, gateways and targets at any time.
func (k *Soak) disturb(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	lost := map[string]time.Time{}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+k.rng.IntN(700)) * time.Millisecond)
		role := []string{Gateway, Control, Store, "target", "target"}[k.rng.IntN(5)]
		if role == "target" {
			k.harmTarget(ctx, &wg)
			continue
		}
		hosts := k.site.Role(role)
		host, fault, length := hosts[k.rng.IntN(len(hosts))], k.rng.IntN(4), time.Duration(300+k.rng.IntN(2500))*time.Millisecond
		if role != Gateway && time.Since(lost[role]) < stateGap {
			continue
		}
		lost[role] = time.Now()
		wg.Go(func() { k.harmHost(host, fault, length) })
	}
}

func (k *Soak) note(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history = append(k.history, fmt.Sprintf("%.2fs ", time.Since(k.started).Seconds())+fmt.Sprintf(format, args...))
}

// harmHost kills, pauses, stops or wipes a host, and brings it back.
func (k *Soak) harmHost(h *Host, fault int, length time.Duration) {
	if !h.harmed.TryLock() {
		return
	}
	defer h.harmed.Unlock()
	k.note("%s: %s for %s", h.Name, []string{"kill", "pause", "stop", "wipe"}[fault], length)
	switch fault {
	case 0:
		h.Kill()
	case 1:
		h.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.Signal(syscall.SIGCONT)
		return
	case 2:
		h.Stop()
	case 3:
		h.Kill()
		if err := h.Wipe(); err != nil {
			k.breaks("%s: wipe: %v", h.Name, err)
		}
	}
	time.Sleep(length / 4)
	if err := h.Start(); err != nil {
		k.breaks("%s: start: %v", h.Name, err)
	}
}

// harmTarget harms the connections of one target for a while.
func (k *Soak) harmTarget(ctx context.Context, wg *conc.WaitGroup) {
	i, length := k.rng.IntN(len(k.proxies)), time.Duration(200+k.rng.IntN(1500))*time.Millisecond
	fault := Fault(k.rng.IntN(int(Refusing) + 2))
	k.note("t%d: fault %d for %s", i, fault, length)
	proxy := k.proxies[i]
	if fault > Refusing {
		proxy.Reset()
		return
	}
	proxy.Set(fault)
	wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(length):
		}
		proxy.Set(Healthy)
	})
}

func (k *Soak) heal() {
	for _, p := range k.proxies {
		p.Set(Healthy)
	}
	for _, h := range k.site.Hosts {
		h.Signal(syscall.SIGCONT)
	}
}
