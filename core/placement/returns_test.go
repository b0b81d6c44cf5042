package placement

import (
	"container/heap"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returnReplay plays the callers of one service through a jump of the load or an
// outage: requests wait in one queue, those beyond its length are refused, and each
// caller returns once.
type returnReplay struct {
	places, queue, returnQueue int
	hold, aim, limit           time.Duration
	next                       func(now time.Time, remaining time.Duration) time.Duration
	observe                    func(time.Duration)

	arrivals               arrivalHeap
	busyUntil              []time.Time // by place
	onTime, returned, late int
	lost                   int
}

type replayArrival struct {
	at, first time.Time
	isReturn  bool
}

type arrivalHeap []replayArrival

func (h arrivalHeap) Len() int           { return len(h) }
func (h arrivalHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h arrivalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *arrivalHeap) Push(x any)        { *h = append(*h, x.(replayArrival)) }
func (h *arrivalHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *returnReplay) run() {
	r.busyUntil = make([]time.Time, r.places)
	heap.Init(&r.arrivals)
	for r.arrivals.Len() > 0 {
		r.arrive(heap.Pop(&r.arrivals).(replayArrival))
	}
}

func (r *returnReplay) arrive(a replayArrival) {
	place, waiting := 0, 0
	for i, until := range r.busyUntil {
		if until.Before(r.busyUntil[place]) {
			place = i
		}
		// Each request beyond the running one waits for one hold time.
		if until.After(a.at) {
			waiting += int((until.Sub(a.at) - 1) / r.hold)
		}
	}
	start := r.busyUntil[place]
	if start.Before(a.at) {
		start = a.at
	}
	limit := r.queue
	if a.isReturn {
		limit = r.returnQueue
	}
	switch {
	case start.After(a.at) && waiting >= limit:
		if a.isReturn {
			r.lost++
			return
		}
		delay := r.next(a.at, r.limit-a.at.Sub(a.first))
		heap.Push(&r.arrivals, replayArrival{at: a.at.Add(delay), first: a.first, isReturn: true})
		return
	case start.Sub(a.at) <= r.aim && a.isReturn:
		r.returned++
	case start.Sub(a.at) <= r.aim:
		r.onTime++
	default:
		r.late++
	}
	r.busyUntil[place] = start.Add(r.hold)
	r.observe(r.hold)
}

// newReturnReplay returns a replay of 18 targets with 8 places whose load alternates
// between 0.38 and 1.84 of the mean, with an outage of the given length in a peak:
// its callers come back a second after they first tried.
func newReturnReplay(perSecond float64, outage time.Duration) *returnReplay {
	start := time.Unix(0, 0)
	r := &returnReplay{places: 144, queue: 36, returnQueue: 180, hold: 750 * time.Millisecond, aim: 250 * time.Millisecond, limit: 5 * time.Second,
		observe: func(time.Duration) {}}
	outageFrom := start.Add(13500 * time.Millisecond)
	for at := start; at.Before(start.Add(30 * time.Second)); {
		rate := perSecond * 0.377
		if phase := at.Sub(start) % (6600 * time.Millisecond); phase >= 3800*time.Millisecond {
			rate = perSecond * 1.84
		}
		arrival := replayArrival{at: at, first: at}
		if !at.Before(outageFrom) && at.Before(outageFrom.Add(outage)) {
			arrival = replayArrival{at: at.Add(time.Second), first: at, isReturn: true}
		}
		r.arrivals = append(r.arrivals, arrival)
		at = at.Add(time.Duration(float64(time.Second) / rate))
	}
	return r
}

// On-time answers to callers that returned count less than those at the first try,
// as their callers have waited.
func (r *returnReplay) value() float64 {
	return float64(r.onTime) + float64(r.returned)/2
}

// Load that exceeds the places for seconds, with and without an outage before: spread
// returns serve more callers in time than equal ones, and lose none more.
func TestSpreadReturnsServeMoreCallersInTime(t *testing.T) {
	for _, perSecond := range []float64{90, 108, 120, 140} {
		for _, outage := range []time.Duration{0, time.Second, 2 * time.Second} {
			equal := newReturnReplay(perSecond, outage)
			equal.next = func(time.Time, time.Duration) time.Duration { return minReturn }
			equal.run()
			spread := newReturnReplay(perSecond, outage)
			returns := &Returns{}
			spread.next = func(now time.Time, left time.Duration) time.Duration { return returns.Next(now, spread.places, left) }
			spread.observe = returns.Observe
			spread.run()
			t.Logf("%.0f a second, outage %v: equal returns: %d, %d returned, %d late, %d lost; spread: %d, %d, %d, %d", perSecond, outage,
				equal.onTime, equal.returned, equal.late, equal.lost, spread.onTime, spread.returned, spread.late, spread.lost)
			require.GreaterOrEqual(t, spread.value(), equal.value())
			require.LessOrEqual(t, spread.lost, equal.lost)
			if perSecond > 120 {
				require.Greater(t, spread.value(), equal.value())
			}
		}
	}
}

func TestReturnsStayWithinPatienceOfCaller(t *testing.T) {
	now := time.Unix(100, 0)
	r := &Returns{}
	r.Observe(time.Second)
	require.Equal(t, minReturn, r.Next(now, 8, 5*time.Second))
	require.Equal(t, minReturn+time.Second*returnsShare/8, r.Next(now, 8, 5*time.Second))
	require.Equal(t, 500*time.Millisecond/patienceDivisor, r.Next(now, 8, 500*time.Millisecond), "a caller with little time")
	for range 20 {
		require.LessOrEqual(t, r.Next(now, 8, 5*time.Second), 5*time.Second/patienceDivisor)
	}
	require.Equal(t, minReturn, r.Next(now.Add(time.Minute), 8, 5*time.Second))
}
