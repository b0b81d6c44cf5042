package site

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	soakFirstSeed = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeedCount = flag.Uint64("soak.seeds", 2, "number of seeds")
	soakLength    = flag.Duration("soak.length", 12*time.Second, "time of load and faults for each seed")
	soakParallel  = flag.Int("soak.parallel", 2, "number of parallel runs")
)

// failedSeeds lists the seeds that have failed before, each with its cause; they
// always run, as regression tests.
var failedSeeds = []uint64{}

// Random faults on hosts and connections violate no invariant. To run fifty seeds
// by hand:
//
//	go test ./tests/site -run TestSoak -timeout 60m -soak.first 1 -soak.seeds 50 -soak.parallel 3
func TestSoak(t *testing.T) {
	seeds := append([]uint64{}, failedSeeds...)
	for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeedCount; seed++ {
		seeds = append(seeds, seed)
	}
	networks := make(chan int, *soakParallel)
	for i := range *soakParallel {
		networks <- 100 + i // third part of the loopback addresses of a run
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			network := <-networks
			defer func() { networks <- network }()
			soak := NewSoak(binaries, t.TempDir(), network, seed)
			require.NoError(t, soak.Run(t.Context(), *soakLength))
			violations, faultLog, served := soak.Report()
			if !assert.Empty(t, violations) {
				t.Logf("faults: %v", faultLog)
			}
			assert.Positive(t, served)
			t.Logf("%d requests served, %d faults", served, len(faultLog))
		})
	}
}
