package jobs

import (
	"math"
	"time"

	"banyanwalk/core/streams"
)

// Lane names the targets that an item competes for: those of a service, and of one
// software version if its text has begun there.
type Lane struct {
	Service string
	Version string // of a text that has begun; empty: any
}

// LaneOf returns the lane of an item on a service whose text began at origin, if it has
// begun.
func LaneOf(service string, origin streams.Origin, begun bool) Lane {
	if !begun {
		return Lane{Service: service}
	}
	return Lane{Service: origin.Service, Version: origin.Version}
}

// Entry is an item in a Plan.
type Entry struct {
	Candidate
	Lane Lane
	Held int64 // tokens that a target holds for it
}

// Plan is the order in which runnable items get free slots. It serves several passes, each
// of which costs as much as it starts items, and not as much as there are that wait.
type Plan struct {
	entries []planned
	first   int // entries before it are done with
	lanes   []lane
	done    int
}

// planned is an entry and its state in the plan.
type planned struct {
	Entry
	lane int // index
	done bool
}

// lane is what the current pass knows of a lane.
type lane struct {
	least  int64 // tokens of its smallest item
	fullAt int64 // no target takes an item of that many tokens, or more
}

func (l *lane) isFull() bool { return l.fullAt <= l.least }

// NewPlan returns a plan of the entries, which it sorts by priority.
func NewPlan(now time.Time, entries []Entry) *Plan {
	sortByPriority(now, entries, func(e *Entry) *Candidate { return &e.Candidate })
	p := &Plan{entries: make([]planned, len(entries))}
	indices := make(map[Lane]int)
	for i, e := range entries {
		index, known := indices[e.Lane]
		if !known {
			index = len(p.lanes)
			indices[e.Lane] = index
			p.lanes = append(p.lanes, lane{least: math.MaxInt64})
		}
		p.lanes[index].least = min(p.lanes[index].least, e.Held)
		p.entries[i] = planned{Entry: e, lane: index}
	}
	return p
}

// Waiting returns the number of items that are not done with.
func (p *Plan) Waiting() int { return len(p.entries) - p.done }

// Pass calls try with the items in their order, as long as there is a lane with room. try
// returns what became of the item. Pass returns how many items it has tried.
func (p *Plan) Pass(try func(e *Entry) Attempt) (tried int) {
	for i := range p.lanes {
		p.lanes[i].fullAt = math.MaxInt64
	}
	for p.first < len(p.entries) && p.entries[p.first].done {
		p.first++
	}
	for i := p.first; i < len(p.entries) && !p.isFull(); i++ {
		e := &p.entries[i]
		lane := &p.lanes[e.lane]
		if e.done || e.Held >= lane.fullAt {
			continue
		}
		tried++
		switch try(&e.Entry) {
		case Done:
			e.done = true
			p.done++
		case NoPlace:
			lane.fullAt = e.Held
		case NoSlot:
			lane.fullAt = 0
		}
	}
	return tried
}

// isFull reports whether no lane has room for any of its items.
func (p *Plan) isFull() bool {
	for i := range p.lanes {
		if !p.lanes[i].isFull() {
			return false
		}
	}
	return true
}

// Attempt is what became of an item in a pass.
type Attempt uint8

// The results of an attempt.
const (
	Done    Attempt = iota // it was started, or cannot run for now for a reason of its own
	NoPlace                // no target has a place for an item that holds as many tokens
	NoSlot                 // no target has a free slot
)
