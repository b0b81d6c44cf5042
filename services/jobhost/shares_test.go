package jobhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/fairshare"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/rush"
)

// brokerPlacer places the requests of a replay with a broker. Without names, no request
// names its workspace, which gives the placement without shares.
type brokerPlacer struct {
	t        *testing.T
	follower *follow.Follower
	broker   *broker
	sequence uint64
	unnamed  bool
	known    map[uint64]bool // requests that the current broker has granted
	former   map[string]int  // requests at each target that a former broker has granted
}

func targetName(i int) string { return fmt.Sprintf("t%02d", i) }

func newBrokerPlacer(t *testing.T, unnamed bool) *brokerPlacer {
	p := &brokerPlacer{t: t, unnamed: unnamed, former: make(map[string]int)}
	document := &routing.Document{Version: 1, Services: []routing.Service{{Name: "llm", Slots: rush.Slots}, {Name: "plain"}}}
	for w := range rush.Workspaces {
		document.Workspaces = append(document.Workspaces, routing.Workspace{Name: fmt.Sprint("w", w), RatePerSecond: rush.Rate(w) * rush.WeightFactor})
	}
	p.follower = follow.New(follow.Config{
		Member: rpc.Member{Name: "s1", Role: rpc.RoleStorage}, Log: telemetry.Discard(),
		Decode: func([]byte) (*routing.Document, error) { return document, nil },
	})
	p.follower.ApplyPush(rush.Start, "test", &rpc.FollowPush{Catalog: rpc.PackCatalog(&catalog.State{Revision: 1, Version: 1}, nil)})
	p.setTargets(0)
	p.newBroker()
	return p
}

// setTargets makes the first gone targets leave.
func (p *brokerPlacer) setTargets(gone int) {
	p.sequence++
	push := &rpc.FollowPush{}
	for i := range rush.Targets {
		report := roster.Report{ID: targetName(i), Incarnation: 1, Sequence: p.sequence, Service: "llm", Slots: rush.Slots, State: roster.Ready}
		if i < gone {
			report.State = roster.Draining
		}
		push.Targets = append(push.Targets, rpc.TargetReport{Report: report})
	}
	p.follower.ApplyPush(rush.Start, "test", push)
}

// stopBroker ends the broker. Its grants go on.
func (p *brokerPlacer) stopBroker() {
	for _, g := range p.broker.grants {
		p.former[g.target]++
	}
	p.broker.startTerm(0)
	p.known = nil
	p.publishFormer()
}

// newBroker starts a broker, which knows earlier grants as loads only.
func (p *brokerPlacer) newBroker() {
	s := New(Config{Name: "s1", Follower: p.follower, Log: telemetry.Discard(), Metrics: metrics.NewRegistry()})
	p.broker = newBroker(s, &runner{})
	p.broker.startTerm(1)
	p.known = make(map[uint64]bool)
}

func (p *brokerPlacer) publishFormer() {
	loads := make(map[string]placement.Load)
	for id, n := range p.former {
		loads[id] = placement.Load{Online: n}
	}
	p.follower.Targets.SetPeerLoads(loads, 24)
}

// placeWithoutBroker places a request as gateways do together while there is no broker.
func (p *brokerPlacer) placeWithoutBroker(now time.Time) (int, time.Duration) {
	target, _ := p.follower.Targets.Acquire(now, placement.Query{Service: "llm", MaxQueue: placement.EngineQueue})
	if target == nil {
		return -1, 300 * time.Millisecond
	}
	p.follower.Targets.Release(target.ID, false)
	p.former[target.ID]++
	p.publishFormer()
	return p.index(target.ID), 0
}

func (p *brokerPlacer) index(id string) int {
	var i int
	_, err := fmt.Sscanf(id, "t%02d", &i)
	require.NoError(p.t, err)
	return i
}

func (p *brokerPlacer) Place(now time.Time, r rush.Request) (int, time.Duration) {
	if p.broker.id.Load() == 0 {
		return p.placeWithoutBroker(now)
	}
	request := &rpc.SlotRequest{ID: rpc.SlotID{Incarnation: 1, Number: r.Number}, Service: "llm", RemainingMS: r.Remaining.Milliseconds(),
		IsRetry: r.IsRetry, ObjectiveMS: rush.FirstEvent.Milliseconds(), Priority: r.Priority, Workspace: fmt.Sprint("w", r.Workspace)}
	if p.unnamed {
		request.Workspace, request.Priority, request.ObjectiveMS = "", 0, 0
	}
	granted, err := p.broker.acquireAt(now, request)
	if err != nil {
		return -1, outcome.From(err).RetryAfter
	}
	p.known[r.Number] = true
	return p.index(granted.Target), 0
}

func (p *brokerPlacer) Release(now time.Time, r rush.Request, target int) {
	if !p.known[r.Number] {
		p.former[targetName(target)]--
		p.publishFormer()
		return
	}
	_, err := p.broker.releaseAt(now, &rpc.SlotRelease{IDs: []rpc.SlotID{{Incarnation: 1, Number: r.Number}}})
	require.NoError(p.t, err)
}

func logResult(t *testing.T, name string, r *rush.Result) {
	t.Logf("%-16s %5d callers: in time %5d, returned in time %4d, late %4d, refused %4d, over the rate %4d; first event p50 %v p99 %v", name, r.Callers,
		r.InTime, r.Returned, r.Late, r.Refused, r.Limited, r.Quantile(0.5), r.Quantile(0.99))
}

func rushOf(hot int, factor float64, limited bool) *rush.Replay {
	return &rush.Replay{Seed: 1, Hot: hot, Factor: factor, Limited: limited, From: 9 * time.Second, To: 15 * time.Second, Length: 15 * time.Second}
}

// loseTargets makes a fifth of the targets leave.
func (p *brokerPlacer) loseTargets() rush.Event {
	return rush.Event{At: 8 * time.Second, Do: func(time.Time) { p.setTargets(rush.Targets / 5) }}
}

// part returns a part of a workspace's callers.
func part(count int, r *rush.Result) float64 {
	return float64(count) / float64(max(1, r.Callers-r.Limited))
}

// Workspaces that send eight times their usual load while a fifth of the targets is
// gone delayed the first events of all others, or had them refused.
func TestHotWorkspacesDoNotCrowdOutOthers(t *testing.T) {
	for _, hot := range []int{1, 3} {
		for _, limited := range []bool{false, true} {
			for _, unnamed := range []bool{true, false} {
				p := newBrokerPlacer(t, unnamed)
				r := rushOf(hot, 8, limited)
				r.At = []rush.Event{p.loseTargets()}
				r.Run(p)
				name := fmt.Sprintf("%d hot, limited %t, shares %t, ", hot, limited, !unnamed)
				logResult(t, name+"hot:", &r.Hots)
				logResult(t, name+"others:", &r.Others)
				if unnamed {
					require.Less(t, part(r.Others.InTime, &r.Others), 0.95, "the load is too small to show the fault")
					continue
				}
				require.LessOrEqual(t, r.Others.Quantile(0.99), rush.FirstEvent)
				require.GreaterOrEqual(t, part(r.Others.InTime, &r.Others), 0.99)
				require.LessOrEqual(t, part(r.Others.Refused, &r.Others), 0.005)
				require.LessOrEqual(t, r.Hots.Quantile(0.99), rush.FirstEvent, "what is beyond the share is refused and does not wait")
				require.LessOrEqual(t, part(r.Hots.Late, &r.Hots), 0.01)
				require.NotZero(t, r.Hots.Returned)
			}
		}
	}
}

// While all workspaces send too much alike, shares must not serve fewer callers in time
// than first come, first served did, nor refuse in a peak that the short queue bears.
func TestSharesInUniformOverload(t *testing.T) {
	for _, base := range []float64{1, 1.3, 1.6, 2.5} {
		var sums [2]rush.Result
		for seed := range uint64(3) {
			for i := range sums {
				p := newBrokerPlacer(t, i == 0)
				r := rushOf(0, 1, false)
				r.Seed, r.Base = seed+1, base
				r.At = []rush.Event{p.loseTargets()}
				r.Run(p)
				sums[i].Add(&r.Others)
			}
		}
		before, after := &sums[0], &sums[1]
		logResult(t, fmt.Sprintf("load x %v, shares false", base), before)
		logResult(t, fmt.Sprintf("load x %v, shares true", base), after)
		require.LessOrEqual(t, after.Late, before.Late)
		switch {
		case base <= 1:
			require.Equal(t, before.InTime, after.InTime)
		case base <= 1.3:
			require.GreaterOrEqual(t, part(after.InTime, after), 0.998)
			require.LessOrEqual(t, part(after.Refused, after), 0.001)
		default:
			require.GreaterOrEqual(t, after.InTime, before.InTime)
		}
	}
}

// The broker is lost in the middle of the rush, and another one starts 400 ms later: it
// knows neither whose requests run nor what was asked before. After the slots that were
// taken meanwhile have been released, the others must be served as before the loss.
func TestNewBrokerSharesAtOnce(t *testing.T) {
	const startsAt = 11400 * time.Millisecond
	for _, unnamed := range []bool{true, false} {
		for _, counted := range []time.Duration{startsAt, startsAt + time.Second} {
			p := newBrokerPlacer(t, unnamed)
			r := rushOf(1, 8, false)
			r.Counted, r.To = counted, counted+time.Second
			r.At = []rush.Event{p.loseTargets(), {At: 11 * time.Second, Do: func(time.Time) { p.stopBroker() }},
				{At: startsAt, Do: func(time.Time) { p.newBroker() }}}
			r.Run(p)
			name := fmt.Sprintf("shares %t, from %v, ", !unnamed, counted-startsAt)
			logResult(t, name+"hot:", &r.Hots)
			logResult(t, name+"others:", &r.Others)
			switch {
			case unnamed:
				require.Less(t, part(r.Others.InTime, &r.Others), 0.5, "the load is too small to show the fault")
			case counted == startsAt:
				require.GreaterOrEqual(t, part(r.Others.InTime, &r.Others), 0.7)
				require.Greater(t, part(r.Others.InTime, &r.Others), 2*part(r.Hots.InTime, &r.Hots))
			default:
				require.GreaterOrEqual(t, part(r.Others.InTime, &r.Others), 0.99)
			}
			require.Empty(t, p.broker.grants, "all slots were released")
		}
	}
}

// With room to spare, naming the workspace must not change any placement.
func TestPlacementIsUnchangedWithRoomToSpare(t *testing.T) {
	type placed struct {
		number uint64
		target int
	}
	var runs [2][]placed
	for i := range runs {
		p := newBrokerPlacer(t, i == 0)
		r := rushOf(1, 1, false)
		r.Base = 0.9
		r.Run(placerFunc{p, func(number uint64, target int) { runs[i] = append(runs[i], placed{number, target}) }})
	}
	require.NotEmpty(t, runs[0])
	require.Equal(t, runs[0], runs[1])
}

type placerFunc struct {
	*brokerPlacer
	placed func(number uint64, target int)
}

func (p placerFunc) Place(now time.Time, r rush.Request) (int, time.Duration) {
	target, retryAfter := p.brokerPlacer.Place(now, r)
	p.placed(r.Number, target)
	return target, retryAfter
}

// Services without slots in the document are not shared, and their queue has no bound.
func TestPlainServicesAreNotShared(t *testing.T) {
	p := newBrokerPlacer(t, false)
	report := roster.Report{ID: "plain", Incarnation: 1, Sequence: 1, Service: "plain", Slots: 6, State: roster.Ready}
	p.follower.ApplyPush(rush.Start, "test", &rpc.FollowPush{Targets: []rpc.TargetReport{{Report: report}}})
	for n := range uint64(100) {
		_, err := p.broker.acquireAt(rush.Start, &rpc.SlotRequest{ID: rpc.SlotID{Number: n}, Service: "plain", Workspace: fmt.Sprint("w", n%2), RemainingMS: 1000})
		require.NoError(t, err)
	}
	require.Empty(t, p.broker.shares)
}

// Requests of lower priority give way within a workspace that sends too much.
func TestHigherPriorityFirstWithinWorkspace(t *testing.T) {
	p := newBrokerPlacer(t, false)
	r := rushOf(1, 8, false)
	r.At = []rush.Event{p.loseTargets()}
	r.Priority = func(number uint64) int { return int(number % 4 / 3) } // a quarter is of priority 1
	r.Run(p)
	first, second := r.Classes[0], r.Classes[1]
	logResult(t, "priority 0", first)
	logResult(t, "priority 1", second)
	require.Greater(t, part(first.InTime, first), part(second.InTime, second))
	require.NotZero(t, second.InTime, "a lower priority is not starved")
}

// What waits must be in time for its caller at the best target.
func TestQueueIsBoundedByWhatIsInTime(t *testing.T) {
	const hold = 600 * time.Millisecond // a slot of 8 is released every 75 ms
	for _, c := range []struct {
		objective, remaining int64
		most, expected       int
	}{
		{300, 5000, placement.EngineQueue, placement.EngineQueue}, {100, 5000, placement.EngineQueue, 1}, {50, 5000, placement.EngineQueue, placement.NoQueue},
		{0, 5000, placement.EngineQueueOnRetry, placement.EngineQueueOnRetry}, {-1, 400, placement.EngineQueueOnRetry, 5}, {300, 5000, placement.EngineQueueOnRetry, 4}, {300, 0, placement.EngineQueue, placement.NoQueue},
	} {
		require.Equal(t, c.expected, queueInTime(c.most, hold, 8, &rpc.SlotRequest{ObjectiveMS: c.objective, RemainingMS: c.remaining}), c)
	}
}

// The number of workspaces with metrics of their own is bounded.
func TestShareMetricsAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	m := newShareMeters(registry, telemetry.Discard())
	for i := range 3 * maxSharedNames {
		m.granted(fmt.Sprint("w", i), fairshare.Decision{Contended: true})
		m.refused(rush.Start, &rpc.SlotRequest{Workspace: fmt.Sprint("w", i)}, fairshare.Decision{}, 1, 1)
	}
	count := 0
	registry.Each(func(string, any) { count++ })
	require.LessOrEqual(t, count, 2*(maxSharedNames+1))
	require.LessOrEqual(t, len(m.refusals), maxSharedNames+1)
}
