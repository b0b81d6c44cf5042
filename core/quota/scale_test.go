package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	conformFor = 30_000 // ms in which requests keep to rate and burst
	floodFor   = 4000   // ms after that
)

// scaleCase is what happens to a fleet while a workspace's callers keep to its limit.
type scaleCase struct {
	name   string
	change func(f *fleet)
}

// faulty returns how many gateways of a fleet a fault concerns.
func faulty(gateways int) int { return (gateways + 49) / 50 }

func scaleCases() []scaleCase {
	return []scaleCase{
		{"spread", func(*fleet) {}},
		{"at one gateway", func(f *fleet) { f.pick = func(*rand.Rand, int) int { return f.gateways / 2 } }},
		{"at three gateways", func(f *fleet) { f.pick = func(r *rand.Rand, _ int) int { return r.IntN(min(3, f.gateways)) } }},
		{"some frozen", func(f *fleet) { f.frozen = spans(0, faulty(f.gateways), 8000, 13_000) }},
		{"some cut off", func(f *fleet) { f.silent = spans(0, faulty(f.gateways), 8000, 13_000) }},
		{"broker replaced", func(f *fleet) { f.brokerReplaced = [2]int{8000, 10_000} }},
		{"some new", func(f *fleet) {
			f.startedAt = make(map[int]int)
			for g := range faulty(f.gateways) {
				f.startedAt[g+1] = 8000 + 500*g
			}
		}},
	}
}

// requireBothBounds checks with one load that gateways together neither refuse callers
// within their workspace's limit nor exceed the bound of the limit in a flood after it.
func requireBothBounds(t *testing.T, gateways int) {
	for _, perSecond := range []float64{1, 5, 20, 200} {
		for _, c := range scaleCases() {
			t.Run(fmt.Sprintf("%g a second, %s", perSecond, c.name), func(t *testing.T) {
				t.Parallel()
				refused, offered, asked := 0, 0, 0
				for seed := range uint64(seedsAt(perSecond)) {
					f := &fleet{bounds: &testBounds, gateways: gateways, rate: Rate{PerSecond: perSecond, Burst: perSecond}, pick: evenly(gateways),
						conform: true, floodFrom: conformFor, duration: conformFor + floodFor, seed: seed,
						demand: func(ms int) float64 {
							if ms >= conformFor {
								return max(1000, 20*perSecond)
							}
							return 0.9 * perSecond
						}}
					c.change(f)
					f.run()
					refused, offered, asked = refused+f.refused-f.refusedAtStart, offered+f.offered, asked+f.asked
					excess, worst := f.excess()
					assert.LessOrEqual(t, excess, 0.0, "seed %d: worst window %d", seed, worst)
				}
				t.Logf("refused %d of %d, asked %d times", refused, offered, asked)
				assert.LessOrEqual(t, float64(refused), mostRefused*float64(offered))
			})
		}
	}
}

// seedsAt returns how many seeds give enough requests for a share of 1 in 100.
func seedsAt(perSecond float64) int { return max(1, int(6/perSecond)) }

// Each guards against refusing callers within their workspace's limit because the fleet
// has more gateways than the workspace has tokens, and against paying for that with the
// bound of the limit.
func TestBothBoundsAt2Gateways(t *testing.T)   { requireBothBounds(t, 2) }
func TestBothBoundsAt21Gateways(t *testing.T)  { requireBothBounds(t, 21) }
func TestBothBoundsAt89Gateways(t *testing.T)  { requireBothBounds(t, 89) }
func TestBothBoundsAt300Gateways(t *testing.T) { requireBothBounds(t, 300) }
