// Package fairshare divides the slots of a service between its workspaces while they
// are scarce: weighted max-min shares, and admission by them. It does no I/O and takes
// the time as an argument.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time over which requests are counted to estimate a demand.
	window = 1 * time.Second
	// windowParts divides the window, so that it moves in steps of 100 ms.
	windowParts = 10
	// recentParts is how many of the newest parts are counted by themselves, so that a
	// jump of the demand shows before its requests fill all slots.
	recentParts = 3
	// countDeviations is how many standard deviations are subtracted from the number of
	// requests in the recent parts, or in the window until a whole one has passed.
	countDeviations = 2
	// reserveDivisor is the part of the slots, as a divisor, that workspaces beyond
	// their share leave free. A request within a share then finds a free slot unless
	// more of them than the reserve arrive before the next slots are released.
	reserveDivisor = 32
	// levelAge is how long a computed level is used. Otherwise each of 600 requests a
	// second would sort all workspaces.
	levelAge = 5 * time.Millisecond
	// initialHold is assumed until the first request has ended. Requests to model
	// engines mostly run for 0.3 to 1 s.
	initialHold = 500 * time.Millisecond
	// holdWeight is the weight of the newest sample in the moving average of how long
	// a request holds its slot.
	holdWeight = 0.05
	// A workspace counts as within its share while its demand is at most tolerance times
	// the share plus toleranceSlots. Small workspaces often have two or three
	// requests at once, and while all workspaces send a little too much, the short
	// queue at the targets serves more callers in time than refusals do.
	tolerance      = 1.25
	toleranceSlots = 2
	// minPriorityDivisor is the part of a workspace's share, as a divisor, that its
	// requests of the second priority may use whatever the demand of the highest. Each
	// lower priority has half of that.
	minPriorityDivisor = 8
)

// Request is a request that needs a slot.
type Request struct {
	Workspace string
	Priority  int     // within the workspace; 0 is the highest
	Weight    float64 // of the workspace; 1 if not positive
}

// Capacity is what the targets that can take a request offer.
type Capacity struct {
	Slots int // that they run at once
	Free  int // of these, without an online request
}

// Decision is the answer to a request.
type Decision struct {
	Admitted  bool
	Within    bool    // the workspace holds less than its share, or does not ask for much more
	MayQueue  bool    // the request may wait at a target whose slots are all in use
	Share     float64 // slots; +Inf while slots are not scarce
	InFlight  int     // requests of the workspace that hold a slot or wait for one
	Contended bool    // several workspaces compete for scarce slots
}

// Uncontended returns the decision on a request that no share limits.
func Uncontended() Decision {
	return Decision{Admitted: true, Within: true, MayQueue: true, Share: math.Inf(1)}
}

// Shares is the state of one service. It is not safe for concurrent use.
type Shares struct {
	workspaces map[string]*workspace
	started    time.Time     // of the first request
	hold       time.Duration // moving average
	observed   bool          // hold is not assumed
	inFlight   int
	level      float64 // slots for each unit of weight
	levelAt    time.Time
	levelSlots int // for which the level was computed
}

// workspace is the state of one workspace at one service.
type workspace struct {
	weight   float64
	inFlight int
	classes  map[int]*class // by priority
}

// class is the state of the requests of one priority.
type class struct {
	inFlight int
	recent   [windowParts]int // requests by part of the window
	since    time.Time        // when part 0 began
	part     int64            // number of the newest part
}

// New returns the state of a service without requests.
func New() *Shares { return &Shares{workspaces: make(map[string]*workspace), hold: initialHold} }

// Reserve returns how many free slots workspaces beyond their share leave to others.
func Reserve(slots int) int { return max(1, slots/reserveDivisor) }

// Ask counts a request and decides on it. An admitted request that found a place is
// reported with Granted.
//
// Slots count as scarce while no more than the reserve is free; before that, every
// request is admitted. Then a workspace within its share is admitted, and may wait at a
// target, since slots become free soon. One beyond its share is not: it gets lent slots
// only while more than the reserve is free.
func (s *Shares) Ask(now time.Time, r Request, c Capacity) Decision {
	if s.started.IsZero() {
		s.started = now
	}
	w := s.workspace(r)
	w.weight = r.weight() // Granted and Released may name a former one
	w.class(r.Priority).count(now)
	reserve := Reserve(c.Slots)
	d := Uncontended()
	d.InFlight = w.inFlight
	if c.Free > 2*reserve {
		return d
	}
	s.refreshLevel(now, c)
	if len(s.workspaces) <= 1 || math.IsInf(s.level, 1) {
		return d
	}
	d.Contended = true
	d.Share = s.level * w.weight
	own := s.entitlement(now, w, r.Priority, d.Share)
	holdsLess := float64(w.inFlight) < d.Share && float64(w.class(r.Priority).inFlight) < own
	d.Within = holdsLess || s.demandOf(now, w) <= tolerance*d.Share+toleranceSlots
	d.MayQueue = d.Within
	if !d.Within && own < d.Share {
		reserve *= 2 // what is lent goes to the workspace's higher priorities first
	}
	d.Admitted = d.Within || c.Free > reserve
	return d
}

// entitlement returns how many slots of a workspace's share its requests of a priority
// may use: what higher priorities leave, and at least its minimum by minPriorityDivisor.
func (s *Shares) entitlement(now time.Time, w *workspace, priority int, share float64) float64 {
	left, minimum := share, 2*share/minPriorityDivisor
	for p, c := range w.classes {
		if p < priority {
			left -= s.demand(now, c)
			minimum /= 2
		}
	}
	return max(left, minimum)
}

// Granted counts a request that has a place, until Released.
func (s *Shares) Granted(r Request) {
	w := s.workspace(r)
	w.inFlight++
	w.class(r.Priority).inFlight++
	s.inFlight++
}

// Released ends a request counted by Granted. held is how long it had its place; 0: it
// did not use it.
func (s *Shares) Released(r Request, held time.Duration) {
	w := s.workspace(r)
	w.inFlight--
	w.class(r.Priority).inFlight--
	s.inFlight--
	if held <= 0 {
		return
	}
	if !s.observed {
		s.hold, s.observed = held, true
	}
	s.hold += time.Duration(holdWeight * float64(held-s.hold))
}

// Hold returns the moving average of how long a request holds its place.
func (s *Shares) Hold() time.Duration { return s.hold }

// workspace returns the state of a request's workspace, and creates it with the request's
// weight if there is none.
func (s *Shares) workspace(r Request) *workspace {
	w := s.workspaces[r.Workspace]
	if w == nil {
		w = &workspace{weight: r.weight(), classes: make(map[int]*class)}
		s.workspaces[r.Workspace] = w
	}
	return w
}

// weight returns the weight of the request's workspace.
func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// class returns the state of a priority, and creates it if there is none.
func (w *workspace) class(priority int) *class {
	c := w.classes[priority]
	if c == nil {
		c = &class{}
		w.classes[priority] = c
	}
	return c
}

// refreshLevel computes the level anew if it is too old or the slots have changed, and
// forgets workspaces without requests.
//
// Slots in use by requests that this state does not know (those that a former broker
// or a gateway placed) are not there to be shared. So the shares of a new broker grow
// as those requests end, and its first places go to the workspaces by weight.
func (s *Shares) refreshLevel(now time.Time, c Capacity) {
	if age := now.Sub(s.levelAt); age >= 0 && age < levelAge && s.levelSlots == c.Slots {
		return
	}
	s.levelAt, s.levelSlots = now, c.Slots
	demands := make([]weighted, 0, len(s.workspaces))
	for name, w := range s.workspaces {
		for priority, class := range w.classes {
			if class.inFlight == 0 && class.total(now, windowParts) == 0 {
				delete(w.classes, priority)
			}
		}
		if len(w.classes) == 0 {
			delete(s.workspaces, name)
			continue
		}
		demands = append(demands, weighted{demand: s.demandOf(now, w), weight: w.weight})
	}
	unknown := max(0, c.Slots-c.Free-s.inFlight)
	s.level = level(demands, float64(max(1, c.Slots-Reserve(c.Slots)-unknown)))
}

// demandOf returns the demand of a workspace.
func (s *Shares) demandOf(now time.Time, w *workspace) float64 {
	sum := 0.0
	for _, c := range w.classes {
		sum += s.demand(now, c)
	}
	return sum
}

// demand returns how many slots the requests of one class would hold if all that came
// were granted: by those within the window, or after a jump by the newest of them.
func (s *Shares) demand(now time.Time, c *class) float64 {
	const part = window / windowParts
	elapsed := max(now.Sub(s.started), part)
	wanted := float64(c.total(now, windowParts))
	if elapsed < window {
		wanted -= countDeviations * math.Sqrt(wanted)
	}
	wanted /= min(window, elapsed).Seconds()
	newest := float64(c.total(now, recentParts))
	wanted = max(wanted, (newest-countDeviations*math.Sqrt(newest))/min(recentParts*part, elapsed).Seconds())
	return max(float64(c.inFlight), wanted*s.hold.Seconds())
}

// count counts one request.
func (c *class) count(now time.Time) {
	c.advance(now)
	c.recent[c.part%windowParts]++
}

// total returns the requests within the newest parts of the window.
func (c *class) total(now time.Time, parts int64) int {
	c.advance(now)
	sum := 0
	for i := range parts {
		sum += c.recent[(c.part-i+windowParts)%windowParts]
	}
	return sum
}

// advance moves the window to now.
func (c *class) advance(now time.Time) {
	if c.since.IsZero() {
		c.since = now
	}
	part := int64(now.Sub(c.since) / (window / windowParts))
	if part <= c.part {
		return
	}
	for p := max(c.part+1, part-windowParts+1); p <= part; p++ {
		c.recent[p%windowParts] = 0
	}
	c.part = part
}

// weighted is the demand of one workspace.
type weighted struct{ demand, weight float64 }

// level returns the number of slots for each unit of weight at which the demands, each
// cut off at its weight times the level, use all slots; +Inf if they need fewer.
func level(demands []weighted, slots float64) float64 {
	slices.SortFunc(demands, func(a, b weighted) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if d.demand*weights > slots*d.weight {
			return slots / weights
		}
		slots -= d.demand
		weights -= d.weight
	}
	return math.Inf(1)
}
