package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// fleet simulates gateways that share one workspace's limit, and a broker that they ask
// when their own part is spent. Every 200 ms, each learns from each of two control hosts
// what the others had spent 200 ms before. A gateway that is cut off from control cannot
// ask either.
type fleet struct {
	bounds         *Bounds // nil: buckets without bounds
	gateways       int
	rate           Rate
	halvedAt       int // ms; 0: never
	demand         func(ms int) float64
	pick           func(r *rand.Rand, ms int) int // gateway of a request
	conform        bool                           // only requests within rate and burst are sent
	floodFrom      int                            // ms from which on all requests are sent, and none counts as offered; 0: never
	duration       int                            // ms
	frozen         map[int][2]int                 // from and until, ms, by gateway
	silent         map[int][2]int
	startedAt      map[int]int
	controlLost    [2]int // of the control host that reports the number of gateways
	noBroker       bool
	brokerReplaced [2]int         // from and until, ms, in which no broker grants; then a second one does
	cannotAsk      map[int][2]int // from and until, ms, by gateway: hears control, but not the broker
	asked          int
	lostReports    float64
	seed           uint64
	offered        int
	refused        int
	refusedAtStart int // of the whole fleet
	admittedAtMS   []int
	returnTimes    map[time.Duration]int
}

// bucketSpent is Spent of one workspace.
func (b *Buckets) bucketSpent(workspace string) uint64 {
	if b.bounded == nil {
		return b.Spent()[workspace]
	}
	if held := b.bounded.buckets[workspace]; held != nil {
		return held.spent
	}
	return 0
}

func within(ms int, span [2]int) bool { return ms >= span[0] && ms < span[1] }

func (f *fleet) rateAt(ms int) Rate {
	if f.halvedAt > 0 && ms >= f.halvedAt {
		return Rate{PerSecond: f.rate.PerSecond / 2, Burst: f.rate.Burst / 2}
	}
	return f.rate
}

func (f *fleet) connected(g, ms int) bool {
	span, isSilent := f.silent[g]
	return f.runs(g, ms) && (!isSilent || !within(ms, span))
}

func (f *fleet) runs(g, ms int) bool {
	span, isFrozen := f.frozen[g]
	return ms >= f.startedAt[g] && (!isFrozen || !within(ms, span))
}

func (f *fleet) run() {
	r := rand.New(rand.NewPCG(f.seed, 1))
	all := make([]*Buckets, f.gateways+2)  // the last two are storage hosts, of which one is the broker
	reported := make([][]uint64, len(all)) // by process and 10 ms: total that control hosts know
	heardAt := make([][]int, len(all))     // by process and 10 ms
	var totals []uint64                    // of reported, by 10 ms
	var live []int                         // gateways heard of within 0.8 s, by 10 ms
	var dueAt [200][]int                   // processes by the ms in which they get a report
	for g := range all {
		at := (200 - r.IntN(200)) % 200
		dueAt[at] = append(dueAt[at], g)
	}
	brokers, list := all[f.gateways:], &Brokers{}
	f.returnTimes = make(map[time.Duration]int)
	var debts []map[string]float64 // of the first gateway, every 100 ms
	oracle, owed := f.rate.Burst, 0.0
	for ms := range f.duration {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		rate := f.rateAt(ms)
		if ms%10 == 0 {
			for g := range all {
				if all[g] == nil && f.runs(g, ms) {
					all[g] = f.start(r, now, g, rate)
				}
				known, heard := uint64(0), -1
				if ms > 0 {
					known, heard = reported[g][ms/10-1], heardAt[g][ms/10-1]
				}
				if f.connected(g, ms) {
					known, heard = all[g].bucketSpent("w"), ms
				}
				reported[g], heardAt[g] = append(reported[g], known), append(heardAt[g], heard)
			}
			total, count := sumReports(reported, heardAt, ms, f.gateways)
			totals, live = append(totals, total), append(live, count)
		}
		if ms%100 == 0 {
			debts = append(debts, all[0].Debts(now))
		}
		for _, g := range dueAt[ms%200] {
			if !f.connected(g, ms) {
				continue
			}
			if ms >= 400 {
				all[g].ApplyInitialDebts(debts[(ms-400)/100])
			}
			f.report(r, all[g], g, ms, &history{reported, heardAt, totals, live})
		}
		f.moveBroker(now, ms, list, brokers)
		count := 0
		oracle = min(rate.Burst, oracle+rate.PerSecond/1000)
		for owed += f.demand(ms) / 1000 * 2 * r.Float64(); owed >= 1; owed-- {
			g := f.pick(r, ms)
			flooded := f.floodFrom > 0 && ms >= f.floodFrom
			if !f.runs(g, ms) || f.conform && !flooded && oracle < 1 {
				continue
			}
			oracle--
			wait, ok := all[g].Take(now, "w", rate)
			if !ok {
				wait, ok = f.ask(now, ms, g, all[g], list, brokers, rate, wait)
			}
			if !flooded {
				f.offered++
			}
			if !ok && !flooded {
				f.refused++
				if ms < 2000 {
					f.refusedAtStart++
				}
				f.returnTimes[wait]++
			}
			if ok {
				count++
			}
		}
		f.admittedAtMS = append(f.admittedAtMS, count)
	}
}

// start starts a gateway or a storage host.
func (f *fleet) start(r *rand.Rand, now time.Time, g int, rate Rate) *Buckets {
	b := New()
	if f.bounds != nil {
		b.SetBounds(now, *f.bounds, r.Uint64())
		b.SetRates(now, map[string]Rate{"w": rate})
		b.SetBrokered(!f.noBroker && g < f.gateways)
	}
	return b
}

// moveBroker makes the storage hosts the broker and its deputy at the start. While the
// broker is replaced, only the deputy is left, which is then the broker.
func (f *fleet) moveBroker(now time.Time, ms int, list *Brokers, hosts []*Buckets) {
	switch {
	case f.noBroker || f.bounds == nil:
	case ms == 0:
		hosts[0].BecomeBroker()
		hosts[1].BecomeBroker()
		list.Set(now, []uint64{1, 2})
	case ms == f.brokerReplaced[1]:
		_, deputy := list.Of("w")
		list.Set(now, []uint64{deputy})
	}
}

// ask asks the broker, or else its deputy, for a token that a gateway does not have.
func (f *fleet) ask(now time.Time, ms, g int, gateway *Buckets, list *Brokers, hosts []*Buckets, rate Rate, wait time.Duration) (time.Duration, bool) {
	if f.bounds == nil || !gateway.MayAsk(now, "w") || !f.connected(g, ms) || within(ms, f.cannotAsk[g]) {
		return wait, false
	}
	broker, deputy := list.Of("w")
	id := broker
	if within(ms, f.brokerReplaced) {
		id = deputy
	}
	part := list.Part(now, id, "w")
	if part == 0 || !hosts[id-1].Grants(now) {
		return wait, false
	}
	f.asked++
	wait, ok := hosts[id-1].Grant(now, "w", rate, part)
	if ok {
		gateway.Granted("w")
	} else {
		gateway.Refused(now, "w", wait)
	}
	return wait, ok
}

// history is what control hosts have learned of the gateways.
type history struct {
	reported [][]uint64
	heardAt  [][]int
	totals   []uint64
	live     []int
}

// sumReports returns the sum of the newest reports and the number of gateways that were
// heard of lately.
func sumReports(reported [][]uint64, heardAt [][]int, ms, gateways int) (total uint64, live int) {
	for g := range reported {
		at := heardAt[g][len(heardAt[g])-1]
		total += reported[g][len(reported[g])-1]
		if g < gateways && at >= 0 && at >= ms-800 {
			live++
		}
	}
	return total, live
}

// report tells one gateway what the control hosts knew 200 ms ago.
func (f *fleet) report(r *rand.Rand, to *Buckets, g, ms int, known *history) {
	at := ms - 200
	if at < 0 || r.Float64() < f.lostReports {
		return
	}
	tick := at / 10
	total, live := known.totals[tick]-known.reported[g][tick], known.live[tick]
	if own := known.heardAt[g][tick]; g < f.gateways && (own < 0 || own < tick*10-800) {
		live++
	}
	now := start.Add(time.Duration(ms) * time.Millisecond)
	firstUp := !within(ms, f.controlLost)
	if f.bounds == nil {
		to.ApplyReport("first", map[string]uint64{"w": total})
		return
	}
	secondIsPrimary := ms >= f.controlLost[0]+800 && f.controlLost[1] > 0
	if firstUp {
		to.ApplyPeers(now, PeerReport{Source: "first", Spent: map[string]uint64{"w": total}, Primary: !secondIsPrimary, Live: live})
	}
	to.ApplyPeers(now, PeerReport{Source: "second", Spent: map[string]uint64{"w": total + 77}, Primary: secondIsPrimary, Live: live})
}

// excess returns by how much the requests of the worst window exceed its bound.
func (f *fleet) excess() (excess float64, worst int) {
	window := int(testBounds.Window.Milliseconds())
	excess = math.Inf(-1)
	sum := 0
	for ms, count := range f.admittedAtMS {
		sum += count
		if ms >= window {
			sum -= f.admittedAtMS[ms-window]
		}
		rate := f.rateAt(max(0, ms-window))
		if over := float64(sum) - (rate.PerSecond*5+rate.Burst)*1.1 - 20; over > excess {
			excess, worst = over, sum
		}
	}
	return excess, worst
}

func evenly(gateways int) func(*rand.Rand, int) int {
	return func(r *rand.Rand, _ int) int { return r.IntN(gateways) }
}

// hot is a load of 0.6 times the limit that rises to 6.7 times for 5 s.
func hot(rate float64) func(int) float64 {
	return func(ms int) float64 {
		if within(ms, [2]int{6000, 11_000}) {
			return 6.7 * rate
		}
		return 0.6 * rate
	}
}

// flood is a load that rises to 100 times the limit and at least 1000 a second.
func flood(rate float64) func(int) float64 {
	return func(ms int) float64 {
		if within(ms, [2]int{6000, 8000}) {
			return max(1000, 100*rate)
		}
		return 0.2 * rate
	}
}

func hotFleet(seed uint64) *fleet {
	return &fleet{bounds: &testBounds, gateways: 21, rate: Rate{PerSecond: 185, Burst: 185}, demand: hot(185), pick: evenly(21), duration: 15_000, seed: seed}
}

// All gateways together exceed neither rate nor burst by more than the bounds, in any
// window, though they learn of each other's spending 200 to 400 ms late. Guards against
// overspending by what arrives in that time.
func TestGatewaysTogetherStayWithinBounds(t *testing.T) {
	for name, change := range map[string]func(*fleet){
		"hot workspace":       func(*fleet) {},
		"one gateway":         oneGateway,
		"callers move":        func(f *fleet) { f.pick = func(_ *rand.Rand, ms int) int { return ms / 700 % 21 } },
		"one hot at a time":   func(f *fleet) { f.pick = func(r *rand.Rand, ms int) int { return (ms/300 + r.IntN(3)) % 21 } },
		"one frozen":          func(f *fleet) { f.frozen = map[int][2]int{4: {7000, 9000}} },
		"all frozen":          func(f *fleet) { f.frozen = spans(0, 21, 6500, 8500) },
		"two silent":          func(f *fleet) { f.silent = spans(5, 7, 5000, 10_000) },
		"half silent":         func(f *fleet) { f.silent = spans(0, 10, 5000, 10_000) },
		"half flap":           func(f *fleet) { f.silent = spans(0, 10, 6500, 7300) },
		"no control":          func(f *fleet) { f.silent = spans(0, 21, 5000, 12_000) },
		"control in the peak": func(f *fleet) { f.silent = spans(0, 21, 3000, 8000) },
		"control replaced":    func(f *fleet) { f.controlLost = [2]int{6500, 9000} },
		"broker replaced":     func(f *fleet) { f.brokerReplaced = [2]int{6500, 8000} },
		"some cannot ask":     func(f *fleet) { f.cannotAsk = spans(0, 10, 5000, 9000) },
		"all silent":          func(f *fleet) { f.silent = spans(0, 23, 5000, 12_000) },
		"gateways start":      func(f *fleet) { f.startedAt = map[int]int{1: 6500, 2: 7000, 3: 7500} },
		"rate halved":         func(f *fleet) { f.halvedAt = 8000 },
		"lost reports":        func(f *fleet) { f.lostReports = 0.2 },
		"small workspace":     func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 2, Burst: 2}, hot(2) },
		"small burst":         func(f *fleet) { f.rate.Burst = 5 },
		"large burst":         func(f *fleet) { f.rate.Burst = 600 },
		"middle":              func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 20, Burst: 20}, hot(20) },
		"10 a second":         func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 10, Burst: 10}, hot(10) },
		"5 a second":          func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 5, Burst: 5}, hot(5) },
		"flood, 185 a second": func(f *fleet) { f.demand = flood(185) },
		"flood, 50 a second":  func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 50, Burst: 50}, flood(50) },
		"flood, 20 a second":  func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 20, Burst: 20}, flood(20) },
		"flood, 10 a second":  func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 10, Burst: 10}, flood(10) },
		"flood, 5 a second":   func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 5, Burst: 5}, flood(5) },
		"flood, 2 a second":   func(f *fleet) { f.rate, f.demand = Rate{PerSecond: 2, Burst: 2}, flood(2) },
		"everything": func(f *fleet) {
			f.frozen, f.silent, f.halvedAt, f.lostReports = map[int][2]int{4: {7000, 9000}}, spans(5, 7, 5000, 10_000), 8000, 0.05
		},
	} {
		for _, noBroker := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, no broker %t", name, noBroker), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					f := hotFleet(seed)
					f.noBroker = noBroker
					change(f)
					f.run()
					excess, worst := f.excess()
					t.Logf("seed %d: worst window %d, over its bound by %.0f; refused %d of %d", seed, worst, excess, f.refused, f.offered)
					assert.LessOrEqual(t, excess, 0.0)
				}
			})
		}
	}
}

func spans(from, to, since, until int) map[int][2]int {
	all := make(map[int][2]int)
	for g := from; g < to; g++ {
		all[g] = [2]int{since, until}
	}
	return all
}

// Requests within rate and burst are next to never refused. Guards against parts of the
// limit that are too small where the callers are.
func TestCallersWithinLimitAreServed(t *testing.T) {
	requireServed(t, loadsWithinLimit(), false)
}

// As TestCallersWithinLimitAreServed, for a fleet that has lost its brokers for long.
func TestCallersWithinLimitAreServedWithoutBrokers(t *testing.T) {
	requireServed(t, loadsWithinLimit(), true)
}

func loadsWithinLimit() map[string]withinLimit {
	return map[string]withinLimit{
		"small, spread":           {Rate{2, 2}, 0.8, nil},
		"small, one gateway":      {Rate{2, 2}, 0.8, oneGateway},
		"10 a second, half load":  {Rate{10, 10}, 0.5, nil},
		"20 a second, one":        {Rate{20, 20}, 0.9, oneGateway},
		"50 a second, near limit": {Rate{50, 50}, 0.9, nil},
		"large, near limit":       {Rate{185, 185}, 0.9, nil},
		"large, one gateway":      {Rate{185, 185}, 0.9, oneGateway},
		"large, two silent":       {Rate{185, 185}, 0.8, func(f *fleet) { f.silent = spans(5, 7, 5000, 20_000) }},
		"large, control changes":  {Rate{185, 185}, 0.8, func(f *fleet) { f.controlLost = [2]int{6500, 9000} }},
		"gateway starts":          {Rate{20, 20}, 0.5, func(f *fleet) { f.startedAt = map[int]int{3: 8000} }},
	}
}

// Guards against refusing callers of small workspaces whose load comes near the limit:
// a gateway then has a part of less than one token.
func TestCallersOfSmallWorkspacesNearLimitAreServed(t *testing.T) {
	requireServed(t, map[string]withinLimit{
		"5 a second, half load":   {Rate{5, 5}, 0.5, nil},
		"5 a second, near limit":  {Rate{5, 5}, 0.9, nil},
		"10 a second, near limit": {Rate{10, 10}, 0.9, nil},
		"20 a second, near limit": {Rate{20, 20}, 0.9, nil},
		"steps of load":           {Rate{20, 20}, 0, func(f *fleet) { f.demand = steps(20) }},
	}, false)
}

// Guards against refusing, or telling too late a time to return, a caller of a workspace
// that has tokens left, for which its gateway only has spent its part.
func TestPartOfGatewayIsFreeInTime(t *testing.T) {
	b := New()
	b.SetBounds(start, testBounds, 1)
	rate := Rate{PerSecond: 5, Burst: 5}
	now := start
	report := func() { b.ApplyPeers(now, PeerReport{Source: "c", Primary: true, Live: 21}) }
	b.SetRates(now, map[string]Rate{"w": rate})
	report()
	taken := 0
	for {
		if _, ok := b.Take(now, "w", rate); !ok {
			break
		}
		taken++
	}
	require.Positive(t, taken)
	require.Less(t, taken, 5, "the part, not the level")
	wait, partOnly := b.FreesIn(now, "w")
	require.True(t, partOnly)
	assert.LessOrEqual(t, wait, ownWindow)
	now = now.Add(wait)
	report()
	_, ok := b.Take(now, "w", rate)
	assert.True(t, ok)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		b.ApplyPeers(now, PeerReport{Source: "c", Primary: true, Live: 21, Spent: map[string]uint64{"w": 1000}})
		b.Take(now, "w", rate)
	}
	_, partOnly = b.FreesIn(now, "w")
	assert.False(t, partOnly, "the workspace is over its limit")
}

// withinLimit is a load that stays within the limit of a workspace.
type withinLimit struct {
	rate   Rate
	demand float64      // of the rate
	change func(*fleet) // nil: none
}

// mostRefused is the largest share of requests within the limit that may be refused.
const mostRefused = 0.01

func requireServed(t *testing.T, loads map[string]withinLimit, noBroker bool) {
	for name, test := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refused, offered, atStart := 0, 0, 0
			for seed := range uint64(4) {
				f := &fleet{bounds: &testBounds, gateways: 21, rate: test.rate, pick: evenly(21), conform: true, duration: 30_000, seed: seed, noBroker: noBroker,
					demand: func(int) float64 { return test.demand * test.rate.PerSecond }}
				if test.change != nil {
					test.change(f)
				}
				f.run()
				refused, offered, atStart = refused+f.refused-f.refusedAtStart, offered+f.offered, atStart+f.refusedAtStart
			}
			t.Logf("refused %d of %d, and %d in the first 2 s of the fleet", refused, offered, atStart)
			assert.LessOrEqual(t, float64(refused), mostRefused*float64(offered))
		})
	}
}

func oneGateway(f *fleet) { f.pick = func(*rand.Rand, int) int { return 3 } }

// steps is a load of 0.4 to 1.8 times half the rate.
func steps(rate float64) func(int) float64 {
	return func(ms int) float64 {
		if ms/3300%2 == 0 {
			return 0.2 * rate
		}
		return 0.9 * rate
	}
}

// Refused callers are told to return at the rate, not all at once.
func TestReturnTimesAreSpread(t *testing.T) {
	f := hotFleet(1)
	f.run()
	assert.Greater(t, len(f.returnTimes), 500)
	for wait, callers := range f.returnTimes {
		assert.Positive(t, wait)
		assert.LessOrEqual(t, wait, maxReturnWait)
		assert.Less(t, callers, f.refused/50, wait)
	}
}

// As TestGatewaysTogetherStayWithinBounds, with any number of gateways, some of which
// callers use, and with rates, frozen and silent gateways drawn at random.
func TestBoundsWithAnyGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := hotFleet(rapid.Uint64().Draw(t, "seed"))
		f.gateways = rapid.IntRange(1, 40).Draw(t, "gateways")
		f.rate.PerSecond = rapid.Float64Range(1, 300).Draw(t, "rate")
		f.rate.Burst = max(1, f.rate.PerSecond*rapid.Float64Range(0.1, 2).Draw(t, "burst"))
		f.demand = hot(f.rate.PerSecond)
		users := rapid.IntRange(1, f.gateways).Draw(t, "users")
		f.pick = evenly(users)
		from := rapid.IntRange(5000, 9000).Draw(t, "from")
		until := from + rapid.IntRange(100, 4000).Draw(t, "for")
		f.frozen = spans(0, rapid.IntRange(0, 1).Draw(t, "frozen"), from, until)
		f.noBroker = rapid.Bool().Draw(t, "no broker")
		f.silent = spans(1, 1+rapid.IntRange(0, f.gateways/5).Draw(t, "silent"), from, until)
		f.run()
		excess, worst := f.excess()
		require.LessOrEqual(t, excess, 0.0, fmt.Sprint("worst window ", worst))
	})
}
