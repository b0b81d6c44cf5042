package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/rush"
)

const (
	rushGateways = 21
	reportEvery  = 100 * time.Millisecond
	reportDelay  = 200 * time.Millisecond // until the others have a report
)

// directPlacer places the requests of a replay at gateways without a broker.
type directPlacer struct {
	t        *testing.T
	gateways []*slots
	held     map[uint64]*slot
	unbound  bool // places as gateways did before their queue was bounded
	most     int  // requests at one target
	atTarget map[int]int
}

func newDirectPlacer(t *testing.T, unbound bool) *directPlacer {
	p := &directPlacer{t: t, unbound: unbound, held: make(map[uint64]*slot), atTarget: make(map[int]int)}
	document := &routing.Document{Version: 1, Services: []routing.Service{{Name: "llm", Slots: rush.Slots}, {Name: "plain"}}}
	for w := range rush.Workspaces {
		document.Workspaces = append(document.Workspaces, routing.Workspace{Name: fmt.Sprint("w", w), RatePerSecond: rush.Rate(w) * rush.WeightFactor})
	}
	for g := range rushGateways {
		name := fmt.Sprint("g", g)
		follower := follow.New(follow.Config{Member: rpc.Member{Name: name, Role: rpc.RoleGateway}, Log: telemetry.Discard(),
			Decode: func([]byte) (*routing.Document, error) { return document, nil }})
		push := &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: 1, Version: 1}, nil), PeerLoads: &rpc.PeerLoads{Gateways: rushGateways - 1, Members: rushGateways}}
		for i := rush.Targets / 5; i < rush.Targets; i++ {
			push.Targets = append(push.Targets, rpc.TargetReport{Report: roster.Report{ID: fmt.Sprint(i), Incarnation: 1, Sequence: 1, Service: "llm",
				Slots: rush.Slots, State: roster.Ready}})
		}
		push.Targets = append(push.Targets, rpc.TargetReport{Report: roster.Report{ID: "plain", Incarnation: 1, Sequence: 1, Service: "plain", Slots: 6, State: roster.Ready}})
		follower.ApplyPush(rush.Start, "test", push)
		follower.Targets.ShareLimits(name)
		p.gateways = append(p.gateways, newSlots(follower, nil))
	}
	return p
}

// reports returns the events that make each gateway know what the others ran.
func (p *directPlacer) reports(length time.Duration) []rush.Event {
	var events []rush.Event
	for at := time.Duration(0); at < length; at += reportEvery {
		var own []map[string]placement.Load
		events = append(events, rush.Event{At: at, Do: func(time.Time) {
			for _, g := range p.gateways {
				own = append(own, g.follower.Targets.OwnLoads(0))
			}
		}}, rush.Event{At: at + reportDelay, Do: func(time.Time) {
			for i, g := range p.gateways {
				sum := make(map[string]placement.Load)
				for j := range own {
					for id, load := range own[j] {
						if i != j {
							sum[id] = placement.Load{Online: sum[id].Online + load.Online}
						}
					}
				}
				g.follower.Targets.SetPeerLoads(sum, rushGateways+1)
			}
		}})
	}
	return events
}

func (p *directPlacer) Place(now time.Time, r rush.Request) (int, time.Duration) {
	g := p.gateways[r.Number%rushGateways]
	request := &rpc.SlotRequest{Service: "llm", Workspace: fmt.Sprint("w", r.Workspace), RemainingMS: r.Remaining.Milliseconds(), IsRetry: r.IsRetry}
	var acquired *slot
	var failure *outcome.Error
	if p.unbound {
		target, _ := g.follower.Targets.Acquire(now, placement.Query{Service: "llm"})
		acquired = &slot{target: target}
	} else {
		acquired, failure = g.acquireDirectly(now, request, placement.Query{Service: "llm"})
	}
	if failure != nil {
		return -1, failure.RetryAfter
	}
	p.held[r.Number] = acquired
	var target int
	_, err := fmt.Sscan(acquired.target.ID, &target)
	require.NoError(p.t, err)
	p.atTarget[target]++
	p.most = max(p.most, p.atTarget[target])
	return target, 0
}

func (p *directPlacer) Release(now time.Time, r rush.Request, target int) {
	used := p.held[r.Number]
	p.atTarget[target]--
	if used.direct == nil {
		p.gateways[r.Number%rushGateways].follower.Targets.Release(used.target.ID, false)
		return
	}
	p.gateways[r.Number%rushGateways].direct.release(now, used)
}

// In a rush without a broker, gateways queued all requests at the targets without a
// bound: everybody's first events were late, and targets held more than they could run.
func TestGatewaysWithoutBrokerKeepToTheirPart(t *testing.T) {
	for _, limited := range []bool{false, true} {
		for _, unbound := range []bool{true, false} {
			p := newDirectPlacer(t, unbound)
			r := &rush.Replay{Seed: 1, Hot: 1, Factor: 8, Limited: limited, From: 9 * time.Second, To: 15 * time.Second, Length: 15 * time.Second}
			r.At = p.reports(25 * time.Second)
			r.Run(p)
			for _, c := range []struct {
				name string
				*rush.Result
			}{{"hot", &r.Hots}, {"others", &r.Others}} {
				t.Logf("limited %t, unbound %t, %s: %d callers: in time %d, returned in time %d, late %d, refused %d, over the rate %d; first event p50 %v p99 %v; most at a target %d",
					limited, unbound, c.name, c.Callers, c.InTime, c.Returned, c.Late, c.Refused, c.Limited, c.Quantile(0.5), c.Quantile(0.99), p.most)
			}
			if unbound {
				require.Greater(t, r.Others.Late, r.Others.Callers/2, "the load is too small to show the fault")
				continue
			}
			require.LessOrEqual(t, p.most, 3*rush.Slots)
			require.GreaterOrEqual(t, r.Others.InTime+r.Others.Returned, (r.Others.Callers-r.Others.Limited)*8/10)
			require.LessOrEqual(t, r.Others.Refused, (r.Others.Callers-r.Others.Limited)*3/100)
			require.Greater(t, r.Others.InTime*r.Hots.Callers, r.Hots.InTime*r.Others.Callers)
		}
	}
}

// With room to spare, and at services that are not model engines, requests must go to
// the same targets as before, and the latter's queue has no bound.
func TestPlacementWithoutBrokerIsUnchangedWithRoomToSpare(t *testing.T) {
	p := newDirectPlacer(t, false)
	g, same := p.gateways[0], newDirectPlacer(t, true).gateways[0]
	request := &rpc.SlotRequest{Workspace: "w0", RemainingMS: 5000}
	room := g.follower.Targets.Room(rush.Start, placement.Query{Service: "llm"})
	for i := range room.Slots / busyDivisor {
		q := placement.Query{Service: "llm"}
		acquired, failure := g.acquireDirectly(rush.Start, request, q)
		require.Nil(t, failure)
		expected, _ := same.follower.Targets.Acquire(rush.Start, q)
		require.Equal(t, expected.ID, acquired.target.ID, i)
	}
	for range 100 {
		_, failure := g.acquireDirectly(rush.Start, request, placement.Query{Service: "plain"})
		require.Nil(t, failure)
	}
	_, failure := g.acquireDirectly(rush.Start, request, placement.Query{Service: "none"})
	require.Equal(t, outcome.NoTarget, failure.Code)
}

// One workspace cannot use up a gateway's part: others get places beside it, and a slot
// that is released can be acquired again.
func TestGatewayPartIsBoundedAndReleased(t *testing.T) {
	p := newDirectPlacer(t, false)
	g := p.gateways[0]
	targets := g.follower.Targets
	full := make(map[string]placement.Load)
	for i := rush.Targets / 5; i < rush.Targets; i++ {
		full[fmt.Sprint(i)] = placement.Load{Online: rush.Slots - 1}
	}
	targets.SetPeerLoads(full, rushGateways+1)
	acquire := func(workspace string) (*slot, *outcome.Error) {
		return g.acquireDirectly(rush.Start, &rpc.SlotRequest{Workspace: workspace, RemainingMS: 5000}, placement.Query{Service: "llm"})
	}
	first, failure := acquire("w60")
	require.Nil(t, failure)
	held := []*slot{first}
	for failure == nil {
		var one *slot
		if one, failure = acquire("w0"); one != nil {
			held = append(held, one)
		}
	}
	require.Equal(t, outcome.BeyondShare, failure.Code)
	require.Positive(t, failure.RetryAfter)
	require.LessOrEqual(t, len(held), (rush.Slots+placement.EngineQueue)*rush.Targets/rushGateways)
	g.release(held[1], false)
	small, failure := acquire("w60")
	require.Nil(t, failure)
	for _, used := range append(held[2:], held[0], small) {
		g.release(used, false)
	}
	_, failure = acquire("w0")
	require.Nil(t, failure)
}

// The broker needs what a request may claim: the priority of its workspace or else of
// its route, and how long its first byte is in time.
func TestSlotRequestNamesPriorityAndObjective(t *testing.T) {
	c := &call{started: rush.Start, route: &routing.Route{Priority: 2, Objective: 300 * time.Millisecond}}
	require.Equal(t, 2, c.priority())
	c.workspace = &routing.Workspace{Name: "w"}
	require.Equal(t, 2, c.priority())
	c.workspace.Priority = 1
	require.Equal(t, 1, c.priority())
	require.Equal(t, int64(200), c.objectiveMS(rush.Start.Add(100*time.Millisecond)))
	require.Equal(t, int64(-1), c.objectiveMS(rush.Start.Add(300*time.Millisecond)))
	c.route.Objective = 0
	require.Zero(t, c.objectiveMS(rush.Start))
}
