package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/roster"
)

// Slots that a request cannot get, and slots with batch items, must not be taken for
// scarce or free ones.
func TestRoomCountsWhatARequestCanGet(t *testing.T) {
	targets := New("a")
	other := record("version", "a")
	other.Version = "v2"
	targets.SetRecords([]*roster.Record{record("one", "a"), record("two", "a"), record("failed", "a"), other})
	targets.SetPeerLoads(map[string]Load{"one": {Online: 10}, "two": {Online: 3, Batch: 5}}, 2)
	targets.Failed(start, "failed")
	version := ""
	q := Query{Service: "llm", Version: &version}
	assert.Equal(t, Room{Slots: 16, Free: 5, Online: 13}, targets.Room(start, q))
	q.Exclude = map[string]bool{"one": true}
	assert.Equal(t, Room{Slots: 8, Free: 5, Online: 3}, targets.Room(start, q))
}

func TestNegativeQueueAdmitsToFreeSlotsOnly(t *testing.T) {
	targets := New("a")
	targets.SetRecords([]*roster.Record{record("one", "a")})
	for range 8 {
		require.Equal(t, "one", acquire(targets, Query{MaxQueue: -1}))
	}
	require.Empty(t, acquire(targets, Query{MaxQueue: -1}))
	require.Equal(t, "one", acquire(targets, Query{MaxQueue: 1}))
}

// If each gateway used its part at the same targets, these would get several times what
// they can run, and others nothing.
func TestOwnPartsAreSpreadOverTargets(t *testing.T) {
	const gateways, count = 21, 34
	var records []*roster.Record
	for i := range count {
		records = append(records, record(fmt.Sprint(i), "a"))
	}
	total := make(map[string]int)
	for g := range gateways {
		targets := New("a")
		targets.ShareLimits(fmt.Sprint("g", g))
		targets.SetRecords(records)
		used := make(map[string]bool)
		for _, id := range targets.OwnPartUsed("llm", 2, gateways) {
			used[id] = true
		}
		for _, r := range records {
			if !used[r.ID] {
				total[r.ID]++
				targets.addOwn(r.ID, false, 1)
			}
		}
		assert.Len(t, targets.OwnPartUsed("llm", 2, gateways), count, "the part is one request at most")
	}
	sum := 0
	for id, n := range total {
		assert.LessOrEqual(t, n, 19, id)
		sum += n
	}
	assert.InDelta(t, 10*count, sum, 40)
}

// Callers of a workspace beyond its share return after those within their share, spread
// at the rate at which its share releases slots, and within their patience.
func TestCallersBeyondTheirShareReturnLater(t *testing.T) {
	now := time.Unix(100, 0)
	r := &Returns{}
	r.Observe(600 * time.Millisecond)
	within := r.Next(now, 280, 5*time.Second)
	for range 9 {
		within = r.Next(now, 280, 5*time.Second)
	}
	last := time.Duration(0)
	for i := range 20 {
		next := r.NextBeyond(now, "hot", 48, 5*time.Second)
		assert.Greater(t, next, within)
		assert.LessOrEqual(t, next, 5*time.Second/patienceDivisor)
		if i > 0 {
			assert.Equal(t, 50*time.Millisecond, next-last)
		}
		last = next
	}
	assert.Less(t, r.NextBeyond(now, "other", 48, 5*time.Second), last, "workspaces do not wait for each other")
	assert.Equal(t, 300*time.Millisecond/patienceDivisor, r.NextBeyond(now, "hot", 0, 300*time.Millisecond))
	r.NextBeyond(now.Add(time.Minute), "other", 48, 5*time.Second)
	assert.Len(t, r.beyond, 1, "workspaces are forgotten")
}
