package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
)

// Guards against a new version that is tried on idle targets only, where it does not see
// the load of the old ones, and against a rollout that takes more than its grants.
func TestGrantedRequestsFillFewTargets(t *testing.T) {
	now := time.Unix(0, 0)
	gate := rollout.NewGate(func() time.Time { return now })
	gate.SetRollouts([]rollout.Rollout{{Service: "llm", Version: "v2", Phase: rollout.Canary}})
	gate.AddGrant("llm", "v2", 7, now.Add(time.Hour))
	targets := New("a")
	var records []*roster.Record
	for n := range 8 {
		old, fresh := record(fmt.Sprint("old", n), "a"), record(fmt.Sprint("new", n), "a")
		old.Version, fresh.Version = "v1", "v2"
		records = append(records, old, fresh)
	}
	targets.SetRecords(records)
	query := Query{Rollout: gate.Service("llm")}
	v1, v2 := "v1", "v2"
	old := query
	old.Version = &v1
	for range 24 { // 3 of 8 slots of each old target
		acquire(targets, old)
	}
	got := map[string]int{}
	for range 7 {
		got[acquire(targets, query)]++
		assert.Contains(t, acquire(targets, query), "old", "the next grant is not due yet")
		now = now.Add(time.Second)
	}
	assert.Equal(t, map[string]int{"new0": 4, "new1": 3}, got)
	for range 20 {
		now = now.Add(time.Second)
		assert.Contains(t, acquire(targets, query), "old", "all grants are spent")
	}
	resumed := query
	resumed.Version = &v2
	assert.Empty(t, acquire(targets, resumed), "a stream that resumes needs a grant too")
	gate.SetRollouts([]rollout.Rollout{{Service: "llm", Version: "v2", Phase: rollout.Finishing}})
	assert.Contains(t, acquire(targets, query), "new")
	assert.Contains(t, acquire(targets, old), "old", "a stream goes on where it began")
	slots, _, _ := targets.Free("llm")
	assert.Equal(t, 128, slots)
	targets.CountVersions(gate.Serves)
	slots, _, _ = targets.Free("llm")
	assert.Equal(t, 64, slots, "the old targets are no capacity any more")
	now = now.Add(time.Minute) // without a word from the leader
	for range 20 {
		assert.Contains(t, acquire(targets, query), "old")
	}
	for n := range 8 {
		targets.Failed(start, fmt.Sprint("old", n))
	}
	assert.Contains(t, acquire(targets, query), "new", "the old targets have been stopped")
	gate.SetRollouts([]rollout.Rollout{{Service: "llm", Version: "v2", Phase: rollout.Reverted}})
	assert.Contains(t, acquire(targets, query), "old")
	assert.Empty(t, acquire(targets, resumed))
}
