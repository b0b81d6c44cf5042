package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/outcome"
)

func anyRequest(t *rapid.T) Request {
	return Request{
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Crashed:     rapid.IntRange(0, 3).Draw(t, "crashed"),
		MayHaveRun:  rapid.IntRange(0, 4).Draw(t, "mayHaveRun"),
		MaxAttempts: rapid.IntRange(1, 4).Draw(t, "maxAttempts"),
		TimeLeft:    time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond,
		TargetsLeft: rapid.IntRange(0, 2).Draw(t, "targets"),
	}
}

func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := anyRequest(t)
		entry := rapid.SampledFrom(outcome.Entries()).Draw(t, "code")
		o := rapid.SampledFrom([]outcome.Outcome{outcome.NotRun, outcome.MayHaveRun, outcome.Ran}).Draw(t, "outcome")
		decision := Decide(r, outcome.New(entry.Code, o, "x"))
		if o != outcome.NotRun && !r.Idempotent {
			require.Equal(t, GiveUp, decision, "not idempotent: at most once")
		}
		if o != outcome.NotRun {
			require.NotEqual(t, Unbudgeted, decision, "an attempt that may have run is retried only within the budget")
		}
		if r.Crashed >= maxCrashes || r.TimeLeft < MinAttemptTime || r.TargetsLeft == 0 || entry.HTTP < 500 {
			require.Equal(t, GiveUp, decision)
		}
	})
	left := Request{TimeLeft: time.Second, TargetsLeft: 1, MaxAttempts: 3}
	require.Equal(t, Unbudgeted, Decide(left, outcome.New(outcome.TargetBusy, outcome.NotRun, "x")))
	left.Idempotent = true
	require.Equal(t, WithinBudget, Decide(left, outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "x")))
}

func TestBudgetIsAShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest(0.1)
				requests++
			} else if b.TryRetry() {
				retries++
			}
		}
		require.LessOrEqual(t, retries, budgetReserve+requests/10+1)
	})
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			budget.AddRequest(0.1)
		}
	})
}
