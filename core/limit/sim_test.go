package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

// sim is a discrete-event simulation of holders and owners on a faulty network.
type sim struct {
	t            *rapid.T
	random       *rand.Rand // seeded with one value drawn by rapid
	now          int64
	events       events
	order        int
	epoch        uint64
	owner        *Owner // nil: no owner
	rates        map[string]Rate
	gateways     []*simGateway
	incarnations uint64
	minDelay     int64
	maxDelay     int64
	lossPct      int

	admitted map[string][]int64
	refused  map[string]int
	timedOut map[string]int // waited MaxWait without a token
}

type simGateway struct {
	sim               *sim
	incarnation       uint64 // zero: not running
	holder            *Holder
	waiting           map[string][]int64 // arrival times
	exchanging        bool               // an exchange is in flight
	exchangeStartedAt int64              // when the last exchange began
	frozenUntil       int64              // the process is paused until then
	retryAt           int64              // when to request tokens again for waiting requests
}

type event struct {
	at    int64
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSim(t *rapid.T, gateways int, rates map[string]Rate) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: 1, rates: rates, minDelay: ms / 4, maxDelay: 3 * ms,
		admitted: make(map[string][]int64), refused: make(map[string]int), timedOut: make(map[string]int),
	}
	// The workspaces are new to the first owner, so their buckets start full.
	s.epoch = 1
	s.owner = NewOwner(1, nil, s.now)
	s.owner.SetRates(rates, s.now)
	for range gateways {
		g := &simGateway{sim: s}
		s.gateways = append(s.gateways, g)
		g.start()
	}
	return s
}

func (s *sim) at(at int64, run func()) {
	s.order++
	heap.Push(&s.events, event{at: at, order: s.order, run: run})
}

func (s *sim) int(low, high int64) int64 { return low + s.random.Int64N(high-low+1) }

func (s *sim) lost() bool { return s.lossPct > 0 && s.int(0, 99) < int64(s.lossPct) }

func (s *sim) delay() int64 { return s.int(s.minDelay, s.maxDelay) }

// run processes events until end.
func (s *sim) run(end int64) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = end
}

// changeOwner stops the owner and starts another one after gap nanoseconds.
func (s *sim) changeOwner(gap int64) {
	s.owner = nil
	s.epoch++
	epoch := s.epoch
	s.at(s.now+gap, func() {
		if s.epoch == epoch {
			s.owner = NewOwner(epoch, s.rates, s.now)
		}
	})
}

func (g *simGateway) start() {
	s := g.sim
	s.incarnations++
	g.incarnation = s.incarnations
	g.holder = NewHolder(GatewayID{Name: "g", Incarnation: g.incarnation})
	g.waiting = make(map[string][]int64)
	g.exchanging, g.exchangeStartedAt, g.retryAt = false, 0, 0
	g.tick(g.incarnation)
}

// shutDown shuts the gateway down cleanly: once no request waits, it returns all
// tokens and retries until the owner has answered.
func (g *simGateway) shutDown() {
	s := g.sim
	if len(g.needs()) > 0 || g.exchanging {
		s.at(s.now+ms, g.shutDown)
		return
	}
	g.incarnation = 0
	g.returnTokens(s.now + 3*int64(time.Second))
}

func (g *simGateway) returnTokens(until int64) {
	s := g.sim
	if s.now >= until {
		return
	}
	request := g.holder.Close(s.now)
	done := false
	s.at(s.now+s.delay(), func() {
		s.serve(request, 0, func(a *Response) {
			if _, ok := g.holder.Finish(s.now, a); ok {
				done = true
			}
		})
	})
	s.at(s.now+50*ms, func() {
		if !done {
			g.returnTokens(until)
		}
	})
}

func (g *simGateway) crash() { g.incarnation = 0 }

func (g *simGateway) alive(incarnation uint64) bool {
	return g.incarnation == incarnation && incarnation != 0
}

// handleRequest simulates a caller's request: it takes a token or waits.
func (g *simGateway) handleRequest(workspace string) {
	if g.incarnation == 0 || g.sim.now < g.frozenUntil {
		return
	}
	if len(g.waiting[workspace]) == 0 && g.take(workspace) {
		return
	}
	g.waiting[workspace] = append(g.waiting[workspace], g.sim.now)
}

func (g *simGateway) take(workspace string) bool {
	s := g.sim
	if !g.holder.Take(workspace) || !g.holder.Valid(s.now) {
		return false
	}
	s.admitted[workspace] = append(s.admitted[workspace], s.now)
	return true
}

// tick runs every millisecond and starts an exchange if one is due.
func (g *simGateway) tick(incarnation uint64) {
	s := g.sim
	if !g.alive(incarnation) {
		return
	}
	if s.now >= g.frozenUntil {
		if g.exchanging && (s.now-g.exchangeStartedAt)/ms%10 == 0 {
			g.holder.RecordSpent(s.now)
		}
		g.expireWaiting()
		g.exchange(incarnation)
	}
	s.at(s.now+ms, func() { g.tick(incarnation) })
}

func (g *simGateway) expireWaiting() {
	for workspace, list := range g.waiting {
		for len(list) > 0 && g.sim.now-list[0] > int64(MaxWait) {
			g.sim.timedOut[workspace]++
			list = list[1:]
		}
		g.waiting[workspace] = list
	}
}

func (g *simGateway) needs() map[string]WaitingRequests {
	needs := make(map[string]WaitingRequests)
	for workspace, list := range g.waiting {
		if len(list) > 0 {
			needs[workspace] = WaitingRequests{Count: int64(len(list)), Oldest: list[0]}
		}
	}
	return needs
}

func (g *simGateway) exchange(incarnation uint64) {
	s := g.sim
	needs := g.needs()
	due := g.holder.Due(s.now) || len(needs) > 0 && s.now >= g.retryAt
	if g.exchanging || !due {
		return
	}
	g.exchanging, g.exchangeStartedAt = true, s.now
	request := g.holder.Begin(s.now, needs)
	seq := request.Seq
	done := false
	finish := func(a *Response) {
		if done || !g.alive(incarnation) {
			return
		}
		if s.now < g.frozenUntil {
			a = nil // the response is read only after the pause, when the exchange has timed out
		}
		done, g.exchanging = true, false
		if a != nil {
			g.finish(a)
		}
	}
	s.at(s.now+250*ms, func() { finish(nil) })
	copies := 1
	if s.lossPct > 0 && s.int(0, 9) == 0 {
		copies = 2
	}
	for range copies {
		if s.lost() {
			continue
		}
		s.at(s.now+s.delay(), func() { s.serve(request, seq, finish) })
	}
}

func (s *sim) serve(request *Request, _ uint64, finish func(*Response)) {
	if s.owner == nil {
		return
	}
	response := s.owner.Acquire(s.now, request)
	s.checkInvariant()
	if response.Status == StatusStale || s.lost() {
		return
	}
	s.at(s.now+s.delay(), func() { finish(response) })
}

// checkInvariant checks that each bucket's token counts equal the sums over the
// sessions and that outstanding tokens never exceed the burst.
func (s *sim) checkInvariant() {
	for name, b := range s.owner.buckets {
		sum, idle := int64(0), int64(0)
		for _, session := range s.owner.sessions {
			if h := session.holdings[name]; h != nil {
				sum += h.outstanding
				idle += h.idle
			}
		}
		if sum != b.outstanding || idle != b.idle || b.outstanding < 0 || b.outstanding > b.burst {
			s.t.Fatalf("token counts of %s: sessions hold %d, bucket has %d outstanding; sessions have %d idle, bucket has %d", name, sum, b.outstanding, idle, b.idle)
		}
	}
}

func (g *simGateway) finish(a *Response) {
	s := g.sim
	g.retryAt = 0
	grants, ok := g.holder.Finish(s.now, a)
	if !ok {
		g.retryAt = s.now + 10*ms
		return
	}
	byName := make(map[string]Grant)
	for _, grant := range grants {
		byName[grant.Workspace] = grant
	}
	soonest := int64(0)
	for workspace, list := range g.waiting {
		for len(list) > 0 && g.take(workspace) {
			list = list[1:]
		}
		kept := list[:0]
		for _, arrived := range list {
			due, refused := byName[workspace].Refuses(int64(len(kept)), s.now-arrived)
			if refused {
				s.refused[workspace]++
				if workspace == "good" {
					s.t.Logf("refused at %d ms, waited %d ms, %+v, position %d", s.now/ms, (s.now-arrived)/ms, byName[workspace], len(kept))
				}
				continue
			}
			if ask := s.now + RetryDelay(due); len(kept) == 0 && (soonest == 0 || ask < soonest) {
				soonest = ask
			}
			kept = append(kept, arrived)
		}
		g.waiting[workspace] = kept
	}
	g.retryAt = soonest
}

// overspent describes a window that admitted too much, or returns an empty string.
func overspent(admitted []int64, rate Rate) string {
	b := newBucket(rate, 0)
	for _, at := range admitted {
		b.spend(at, 1)
		if b.fullAt > at+b.burst*b.interval {
			return fmt.Sprintf("%d ns over at %d", b.fullAt-at-b.burst*b.interval, at)
		}
	}
	return ""
}
