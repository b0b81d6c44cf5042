package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	at           time.Duration // offset from the start of the variant
	trafficIndex int           // index into Plan.Online
	nonce        uint64
}

// schedule draws all arrivals of a variant, in time order. It depends only on
// the plan and its seed, never on the system under test: the load is open-loop.
func schedule(p *Plan, v Variant) []arrival {
	var arrivals []arrival
	for i, o := range p.Online {
		if v.NoOnline || (v.NoNoisy && o.Noisy) {
			continue
		}
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		arrivals = append(arrivals, drawArrivals(o, i, p.Duration, rng)...)
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// drawArrivals draws the arrival times and nonces of one traffic source. The gaps
// are exponentially distributed, except for uniform arrivals; a burst counts as
// one arrival of BurstSize requests.
func drawArrivals(o OnlineTraffic, trafficIndex int, duration time.Duration, rng *rand.Rand) []arrival {
	var arrivals []arrival
	groupsPerSecond := o.Rate
	groupSize := 1
	if o.Arrivals == Bursts {
		groupSize = o.BurstSize
		groupsPerSecond = o.Rate / float64(groupSize)
	}
	meanGap := float64(time.Second) / groupsPerSecond
	at := time.Duration(meanGap * rng.Float64())
	for at < duration {
		for range groupSize {
			arrivals = append(arrivals, arrival{at: at, trafficIndex: trafficIndex, nonce: rng.Uint64()})
		}
		gap := meanGap
		if o.Arrivals != Uniform {
			gap = meanGap * rng.ExpFloat64()
		}
		at += time.Duration(gap)
	}
	return arrivals
}
