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

func (w *harness) apply(actions []Action) {
	for _, a := range actions {
		r, known := w.requests[a.ID]
		if !known {
			w.t.Fatalf("action on unknown request %+v", a)
		}
		switch a.Kind {
		case Start:
			w.start(a.ID, r)
		case Refuse:
			if !w.waiting[a.ID] {
				w.t.Fatalf("refused a request that does not wait: %+v", a)
			}
			delete(w.waiting, a.ID)
			delete(w.requests, a.ID)
		case Preempt:
			if r.Class != Batch || r.NonPreemptible || !w.target.running[a.ID] || w.preempting[a.ID] {
				w.t.Fatalf("bad preemption %+v", a)
			}
			w.preempting[a.ID] = true
		}
	}
	w.check()
}

func (w *harness) start(id uint64, r Request) {
	if !w.waiting[id] {
		w.t.Fatalf("started %d twice or after its end", id)
	}
	delete(w.waiting, id)
	if r.Class == Online && r.StartBy <= w.now {
		w.t.Fatalf("started %d after its deadline", id)
	}
	if r.Isolated && len(w.target.running) > 0 {
		w.t.Fatalf("suspect %d started while other requests run", id)
	}
	for other := range w.target.running {
		if w.requests[other].Isolated {
			w.t.Fatalf("request %d started while suspect %d runs", id, other)
		}
	}
	w.target.running[id] = true
	if w.target.served < w.target.capacity.Warmup && w.target.occupied(w.now) > w.target.concurrencyLimit() {
		w.t.Fatalf("cold target can run %d requests, has %d", w.target.concurrencyLimit(), w.target.occupied(w.now))
	}
}

// check runs after each step: no online request waits while a preemptible batch
// item runs, requests that are not preempted stay within the warm capacity, and
// no online request waits for an idle target.
func (w *harness) check() {
	online, batch, queued := 0, 0, 0
	for id := range w.target.running {
		switch {
		case w.preempting[id]:
		case w.requests[id].Class == Batch && !w.requests[id].NonPreemptible:
			batch++
		default:
			online++
		}
	}
	for id := range w.waiting {
		if w.requests[id].Class == Online && !w.requests[id].Isolated {
			queued++
		}
	}
	if queued > 0 && batch > 0 {
		w.t.Fatalf("%d online requests wait while %d batch items run", queued, batch)
	}
	if online+batch > w.target.capacity.Warm {
		w.t.Fatalf("%d requests run on %d slots", online+batch, w.target.capacity.Warm)
	}
	if queued > 0 && len(w.target.running)+len(w.gate.heldUntil) == 0 {
		w.t.Fatalf("%d online requests wait for an idle target", queued)
	}
}

func (w *harness) offer(class Class) {
	w.next++
	r := Request{
		ID:             w.next,
		Workspace:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "workspace"),
		Class:          class,
		Isolated:       rapid.IntRange(0, 9).Draw(w.t, "alone") == 0,
		NonPreemptible: class == Batch && rapid.IntRange(0, 3).Draw(w.t, "firm") == 0,
		StartBy:        w.now + Time(rapid.IntRange(1, 2000).Draw(w.t, "wait"))*time.Millisecond,
	}
	w.requests[r.ID] = r
	w.waiting[r.ID] = true
	w.apply(w.gate.Offer(w.now, r))
	if class == Batch && w.waiting[r.ID] {
		w.t.Fatalf("batch item %d waits", r.ID)
	}
}

func (w *harness) finish() {
	id, found := w.pick(w.target.running)
	if !found {
		return
	}
	ending := rapid.SampledFrom([]Ending{Succeeded, Succeeded, Succeeded, Failed, Cancelled, NotSent}).Draw(w.t, "ending")
	if w.preempting[id] {
		ending = Cancelled
	}
	delete(w.target.running, id)
	delete(w.preempting, id)
	switch ending {
	case Succeeded:
		w.target.served++
	case Failed, Cancelled:
		held := Time(rapid.IntRange(0, 200).Draw(w.t, "held")) * time.Millisecond
		w.target.heldUntil[id] = w.now + held
	case NotSent:
	}
	w.apply(w.gate.Done(w.now, id, Result{Ending: ending}))
}

func (w *harness) pick(set map[uint64]bool) (uint64, bool) {
	if len(set) == 0 {
		return 0, false
	}
	n := rapid.IntRange(0, len(set)-1).Draw(w.t, "pick")
	for id := uint64(1); id <= w.next; id++ {
		if set[id] {
			if n == 0 {
				return id, true
			}
			n--
		}
	}
	return 0, false
}

func (w *harness) advance() {
	w.now += Time(rapid.IntRange(1, 400).Draw(w.t, "pass")) * time.Millisecond
	for {
		at, found := w.gate.NextTick(w.now)
		if !found || at > w.now {
			break
		}
		w.apply(w.gate.Tick(w.now))
		if again, found := w.gate.NextTick(w.now); found && again <= w.now {
			w.t.Fatalf("a tick at %v leaves another tick due at %v", w.now, again)
		}
	}
}

// crash simulates a restart of the target's process: its running requests fail.
func (w *harness) crash() {
	w.apply(w.gate.LimitToCold(w.now))
	for id := uint64(1); id <= w.next; id++ {
		if w.target.running[id] {
			delete(w.target.running, id)
			delete(w.preempting, id)
			w.apply(w.gate.Done(w.now, id, Result{Ending: Failed}))
		}
	}
	w.target.served = 0
	w.target.heldUntil = make(map[uint64]Time)
	w.apply(w.gate.ResetToCold(w.now, w.target.capacity))
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
