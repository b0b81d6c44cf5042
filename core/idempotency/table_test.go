package idempotency

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
)

const leaseMS = 1_000

// TestMain sets a fixed seed for the property tests; BANYAN_TEST_SEED overrides
// it.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("BANYAN_TEST_SEED")
	if seed == "" {
		seed = "407"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var key = Key{Workspace: "lab", Name: "evening"}

func begin(claimID string, digest byte, idempotent bool) *Command {
	return &Command{Begin: &Begin{Key: key, Digest: batch.Digest{digest}, ClaimID: claimID, Idempotent: idempotent, LeaseMS: leaseMS}}
}

func end(claimID string) *Command {
	return &Command{End: &End{Key: key, ClaimID: claimID, Response: batch.Ref{Digest: batch.Digest{9}, Length: 9}}}
}

func TestRecordLifecycle(t *testing.T) {
	tbl := New()
	require.Equal(t, Claimed, tbl.Apply(1, begin("g1", 1, true)).Status)
	require.Equal(t, Claimed, tbl.Apply(2, begin("g1", 1, true)).Status, "a resent Begin")
	pending := tbl.Apply(502, begin("g2", 1, true))
	require.Equal(t, Result{Status: Pending, RemainingMS: 500}, pending)
	require.Equal(t, Mismatch, tbl.Apply(503, begin("g2", 2, true)).Status)
	require.Nil(t, tbl.Apply(504, end("g1")).Err)
	require.Nil(t, tbl.Apply(505, end("g1")).Err, "a resent End")
	require.Equal(t, Done, tbl.Apply(506, begin("g2", 1, true)).Status)
	require.Equal(t, Mismatch, tbl.Apply(507, begin("g2", 2, true)).Status)
	tbl.Apply(504+RetentionMS+leaseMS, &Command{})
	require.Zero(t, tbl.Len())
}

func TestTakeoverOnlyOfIdempotentRequests(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		tbl := New()
		tbl.Apply(1, begin("g1", 1, idempotent))
		after := tbl.Apply(1+leaseMS, begin("g2", 1, idempotent)).Status
		late := tbl.Apply(2+leaseMS, end("g1")).Err
		if idempotent {
			require.Equal(t, Claimed, after)
			require.Equal(t, outcome.ItemSuperseded, late.Code)
			continue
		}
		require.Equal(t, Lost, after)
		require.Nil(t, late, "no other claim: the late response is stored")
		require.Equal(t, Done, tbl.Apply(3+leaseMS, begin("g2", 1, false)).Status)
	}
}

func TestAbandonReleasesKey(t *testing.T) {
	tbl := New()
	tbl.Apply(1, begin("g1", 1, false))
	tbl.Apply(2, &Command{Abandon: &Abandon{Key: key, ClaimID: "g2"}})
	require.Equal(t, Pending, tbl.Apply(3, begin("g2", 1, false)).Status)
	tbl.Apply(4, &Command{Abandon: &Abandon{Key: key, ClaimID: "g1"}})
	require.Equal(t, Claimed, tbl.Apply(5, begin("g2", 1, false)).Status)
}

// TestOneClaimAtATime applies random commands: a claim succeeds only while no other
// claim is in force, a completed record stays completed, and the claim of a
// request that is not idempotent is never replaced.
func TestOneClaimAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tbl := New()
		idempotent := rapid.Bool().Draw(t, "idempotent")
		holder, leaseEnd, done := "", int64(0), false
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 700).Draw(t, "ms")
			claimID := fmt.Sprintf("g%d", rapid.IntRange(1, 3).Draw(t, "owner"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if tbl.Apply(now, end(claimID)).Err == nil {
					require.Equal(t, holder, claimID)
					done = true
				}
			case 1:
				tbl.Apply(now, &Command{Abandon: &Abandon{Key: key, ClaimID: claimID}})
				if claimID == holder && !done {
					holder = ""
				}
			case 2:
				restored := New()
				restored.Restore(tbl.State())
				require.Equal(t, tbl.State(), restored.State())
				tbl = restored
			default:
				r := tbl.Apply(now, begin(claimID, 1, idempotent))
				require.Equal(t, done, r.Status == Done)
				if r.Status == Claimed {
					require.True(t, holder == "" || holder == claimID || (idempotent && now >= leaseEnd))
					holder, leaseEnd = claimID, now+leaseMS
				}
			}
		}
	})
}
