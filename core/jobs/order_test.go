package jobs

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var startTime = time.Unix(1000, 0)

// simulateSlots runs arriving items on a number of slots in the order given by
// sort, and returns the number of items that end by their due time.
func simulateSlots(arrivals []arrival, slots int, sort func(now time.Time, c []Candidate)) (inTime int) {
	const step = 50 * time.Millisecond
	var waiting []Candidate
	running := make([]time.Time, slots) // time at which each slot becomes free
	for now := startTime; now.Before(startTime.Add(2 * time.Minute)); now = now.Add(step) {
		for len(arrivals) > 0 && !arrivals[0].at.After(now) {
			waiting = append(waiting, arrivals[0].item)
			arrivals = arrivals[1:]
		}
		sort(now, waiting)
		for i := range running {
			if running[i].After(now) || len(waiting) == 0 {
				continue
			}
			item := waiting[0]
			waiting = waiting[1:]
			running[i] = now.Add(item.Remaining)
			if !running[i].After(item.Due) {
				inTime++
			}
		}
	}
	return inTime
}

type arrival struct {
	at   time.Time
	item Candidate
}

// steadyArrivals returns items that arrive at a constant rate for 30 s, each due
// 18 s after its arrival.
func steadyArrivals(perSecond float64) []arrival {
	rng := rand.New(rand.NewPCG(1, 2))
	var all []arrival
	for at := 0.0; at < 30; at += 1 / perSecond {
		when := startTime.Add(time.Duration(at * float64(time.Second)))
		all = append(all, arrival{at: when, item: Candidate{
			Due: when.Add(18 * time.Second), Remaining: time.Duration(3+4*rng.Float64()) * time.Second,
		}})
	}
	return all
}

func earliestDueFirst(_ time.Time, c []Candidate) {
	slices.SortStableFunc(c, func(a, b Candidate) int { return a.Due.Compare(b.Due) })
}

func TestOverloadStillEndsItemsInTime(t *testing.T) {
	const slots = 20 // at 5 s per item on average, 4 items per second
	for _, load := range []float64{2, 6, 12} {
		arrivals := steadyArrivals(load)
		plain := simulateSlots(slices.Clone(arrivals), slots, earliestDueFirst)
		ordered := simulateSlots(slices.Clone(arrivals), slots, SortByPriority)
		t.Logf("%v items/s: %d of %d in time by due time, %d by SortByPriority", load, plain, len(arrivals), ordered)
		assert.GreaterOrEqual(t, ordered, plain)
		if load > 8 {
			assert.Greater(t, ordered, plain*5/4)
		}
	}
}

func TestSortByPriority(t *testing.T) {
	item := func(id string, due, remaining time.Duration) Candidate {
		return Candidate{Ref: ItemRef{Job: id}, Due: startTime.Add(due), Remaining: remaining}
	}
	c := []Candidate{
		item("late and long", time.Second, 5*time.Second),
		item("later due", 9*time.Second, time.Second),
		item("late and short", time.Second, 2*time.Second),
		item("soon due", 3*time.Second, time.Second),
	}
	SortByPriority(startTime, c)
	var order []string
	for _, x := range c {
		order = append(order, x.Ref.Job)
	}
	assert.Equal(t, []string{"soon due", "later due", "late and short", "late and long"}, order)
}

func TestDurationEstimatorFollowsObservedItems(t *testing.T) {
	var e DurationEstimator
	assert.Equal(t, 1000*initialPerToken, e.Remaining(1000, 0))
	e.Observe(1000, 4*time.Second)
	assert.Equal(t, 4*time.Second, e.Remaining(1000, 0))
	assert.Equal(t, time.Duration(0), e.Remaining(1000, 5*time.Second))
	for range 100 {
		e.Observe(1000, 2*time.Second)
	}
	assert.InDelta(t, float64(2*time.Second), float64(e.Remaining(1000, 0)), float64(50*time.Millisecond))
}
