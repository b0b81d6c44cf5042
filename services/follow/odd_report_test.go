package follow

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
)

// Report LOST of issue 37: one odd entry among those of the targets, as a control host of a
// former build passes it on, must neither end the processes that read the list nor keep
// them from following it, whether it comes before, among or after the sound ones.
func TestOddReportAmongSoundOnes(t *testing.T) {
	sound := func(id, addr string) rpc.TargetReport {
		return rpc.TargetReport{Report: roster.Report{ID: id, Incarnation: 1, Sequence: 1, Service: "llm", Addr: addr, Slots: 8, State: roster.Ready}}
	}
	for name, change := range map[string]func(*roster.Report){
		"port out of range":    func(r *roster.Report) { r.Addr = "10.0.0.9:70000" },
		"no port":              func(r *roster.Report) { r.Addr = "10.0.0.9" },
		"slots too large":      func(r *roster.Report) { r.Slots = math.MaxInt },
		"negative slots":       func(r *roster.Report) { r.Slots = math.MinInt },
		"cold for ever":        func(r *roster.Report) { r.ColdFor = math.MaxInt64 },
		"born in the future":   func(r *roster.Report) { r.Incarnation = math.MaxInt64 },
		"no id":                func(r *roster.Report) { r.ID = "" },
		"another's address":    func(r *roster.Report) { r.Addr, r.Incarnation = "10.0.0.1:1", math.MaxInt64 },
		"another's id":         func(r *roster.Report) { r.ID, r.Incarnation = "t1", math.MaxInt64 },
		"another's id, no end": func(r *roster.Report) { r.ID, r.Slots = "t1", math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			for position := range 3 {
				odd := sound("odd", "10.0.0.9:1")
				odd.Report.Sequence = 2
				change(&odd.Report)
				reports := []rpc.TargetReport{sound("t1", "10.0.0.1:1"), sound("t2", "10.0.0.2:1")}
				reports = append(reports[:position:position], append([]rpc.TargetReport{odd}, reports[position:]...)...)
				f := newFollower(false)
				f.ApplyPush(time.Now(), "c1", &rpc.FollowPush{Targets: reports})
				assert.True(t, f.Targets.Usable("t1", 1), position)
				assert.True(t, f.Targets.Usable("t2", 1), position)
				assert.False(t, f.Targets.Usable("odd", odd.Report.Incarnation), position)
				slots, _, targets := f.Targets.Free("llm")
				assert.Equal(t, 16, slots)
				assert.Equal(t, 2, targets)
				chosen, _ := f.Targets.Acquire(time.Now(), placement.Query{Service: "llm"})
				assert.NotNil(t, chosen)
			}
		})
	}
}
