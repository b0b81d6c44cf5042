package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pool is a service whose slots and queue are one pool, in virtual time.
type pool struct {
	shares       *Shares
	now          time.Time
	slots, queue int
	running      []running
	hold         time.Duration
}

type running struct {
	request Request
	ends    time.Time
}

func newPool(slots, queue int) *pool {
	return &pool{shares: New(), now: time.Unix(1000, 0), slots: slots, queue: queue, hold: 600 * time.Millisecond}
}

func (p *pool) advance(d time.Duration) {
	p.now = p.now.Add(d)
	var left []running
	for _, r := range p.running {
		if r.ends.After(p.now) {
			left = append(left, r)
			continue
		}
		p.shares.Released(r.request, p.hold)
	}
	p.running = left
}

func (p *pool) free() int { return max(0, p.slots-len(p.running)) }

// ask asks for a slot and takes it. Where a request waits is not modelled: it only holds
// its place longer.
func (p *pool) ask(r Request) (d Decision, granted bool) {
	d = p.shares.Ask(p.now, r, Capacity{Slots: p.slots, Free: p.free()})
	hasPlace := p.free() > 0 || d.MayQueue && len(p.running) < p.slots+p.queue
	if !d.Admitted || !hasPlace {
		return d, false
	}
	p.shares.Granted(r)
	p.running = append(p.running, running{r, p.now.Add(p.hold)})
	return d, true
}

// A workspace within its share must not be refused while one beyond it is granted, and
// shares matter only while slots are scarce.
func TestNoneWithinIsRefusedWhileOneBeyondIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(rapid.IntRange(1, 300).Draw(t, "slots"), rapid.IntRange(0, 80).Draw(t, "queue"))
		count := rapid.IntRange(1, 12).Draw(t, "workspaces")
		weights := rapid.SliceOfN(rapid.Float64Range(0, 200), count, count).Draw(t, "weights")
		burst := rapid.IntRange(1, 60).Draw(t, "burst")
		for range 120 {
			p.advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			refusedWithin := false
			for range rapid.IntRange(0, burst).Draw(t, "requests") {
				w := rapid.IntRange(0, count-1).Draw(t, "workspace")
				free := p.free()
				d, granted := p.ask(Request{Workspace: fmt.Sprint(w), Weight: weights[w], Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
				refusedWithin = refusedWithin || d.Within && !granted
				if d.Within {
					require.True(t, d.Admitted)
				}
				if free > 2*Reserve(p.slots) {
					require.True(t, granted)
					require.False(t, d.Contended)
				}
				if !d.Within && granted {
					require.False(t, refusedWithin, "one within was refused at this time")
					require.Greater(t, free, Reserve(p.slots))
				}
			}
		}
	})
}

// Counts left behind by requests that have ended would take shares for ever.
func TestWorkspacesAreForgotten(t *testing.T) {
	p := newPool(4, 2)
	for i := range 500 {
		p.ask(Request{Workspace: fmt.Sprint(i), Priority: i})
		p.advance(10 * time.Millisecond)
	}
	p.advance(2 * time.Second)
	for range 5 {
		p.ask(Request{Workspace: "last"})
	}
	assert.Zero(t, p.shares.inFlight-len(p.running))
	assert.Len(t, p.shares.workspaces, 1)
}

// saturate has each request asked for every few milliseconds, and returns how many of
// each were granted.
func saturate(p *pool, length time.Duration, requests []Request) []int {
	granted := make([]int, len(requests))
	for end := p.now.Add(length); p.now.Before(end); p.advance(2 * time.Millisecond) {
		for i := range requests {
			// The order changes, so that none profits from being the first.
			at := (i + int(p.now.UnixMilli()/2)) % len(requests)
			if _, ok := p.ask(requests[at]); ok {
				granted[at]++
			}
		}
	}
	return granted
}

// Workspaces that all send too much get places by their weights, and none is starved.
func TestGrantsFollowWeights(t *testing.T) {
	p := newPool(280, 70)
	granted := saturate(p, 20*time.Second, []Request{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 2}, {Workspace: "c", Weight: 4}, {Workspace: "d", Weight: 0.001}})
	t.Logf("weights 1, 2, 4 and 0.001: %v granted", granted)
	assert.InEpsilon(t, 2, float64(granted[1])/float64(granted[0]), 0.2)
	assert.InEpsilon(t, 4, float64(granted[2])/float64(granted[0]), 0.2)
	assert.Greater(t, granted[3], 20, "of the smallest weight, at least one at a time")
	total := granted[0] + granted[1] + granted[2] + granted[3]
	assert.Greater(t, float64(total), 0.9*280*20/0.6, "slots stay in use")
}

// Capacity that nobody else wants is lent, and comes back to its owner as soon as the
// lent slots are released.
func TestCapacityIsLent(t *testing.T) {
	p := newPool(100, 20)
	alone := saturate(p, 5*time.Second, []Request{{Workspace: "a"}, {Workspace: "b", Priority: 1}})
	assert.Greater(t, float64(alone[0]+alone[1]), 0.9*100*5/0.6)
	one := Request{Workspace: "big", Weight: 1}
	lent := saturate(p, 5*time.Second, []Request{one, one, one, one})
	assert.Greater(t, float64(lent[0]+lent[1]+lent[2]+lent[3]), 0.85*100*5/0.6, "to a workspace alone")
	both := saturate(p, 2*time.Second, []Request{one, one, one, {Workspace: "owner", Weight: 9}})
	t.Logf("lent %v, then with the owner %v", lent, both)
	assert.Greater(t, both[3], 3*(both[0]+both[1]+both[2])/2)
}

// Within a workspace, higher priorities go first, and lower ones are not starved.
func TestPrioritiesWithinWorkspace(t *testing.T) {
	p := newPool(280, 70)
	granted := saturate(p, 20*time.Second, []Request{{Workspace: "a", Priority: 0}, {Workspace: "a", Priority: 1}, {Workspace: "a", Priority: 5}, {Workspace: "b"}})
	t.Logf("priorities 0, 1 and 5 of one workspace, and another: %v granted", granted)
	assert.Greater(t, granted[0], 2*granted[1])
	for _, n := range granted {
		assert.Greater(t, n, 200)
	}
	assert.InEpsilon(t, 1, float64(granted[0]+granted[1]+granted[2])/float64(granted[3]), 0.2, "priorities do not count between workspaces")
}

func TestLevel(t *testing.T) {
	assert.True(t, math.IsInf(level([]weighted{{3, 1}, {4, 1}}, 7), 1))
	assert.InDelta(t, 5, level([]weighted{{3, 1}, {40, 2}, {100, 1}}, 18), 1e-9)
	assert.InDelta(t, 2, level([]weighted{{100, 1}, {100, 2}}, 6), 1e-9)
}

func BenchmarkAsk(b *testing.B) {
	p := newPool(8, 0)
	for i := range 500 {
		p.shares.Granted(Request{Workspace: fmt.Sprint(i)})
	}
	for i := range b.N {
		p.shares.Ask(p.now.Add(time.Duration(i)*2*time.Millisecond), Request{Workspace: fmt.Sprint(i % 500)}, Capacity{Slots: 280})
	}
}

// A weight that has changed must not fall back to its former value when a request that was
// granted before the change ends.
func TestReleaseKeepsNewestWeight(t *testing.T) {
	s, now := New(), time.Unix(1000, 0)
	former := Request{Workspace: "a", Weight: 1}
	s.Ask(now, former, Capacity{Slots: 32, Free: 32})
	s.Granted(former)
	s.Ask(now, Request{Workspace: "a", Weight: 3}, Capacity{Slots: 32, Free: 31})
	s.Released(former, time.Second)
	require.InDelta(t, 3.0, s.workspaces["a"].weight, 0)
}
