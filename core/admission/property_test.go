package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// target models a target that is cold after a start, and its in-flight requests.
type target struct {
	capacity  Capacity
	served    int
	running   map[uint64]bool
	heldUntil map[uint64]Time // cancelled requests and until when they occupy the target
}

func (m *target) concurrencyLimit() int {
	if m.served >= m.capacity.Warmup {
		return m.capacity.Warm
	}
	return m.capacity.Cold + (m.capacity.Warm-m.capacity.Cold)*m.served/m.capacity.Warmup
}

func (m *target) occupied(now Time) int {
	n := len(m.running)
	for id, until := range m.heldUntil {
		if until > now {
			n++
		} else {
			delete(m.heldUntil, id)
		}
	}
	return n
}

// harness drives one gate and checks its actions against the model.
type harness struct {
	t          *rapid.T
	gate       *Gate
	target     target
	now        Time
	next       uint64
	requests   map[uint64]Request
	waiting    map[uint64]bool
	preempting map[uint64]bool // preempted, Done not called yet
}

func (h *harness) apply(actions []Action) {
	for _, a := range actions {
		r, known := h.requests[a.ID]
		if !known {
			h.t.Fatalf("action on unknown request %+v", a)
		}
		switch a.Kind {
		case Start:
			h.start(a.ID, r)
		case Refuse:
			if !h.waiting[a.ID] {
				h.t.Fatalf("refused a request that does not wait: %+v", a)
			}
			delete(h.waiting, a.ID)
			delete(h.requests, a.ID)
		case Preempt:
			if r.Class != Batch || r.NonPreemptible || !h.target.running[a.ID] || h.preempting[a.ID] {
				h.t.Fatalf("bad preemption %+v", a)
			}
			h.preempting[a.ID] = true
		}
	}
	h.check()
}

func (h *harness) start(id uint64, r Request) {
	if !h.waiting[id] {
		h.t.Fatalf("started %d twice or after its end", id)
	}
	delete(h.waiting, id)
	if r.Class == Online && r.StartBy <= h.now {
		h.t.Fatalf("started %d after its deadline", id)
	}
	if r.Isolated && len(h.target.running) > 0 {
		h.t.Fatalf("suspect %d started while other requests run", id)
	}
	for other := range h.target.running {
		if h.requests[other].Isolated {
			h.t.Fatalf("request %d started while suspect %d runs", id, other)
		}
	}
	h.target.running[id] = true
	if h.target.served < h.target.capacity.Warmup && h.target.occupied(h.now) > h.target.concurrencyLimit() {
		h.t.Fatalf("cold target can run %d requests, has %d", h.target.concurrencyLimit(), h.target.occupied(h.now))
	}
}

// check runs after each step: no online request waits while a preemptible batch
// item runs, requests that are not preempted stay within the warm capacity, and
// no online request waits for an idle target.
func (h *harness) check() {
	online, batch, queued := 0, 0, 0
	for id := range h.target.running {
		switch {
		case h.preempting[id]:
		case h.requests[id].Class == Batch && !h.requests[id].NonPreemptible:
			batch++
		default:
			online++
		}
	}
	for id := range h.waiting {
		if h.requests[id].Class == Online && !h.requests[id].Isolated {
			queued++
		}
	}
	if queued > 0 && batch > 0 {
		h.t.Fatalf("%d online requests wait while %d batch items run", queued, batch)
	}
	if online+batch > h.target.capacity.Warm {
		h.t.Fatalf("%d requests run on %d slots", online+batch, h.target.capacity.Warm)
	}
	if queued > 0 && len(h.target.running)+len(h.gate.heldUntil) == 0 {
		h.t.Fatalf("%d online requests wait for an idle target", queued)
	}
}

func (h *harness) offer(class Class) {
	h.next++
	r := Request{
		ID:             h.next,
		Workspace:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "workspace"),
		Class:          class,
		Isolated:       rapid.IntRange(0, 9).Draw(h.t, "alone") == 0,
		NonPreemptible: class == Batch && rapid.IntRange(0, 3).Draw(h.t, "firm") == 0,
		StartBy:        h.now + Time(rapid.IntRange(1, 2000).Draw(h.t, "wait"))*time.Millisecond,
	}
	h.requests[r.ID] = r
	h.waiting[r.ID] = true
	h.apply(h.gate.Offer(h.now, r))
	if class == Batch && h.waiting[r.ID] {
		h.t.Fatalf("batch item %d waits", r.ID)
	}
}

func (h *harness) finish() {
	id, found := h.pick(h.target.running)
	if !found {
		return
	}
	ending := rapid.SampledFrom([]Ending{Succeeded, Succeeded, Succeeded, Failed, Cancelled, NotSent}).Draw(h.t, "ending")
	if h.preempting[id] {
		ending = Cancelled
	}
	delete(h.target.running, id)
	delete(h.preempting, id)
	switch ending {
	case Succeeded:
		h.target.served++
	case Failed, Cancelled:
		held := Time(rapid.IntRange(0, 200).Draw(h.t, "held")) * time.Millisecond
		h.target.heldUntil[id] = h.now + held
	case NotSent:
	}
	h.apply(h.gate.Done(h.now, id, Result{Ending: ending}))
}

func (h *harness) pick(set map[uint64]bool) (uint64, bool) {
	if len(set) == 0 {
		return 0, false
	}
	n := rapid.IntRange(0, len(set)-1).Draw(h.t, "pick")
	for id := uint64(1); id <= h.next; id++ {
		if set[id] {
			if n == 0 {
				return id, true
			}
			n--
		}
	}
	return 0, false
}

func (h *harness) advance() {
	h.now += Time(rapid.IntRange(1, 400).Draw(h.t, "pass")) * time.Millisecond
	for {
		at, found := h.gate.NextTick(h.now)
		if !found || at > h.now {
			break
		}
		h.apply(h.gate.Tick(h.now))
		if again, found := h.gate.NextTick(h.now); found && again <= h.now {
			h.t.Fatalf("a tick at %v leaves another tick due at %v", h.now, again)
		}
	}
}

// crash simulates a restart of the target's process: its running requests fail.
func (h *harness) crash() {
	h.apply(h.gate.LimitToCold(h.now))
	for id := uint64(1); id <= h.next; id++ {
		if h.target.running[id] {
			delete(h.target.running, id)
			delete(h.preempting, id)
			h.apply(h.gate.Done(h.now, id, Result{Ending: Failed}))
		}
	}
	h.target.served = 0
	h.target.heldUntil = make(map[uint64]Time)
	h.apply(h.gate.ResetToCold(h.now, h.target.capacity))
}

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		warm := rapid.IntRange(1, 12).Draw(t, "warm")
		capacity := Capacity{
			Warm:   warm,
			Cold:   rapid.IntRange(1, warm).Draw(t, "cold"),
			Warmup: rapid.IntRange(1, 40).Draw(t, "warmup"),
		}
		w := &harness{
			t:          t,
			gate:       NewGate(Config{}, capacity),
			target:     target{capacity: capacity, running: make(map[uint64]bool), heldUntil: make(map[uint64]Time)},
			requests:   make(map[uint64]Request),
			waiting:    make(map[uint64]bool),
			preempting: make(map[uint64]bool),
		}
		t.Repeat(map[string]func(*rapid.T){
			"online": func(*rapid.T) { w.offer(Online) },
			"batch":  func(*rapid.T) { w.offer(Batch) },
			"end":    func(*rapid.T) { w.finish() },
			"end2":   func(*rapid.T) { w.finish() },
			"pass":   func(*rapid.T) { w.advance() },
			"crash": func(*rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
					w.crash()
				}
			},
		})
	})
}

// fixedSeed makes property tests reproducible; -rapid.seed overrides it.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}
