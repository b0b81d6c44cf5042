package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func report(id string, incarnation int64, sequence uint64, state State) Report {
	return Report{ID: id, Incarnation: incarnation, Sequence: sequence, Service: "llm", Addr: "10.0.0.1:80", Slots: 8, State: state}
}

func TestOnlyNewerReportsCount(t *testing.T) {
	r := New()
	assert.Equal(t, Changed, r.Merge(start, report("a", 10, 2, Ready)))
	assert.Equal(t, Stale, r.Merge(start, report("a", 10, 2, Draining)), "the same report again")
	assert.Equal(t, Stale, r.Merge(start, report("a", 10, 1, Draining)), "a delayed report")
	assert.Equal(t, Renewed, r.Merge(start.Add(time.Second), report("a", 10, 3, Ready)))
	assert.Equal(t, Changed, r.Merge(start, report("a", 10, 4, Draining)))
	assert.Equal(t, Changed, r.Merge(start, report("a", 20, 1, Ready)), "sequence numbers restart with the process")
	assert.Equal(t, Stale, r.Merge(start, report("a", 10, 9, Ready)), "a report of the previous process")
	assert.Equal(t, int64(20), r.Get("a").Incarnation)
}

func TestGoneProcessDoesNotReturn(t *testing.T) {
	r := New()
	r.Merge(start, report("a", 10, 2, Ready))
	assert.Equal(t, Changed, r.Deregister(start, "a", 10))
	assert.Equal(t, Stale, r.Merge(start, report("a", 10, 3, Ready)), "a delayed heartbeat")
	assert.Equal(t, Stale, r.Deregister(start, "a", 10))
	assert.Equal(t, Changed, r.Deregister(start, "b", 0), "others may know the target and its process")
	assert.Equal(t, Changed, r.Deregister(start, "b", 10), "an unknown target is stored as gone")
	assert.Equal(t, Stale, r.Merge(start, report("b", 10, 4, Ready)))
	assert.Equal(t, Changed, r.Merge(start, report("a", 11, 1, Ready)))
	assert.Equal(t, Stale, r.Deregister(start, "a", 10), "the previous process deregisters")
}

func TestAddressBelongsToLatestProcess(t *testing.T) {
	r := New()
	r.Merge(start, report("old", 10, 5, Ready))
	assert.Equal(t, Changed, r.Merge(start, report("new", 20, 1, Ready)))
	assert.Nil(t, r.Get("old"))
	assert.Equal(t, Stale, r.Merge(start, report("old", 10, 6, Ready)), "delayed by a partition")
	assert.Nil(t, r.Get("old"))
	require.NotNil(t, r.Get("new"))
}

func TestColdTargets(t *testing.T) {
	r := New()
	cold := report("a", 10, 1, Ready)
	cold.ColdFor = 3 * time.Second
	r.Merge(start, cold)
	assert.Equal(t, start.Add(3*time.Second), r.Get("a").ColdUntil)
	assert.Equal(t, Changed, r.Merge(start, report("a", 10, 2, Ready)), "the target is warm")
	assert.True(t, r.Get("a").ColdUntil.IsZero())
}

func TestSilentTargetsExpire(t *testing.T) {
	r := New()
	r.Merge(start, report("a", 10, 1, Ready))
	assert.Empty(t, r.Expire(start))
	expired := r.Expire(start.Add(time.Nanosecond))
	require.Len(t, expired, 1)
	assert.Empty(t, r.All())
	assert.Equal(t, Changed, r.Merge(start, report("a", 10, 1, Ready)), "an expired target that reports again is known again")
}

// Rosters that merge the same reports in different orders agree on the report
// kept for each address.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, report(
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
				rapid.Int64Range(1, 4).Draw(t, "born"),
				rapid.Uint64Range(1, 5).Draw(t, "sequence"),
				Ready))
		}
		for i := range reports { // distinct incarnations for different targets
			if reports[i].ID == "b" {
				reports[i].Incarnation += 10
			}
		}
		one, two := New(), New()
		for _, report := range reports {
			one.Merge(start, report)
		}
		for _, at := range rapid.Permutation(indexes(len(reports))).Draw(t, "order") {
			two.Merge(start, reports[at])
		}
		require.Equal(t, holders(one), holders(two))
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func holders(r *Roster) map[string]Report {
	held := make(map[string]Report)
	for addr, record := range r.byAddr {
		held[addr] = record.Report
	}
	return held
}

// A target may deregister, without its start time, at a control host that never
// heard from it. The others must learn that it has gone, but a process that started
// after that is not meant.
func TestDeregistrationAtHostThatDoesNotKnowTarget(t *testing.T) {
	at := time.Unix(1000, 0)
	ready := Report{ID: "a", Incarnation: 7, Sequence: 3, Service: "llm", Addr: "1.1.1.1:1", State: Ready}
	host := New()
	require.Equal(t, Changed, host.Deregister(at, "a", 0))
	passedOn := host.Get("a").Report

	follower := New()
	follower.Merge(at.Add(-time.Second), ready)
	require.Equal(t, Changed, follower.Merge(at, passedOn))
	require.Equal(t, Gone, follower.Get("a").State)
	late := ready
	late.Sequence++
	require.Equal(t, Stale, follower.Merge(at.Add(time.Second), late), "a late report of the process that has gone")

	restarted := New()
	restarted.Merge(at.Add(time.Second), Report{ID: "a", Incarnation: 8, Sequence: 1, Service: "llm", Addr: "1.1.1.1:1", State: Ready})
	require.Equal(t, Stale, restarted.Merge(at, passedOn))
	require.Equal(t, Ready, restarted.Get("a").State)
}
