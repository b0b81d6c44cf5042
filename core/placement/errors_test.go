package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/roster"
)

// errorReplay plays 200 requests a second for 6 s to ten targets. From 1 to 5 s, some
// answer a part of their requests with server errors at once; sound responses take
// 600 ms. It returns the requests in that time and the errors among them.
func errorReplay(broken int, part float64, learn bool) (requests, errors int) {
	type running struct {
		id    string
		ends  time.Time
		error bool
	}
	targets := New("a")
	var records []*roster.Record
	for n := range 10 {
		id := fmt.Sprint("t", n)
		records = append(records, &roster.Record{Report: roster.Report{ID: id, Incarnation: 1, Service: "llm", DataCentre: "a", Slots: 20, State: roster.Ready}})
	}
	targets.SetRecords(records)
	random := rand.New(rand.NewPCG(1, 2))
	var inFlight []running
	for at := time.Duration(0); at < 6*time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		rest := inFlight[:0]
		for _, r := range inFlight {
			if now.Before(r.ends) {
				rest = append(rest, r)
				continue
			}
			targets.Release(r.id, false)
			if learn {
				targets.Responded(now, r.id, r.error)
			}
		}
		inFlight = rest
		chosen, _ := targets.Acquire(now, Query{Service: "llm"})
		faulty := at >= time.Second && at < 5*time.Second
		failed := faulty && chosen.ID < fmt.Sprint("t", broken) && random.Float64() < part
		ends := now.Add(600 * time.Millisecond)
		if failed {
			ends = now.Add(20 * time.Millisecond)
		}
		inFlight = append(inFlight, running{id: chosen.ID, ends: ends, error: failed})
		if faulty {
			requests++
			if failed {
				errors++
			}
		}
	}
	return requests, errors
}

// Guards against a target that answers everything with server errors while its health
// checks are good: it is always the least used one and gets most requests.
func TestTargetThatAnswersWithErrorsIsAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		broken int
		part   float64
	}{"all requests of one": {1, 1}, "all requests of two": {2, 1}, "half of the requests of one": {1, 0.5}} {
		t.Run(name, func(t *testing.T) {
			requests, before := errorReplay(test.broken, test.part, false)
			_, after := errorReplay(test.broken, test.part, true)
			t.Logf("%d of %d requests got errors before, %d after", before, requests, after)
			assert.Less(t, after, requests/20)
			assert.Less(t, after, before/2)
		})
	}
}

// Guards against avoiding targets for requests that fail everywhere, and for single
// errors; and against avoiding one for ever.
func TestErrorsOfRequestsAvoidNoTarget(t *testing.T) {
	targets := newTargets("a", "b", "c")
	now := start
	for range 100 {
		for _, id := range []string{"a", "b", "c"} {
			assert.False(t, targets.Responded(now, id, true), "all targets answer with errors")
		}
		now = now.Add(10 * time.Millisecond)
	}
	targets = newTargets("a", "b", "c")
	for n := range 100 {
		assert.False(t, targets.Responded(now, "a", n%10 == 0), "one error in ten")
	}
	assert.False(t, targets.Responded(now, "b", true), "one error")
	assert.True(t, targets.Responded(now, "b", true), "two errors in a row")
	assert.True(t, targets.isEjected(now, "b"))
	assert.False(t, targets.isEjected(now.Add(initialBackoff), "b"))
	assert.True(t, targets.Responded(now.Add(initialBackoff), "b", true), "still broken")
	assert.True(t, targets.isEjected(now.Add(2*initialBackoff), "b"))
	for range 10 {
		targets.Responded(now.Add(3*initialBackoff), "b", false)
	}
	assert.False(t, targets.Responded(now.Add(3*initialBackoff), "b", true), "sound again, and one error")
	targets.SetRecords([]*roster.Record{{Report: roster.Report{ID: "b", Incarnation: 2, Service: "llm", State: roster.Ready}}})
	assert.Empty(t, targets.errors, "another process")
}
