// Package rush replays a rush of callers on a fleet of simulated model engines in
// virtual time, for tests of the broker and of gateways without one.
package rush

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The load and the engines of docs/design/0015.
const (
	Targets     = 43
	Slots       = 8 // of each target
	Workspaces  = 75
	FirstEvent  = 300 * time.Millisecond // within which the first event is due
	skew        = 1.2                    // exponent of the Zipf distribution of rates over workspaces
	perSecond   = 175.0                  // mean of all workspaces together, before any of them is hot
	meanHold    = 600 * time.Millisecond // of a run
	engineDelay = 25 * time.Millisecond  // from the start of a run to its first event at the caller
	callerLimit = 5 * time.Second        // for which a caller waits
	// The load alternates between two factors of the mean.
	period            = 6600 * time.Millisecond
	lowPart           = 3800 * time.Millisecond // of a period
	lowLoad, highLoad = 0.38, 1.84
	// WeightFactor is the limit of a workspace as a multiple of its mean rate.
	WeightFactor = 4.0
)

// Request is one attempt of a caller.
type Request struct {
	Number    uint64
	Workspace int
	Priority  int
	IsRetry   bool
	Remaining time.Duration
}

// Placer places requests.
type Placer interface {
	// Place returns the index of a target, or -1 and when the caller may return.
	Place(now time.Time, r Request) (target int, retryAfter time.Duration)
	// Release ends a request.
	Release(now time.Time, r Request, target int)
}

// Replay is one run.
type Replay struct {
	Seed     uint64
	Hot      int           // number of hot workspaces, those with the most requests
	Factor   float64       // of their usual load
	Limited  bool          // keeps workspaces to their rate limits
	Base     float64       // factor of all loads; 0: 1
	From, To time.Duration // while workspaces are hot
	Counted  time.Duration // callers who arrive from then until To count; 0: From
	Length   time.Duration
	Priority func(number uint64) int // nil: 0
	At       []Event

	placer   Placer
	random   [Workspaces]*rand.Rand // of callers
	holds    *rand.Rand             // of engines; apart from the callers', so that all placers get the same callers
	now      time.Time
	queue    eventQueue
	engines  [Targets]engine
	tokens   [Workspaces]float64
	filledAt [Workspaces]time.Time
	number   uint64
	Hots     Result
	Others   Result
	ByRank   [Workspaces]Result
	Classes  map[int]*Result
}

// Event is a call at a time since the start.
type Event struct {
	At time.Duration
	Do func(now time.Time)
}

// Result counts the callers of some workspaces who arrived between Counted and To.
type Result struct {
	Callers, InTime, Returned, Late, Refused, Limited int
	first                                             []time.Duration
}

// Quantile returns a quantile of the time from an attempt to its first event.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	slices.Sort(r.first)
	return r.first[int(q*float64(len(r.first)-1))].Round(time.Millisecond)
}

// Add adds the counts of another replay.
func (r *Result) Add(other *Result) {
	r.Callers += other.Callers
	r.InTime += other.InTime
	r.Returned += other.Returned
	r.Late += other.Late
	r.Refused += other.Refused
	r.Limited += other.Limited
	r.first = append(r.first, other.first...)
}

// engine is a simulated model engine.
type engine struct {
	running int
	waiting []run
}

// run is one attempt of a caller at an engine.
type run struct {
	request     Request
	attemptedAt time.Time
	arrivedAt   time.Time // of the caller
}

// Start is the virtual time at which replays start.
var Start = time.Unix(1_000_000, 0)

// Rate returns the mean requests a second of the workspace with the given rank.
func Rate(rank int) float64 {
	sum := 0.0
	for k := range Workspaces {
		sum += math.Pow(float64(k+1), -skew)
	}
	return perSecond * math.Pow(float64(rank+1), -skew) / sum
}

// Run runs the replay.
func (r *Replay) Run(p Placer) {
	r.placer, r.holds, r.now = p, rand.New(rand.NewPCG(r.Seed, Workspaces)), Start
	if r.Counted == 0 {
		r.Counted = r.From
	}
	if r.Base == 0 {
		r.Base = 1
	}
	r.Classes = make(map[int]*Result)
	for _, e := range r.At {
		r.schedule(Start.Add(e.At), func() { e.Do(r.now) })
	}
	for w := range Workspaces {
		r.random[w] = rand.New(rand.NewPCG(r.Seed, uint64(w)))
		r.tokens[w], r.filledAt[w] = Rate(w)*WeightFactor, Start
		r.scheduleNext(w)
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
}

// scheduleNext schedules the next caller of a workspace, of a Poisson process whose
// rate is evaluated every 50 ms at most.
func (r *Replay) scheduleNext(w int) {
	const step = 50 * time.Millisecond
	rate := Rate(w) * r.Base * lowLoad
	since := r.now.Sub(Start)
	if since%period >= lowPart {
		rate = Rate(w) * r.Base * highLoad
	}
	if w < r.Hot && since >= r.From && since < r.To {
		rate *= r.Factor
	}
	wait := time.Duration(r.random[w].ExpFloat64() / rate * float64(time.Second))
	if since > r.Length {
		return
	}
	if wait > step {
		r.schedule(r.now.Add(step), func() { r.scheduleNext(w) })
		return
	}
	r.schedule(r.now.Add(wait), func() {
		r.arrive(w)
		r.scheduleNext(w)
	})
}

// arrive lets a caller arrive, and refuses it if its workspace is over its rate limit.
func (r *Replay) arrive(w int) {
	a := run{attemptedAt: r.now, arrivedAt: r.now}
	r.number++
	a.request = Request{Workspace: w, Number: r.number}
	if r.Priority != nil {
		a.request.Priority = r.Priority(r.number)
	}
	limit := Rate(w) * WeightFactor
	r.tokens[w] = min(limit, r.tokens[w]+limit*r.now.Sub(r.filledAt[w]).Seconds())
	r.filledAt[w] = r.now
	if r.Limited && r.tokens[w] < 1 {
		r.count(&a, func(c *Result) { c.Limited++ })
		return
	}
	r.tokens[w]--
	r.attempt(a)
}

// attempt places a request, or schedules its one retry.
func (r *Replay) attempt(a run) {
	a.request.Remaining = callerLimit - r.now.Sub(a.arrivedAt)
	target, retryAfter := r.placer.Place(r.now, a.request)
	if target < 0 {
		if a.request.IsRetry || retryAfter <= 0 {
			r.count(&a, func(c *Result) { c.Refused++ })
			return
		}
		r.schedule(r.now.Add(retryAfter), func() {
			again := a
			r.number++
			again.request.Number, again.request.IsRetry, again.attemptedAt = r.number, true, r.now
			r.attempt(again)
		})
		return
	}
	e := &r.engines[target]
	e.waiting = append(e.waiting, a)
	r.startRuns(target)
}

// startRuns starts waiting runs while the target has free slots.
func (r *Replay) startRuns(target int) {
	e := &r.engines[target]
	for e.running < Slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		r.started(&a)
		held := time.Duration(float64(meanHold) * (0.7 + 0.6*r.holds.Float64()))
		r.schedule(r.now.Add(held), func() {
			r.engines[target].running--
			r.placer.Release(r.now, a.request, target)
			r.startRuns(target)
		})
	}
}

// started counts the result of an attempt whose run has started.
func (r *Replay) started(a *run) {
	first := r.now.Sub(a.attemptedAt) + engineDelay
	r.count(a, func(c *Result) {
		c.first = append(c.first, first)
		switch {
		case first > FirstEvent:
			c.Late++
		case a.request.IsRetry:
			c.Returned++
		default:
			c.InTime++
		}
	})
}

// count updates the results to which a caller belongs, if it counts.
func (r *Replay) count(a *run, f func(*Result)) {
	since := a.arrivedAt.Sub(Start)
	if since < r.Counted || since >= r.To {
		return
	}
	if r.Classes[a.request.Priority] == nil {
		r.Classes[a.request.Priority] = &Result{}
	}
	results := []*Result{&r.ByRank[a.request.Workspace], &r.Others}
	if a.request.Workspace < r.Hot {
		results = []*Result{&r.ByRank[a.request.Workspace], &r.Hots, r.Classes[a.request.Priority]}
	}
	for _, c := range results {
		c.Callers++
		f(c)
	}
}

// schedule calls do at a virtual time.
func (r *Replay) schedule(at time.Time, do func()) {
	heap.Push(&r.queue, event{at: at, do: do})
}

type event struct {
	at time.Time
	do func()
}

// eventQueue is a heap of events by time, for container/heap.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
