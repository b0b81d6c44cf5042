package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/roster"
)

var start = time.Unix(1000, 0)

func record(id, dataCentre string) *roster.Record {
	return &roster.Record{Report: roster.Report{
		ID: id, Incarnation: 1, Service: "llm", Addr: id, DataCentre: dataCentre, Slots: 8, State: roster.Ready,
	}}
}

func acquire(t *Targets, q Query) string {
	q.Service = "llm"
	r, _ := t.Acquire(start, q)
	if r == nil {
		return ""
	}
	return r.ID
}

func TestOwnDataCentreFirstUntilItIsFuller(t *testing.T) {
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("far", "b"), record("near", "a")})
	got := map[string]int{}
	for range 9 {
		got[acquire(targets, Query{})]++
	}
	assert.Equal(t, map[string]int{"near": 5, "far": 4}, got)
	for range 7 {
		got[acquire(targets, Query{})]++
	}
	assert.Equal(t, map[string]int{"near": 8, "far": 8}, got, "no target is overfilled while another has a slot")
	targets.Release("near", false)
	assert.Equal(t, 7, targets.OwnLoads(0)["near"].Online)
}

func TestOutOfServiceTargetsAreNotChosen(t *testing.T) {
	targets := New("a")
	draining, gone := record("draining", "a"), record("gone", "a")
	draining.State = roster.Draining
	gone.State = roster.Gone
	targets.SetRecords([]*roster.Record{draining, gone, record("far", "b")})
	assert.Equal(t, "far", acquire(targets, Query{}))
	targets.SetOutOfService([]string{"b"})
	assert.Equal(t, "", acquire(targets, Query{}))
	assert.False(t, targets.Usable("far", 1))
	targets.SetOutOfService(nil)
	assert.True(t, targets.Usable("far", 1))
	assert.False(t, targets.Usable("far", 2))
	assert.Equal(t, "", acquire(targets, Query{Exclude: map[string]bool{"far": true}}))
}

func TestFailedTargetsAreTheLastResort(t *testing.T) {
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("one", "a"), record("two", "a")})
	targets.Failed(start, "one")
	for range 8 {
		require.Equal(t, "two", acquire(targets, Query{}))
	}
	targets.Failed(start, "two")
	assert.Equal(t, "one", acquire(targets, Query{}), "a failed target is used when there is no other")
	assert.Equal(t, "", acquire(targets, Query{Batch: true}), "batch items do not use failed targets")
	targets.Succeeded("two")
	assert.Equal(t, "two", acquire(targets, Query{}))
}

// A broker and all gateways, some of them without it, try a cold target again and
// again. Together they keep to the users' bound for any second, and the broker alone
// still uses a good part of the rate.
func TestColdTargetsAreRateLimited(t *testing.T) {
	for _, gateways := range []int{0, 3, 8, 89, 250} {
		for _, rate := range []float64{10, 15, 22} {
			cold := record("cold", "a")
			cold.ColdUntil = start.Add(3 * time.Second)
			processes := make([]*Targets, gateways+1) // the first one is the broker
			for i := range processes {
				processes[i] = New("a")
				processes[i].SetRecords([]*roster.Record{cold})
				processes[i].SetPeerLoads(nil, gateways+1)
				if i > 0 {
					processes[i].ShareLimits(fmt.Sprint("gateway-", i))
				}
			}
			var sentAt []time.Time
			byBroker := 0
			const step = 10 * time.Millisecond
			for now := start; now.Before(cold.ColdUntil); now = now.Add(step) {
				for i, process := range processes {
					r, _ := process.Acquire(now, Query{Service: "llm", WarmupPerSecond: rate})
					if r == nil {
						continue
					}
					sentAt = append(sentAt, now)
					if i == 0 {
						byBroker++
					}
				}
			}
			first := 0
			for i, at := range sentAt {
				for at.Sub(sentAt[first]) >= time.Second {
					first++
				}
				require.LessOrEqual(t, float64(i-first+1), 1.5*rate+5, "%d gateways, rate %v: requests within a second", gateways, rate)
			}
			require.GreaterOrEqual(t, float64(byBroker), rate, "%d gateways, rate %v: of the broker in 3 s", gateways, rate)
		}
	}
}

func TestBatchLeavesSpareSlotsAndIsPreempted(t *testing.T) {
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("one", "a")})
	sent := 0
	for acquire(targets, Query{Batch: true, Spare: 2}) != "" {
		sent++
	}
	assert.Equal(t, 6, sent)
	assert.Empty(t, targets.BatchToPreempt(0))
	targets.SetPeerLoads(map[string]Load{"one": {Online: 5}}, 2)
	assert.Equal(t, map[string]int{"one": 3}, targets.BatchToPreempt(0))
	slots, taken, count := targets.Free("llm")
	assert.Equal(t, "8 11 1", fmt.Sprint(slots, taken, count))
}

// When all slots are in use, online requests go to the target with the fewest
// online requests, and ReserveSlot keeps batch items out of the slots they will
// take.
func TestOnlinePrefersTargetWithPreemptibleBatch(t *testing.T) {
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("online", "a"), record("batch", "a")})
	targets.SetPeerLoads(map[string]Load{"online": {Online: 7, Batch: 1}, "batch": {Online: 2, Batch: 6}}, 2)
	chosen, full := targets.Acquire(start, Query{Service: "llm"})
	require.NotNil(t, chosen)
	assert.Equal(t, "batch", chosen.ID)
	assert.True(t, full)

	runner := New("a")
	runner.SetRecords([]*roster.Record{record("batch", "a")})
	runner.SetPeerLoads(map[string]Load{"batch": {Online: 6}}, 2)
	runner.ReserveSlot("batch", start.Add(time.Second))
	runner.ReserveSlot("batch", start.Add(time.Second))
	assert.Equal(t, "", acquire(runner, Query{Batch: true}))
	late, _ := runner.Acquire(start.Add(time.Second), Query{Service: "llm", Batch: true})
	assert.NotNil(t, late, "reservations expire")
}

// A new broker does not know what its predecessor placed, so those requests must
// count as Direct for it.
func TestEachBrokerKnowsItsOwnGrants(t *testing.T) {
	const former, current = 1, 2
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("one", "a")})
	require.NotNil(t, targets.Assign(former, "one"))
	require.NotNil(t, targets.Assign(current, "one"))
	require.NotNil(t, targets.Assign(current, "one"))
	assert.Equal(t, Load{Online: 3, Brokered: 2}, targets.OwnLoads(current)["one"])
	assert.Equal(t, Load{Online: 1}, targets.OwnLoads(current)["one"].Direct())
	targets.Unassign(former, "one")
	assert.Equal(t, Load{}, targets.OwnLoads(current)["one"].Direct())
	assert.Nil(t, targets.Assign(current, "two"))
}
