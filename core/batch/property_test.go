package batch

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/outcome"
)

// TestMain sets a fixed seed and the size of the property tests, whatever the
// -rapid flags say. BANYAN_TEST_SEED sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("BANYAN_TEST_SEED")
	if seed == "" {
		seed = "82000"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "200", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// stateHarness applies the same commands to a machine and to a copy of it, and
// checks the invariants of leases and results after each of them. m and copy
// must stay equal.
type stateHarness struct {
	t              *rapid.T
	m              *Machine
	copy           *Machine // replica of m, restored from a snapshot after a failover
	now            int64
	agents         []*testAgent
	jobs           []*JobCreate
	itemCounts     []int
	granted        []ItemID                // all attempts that were granted
	accepted       map[itemKey]int         // number of accepted final results
	grants         map[itemKey]int         // number of granted attempts
	returnedNotRun map[itemKey]int         // number of attempts that ended without running
	cancelled      map[string]bool         // jobs whose cancellation was acknowledged
	nonIdempotent  map[string]bool         // jobs on a route that is not idempotent
	final          map[ItemID]ResultStatus // accepted final result by attempt
}

type itemKey struct {
	job  string
	item uint32
}

func newHarness(t *rapid.T) *stateHarness {
	h := &stateHarness{
		t: t, m: New(), copy: New(), now: 1_000,
		accepted: map[itemKey]int{}, grants: map[itemKey]int{}, returnedNotRun: map[itemKey]int{},
		cancelled: map[string]bool{}, nonIdempotent: map[string]bool{}, final: map[ItemID]ResultStatus{},
	}
	for i := range 3 {
		h.agents = append(h.agents, &testAgent{name: fmt.Sprintf("a%d", i), incarnation: 1})
	}
	return h
}

// apply applies a command to both machines; their results must be equal.
func (h *stateHarness) apply(c *Command) Result {
	result := h.m.Apply(h.now, c)
	require.Equal(h.t, result, h.copy.Apply(h.now, c))
	return result
}

func (h *stateHarness) createJob() {
	n := rapid.IntRange(1, 12).Draw(h.t, "items")
	id := fmt.Sprintf("batch_%d", len(h.jobs))
	template := chatTemplate
	if rapid.Bool().Draw(h.t, "not idempotent") {
		template = nonIdempotentTemplate
		h.nonIdempotent[id] = true
	}
	ws := rapid.SampledFrom([]string{"lab", "association", "office"}).Draw(h.t, "workspace")
	size := n * (lineBytes + 1)
	file := File{ID: "file-" + id, Workspace: ws, Bytes: int64(size), Chunks: []Ref{refOf(id, size)}}
	require.Nil(h.t, h.apply(&Command{FilePut: &FilePut{File: file}}).Err)
	c := jobOf(ws, id, file.ID, n, template)
	c.Key = id
	c.Weight = rapid.IntRange(1, 3).Draw(h.t, "weight")
	c.WindowMS = rapid.Int64Range(5_000, 200_000).Draw(h.t, "window")
	require.Nil(h.t, h.apply(&Command{JobCreate: c}).Err)
	h.jobs, h.itemCounts = append(h.jobs, c), append(h.itemCounts, n)
}

func (h *stateHarness) resendJob() {
	if len(h.jobs) == 0 {
		return
	}
	c := *rapid.SampledFrom(h.jobs).Draw(h.t, "job")
	want := c.ID
	if rapid.Bool().Draw(h.t, "new id") {
		c.ID += "-resent"
	}
	require.Equal(h.t, want, h.apply(&Command{JobCreate: &c}).Job.ID)
}

func (h *stateHarness) lease() {
	a := rapid.SampledFrom(h.agents).Draw(h.t, "agent")
	if rapid.IntRange(0, 9).Draw(h.t, "restart") == 0 {
		a.incarnation++
		a.request = 0
	}
	if a.request == 0 || rapid.IntRange(0, 4).Draw(h.t, "resend") != 0 {
		a.request++
	}
	most := rapid.IntRange(0, 6).Draw(h.t, "max")
	c := &LeaseItems{
		Agent: a.name, Incarnation: a.incarnation, Request: a.request, LeaseMS: testLeaseMS,
		Wants: []Want{{"bell-lm", most}, {"dispatch", most}},
	}
	for _, l := range h.apply(&Command{Lease: c}).Leases {
		h.recordGrant(l.ID)
	}
}

func (h *stateHarness) recordGrant(id ItemID) {
	for _, s := range h.granted {
		if s == id {
			return // repeated response to a resent request
		}
	}
	k := itemKey{id.Job, id.Item}
	require.False(h.t, h.cancelled[id.Job], "leased after the acknowledged cancellation")
	require.Zero(h.t, h.accepted[k], "leased after completion")
	h.grants[k]++
	if h.nonIdempotent[id.Job] {
		require.LessOrEqual(h.t, h.grants[k]-h.returnedNotRun[k], 1, "an item that is not idempotent ran again")
	}
	h.granted = append(h.granted, id)
}

// commit sends results of any granted attempts from any agent, so some are late,
// duplicated, superseded or from an agent that does not hold the lease.
func (h *stateHarness) commit() {
	if len(h.granted) == 0 {
		return
	}
	a := rapid.SampledFrom(h.agents).Draw(h.t, "agent")
	ids := rapid.SliceOfN(rapid.SampledFrom(h.granted), 1, 4).Draw(h.t, "attempts")
	c := &Commit{Agent: a.name, Record: refOf(fmt.Sprint(ids), 10*len(ids))}
	for i, id := range ids {
		res := ItemResult{ID: id, Offset: uint32(10 * i), Length: 10, Status: ResultStatus(rapid.IntRange(1, 4).Draw(h.t, "status"))}
		res.Outcome = outcome.Ran
		if res.Status >= ResultRetry {
			res.Outcome = outcome.Outcome(rapid.IntRange(0, 1).Draw(h.t, "outcome"))
			res.Code = outcome.Preempted
		}
		c.Results = append(c.Results, res)
	}
	held := make([]bool, len(ids))
	taken := map[ItemID]bool{}
	for i, id := range ids {
		l, code := h.m.findLease(a.name, id)
		held[i] = l != nil && code == 0 && !taken[id]
		taken[id] = true
	}
	for i, v := range h.apply(&Command{Commit: c}).Items {
		h.checkAck(c.Results[i], v, held[i])
	}
}

func (h *stateHarness) checkAck(res ItemResult, v ItemAck, held bool) {
	k := itemKey{res.ID.Job, res.ID.Item}
	if held {
		require.Zero(h.t, v.Code, "a result under a valid lease must be accepted")
	}
	if h.cancelled[res.ID.Job] && !held && res.Status == ResultSucceeded && h.final[res.ID] != ResultSucceeded {
		require.NotZero(h.t, v.Code, "a result after cancellation must be refused")
	}
	if !held {
		return
	}
	switch {
	case res.Status <= ResultFailed:
		h.accepted[k]++
		h.final[res.ID] = res.Status
		require.Equal(h.t, 1, h.accepted[k], "completed twice")
	case res.Outcome == outcome.NotRun:
		h.returnedNotRun[k]++
	}
}

func (h *stateHarness) cancel() {
	if len(h.jobs) == 0 {
		return
	}
	j := rapid.SampledFrom(h.jobs).Draw(h.t, "job")
	if h.apply(&Command{JobCancel: &JobCancel{Workspace: j.Workspace, ID: j.ID}}).Err == nil {
		h.cancelled[j.ID] = true
	}
}

func (h *stateHarness) renew() {
	if len(h.granted) == 0 {
		return
	}
	a := rapid.SampledFrom(h.agents).Draw(h.t, "agent")
	ids := rapid.SliceOfN(rapid.SampledFrom(h.granted), 1, 5).Draw(h.t, "attempts")
	h.apply(&Command{Renew: &RenewItems{Agent: a.name, Incarnation: a.incarnation, Items: ids, LeaseMS: testLeaseMS}})
}

func (h *stateHarness) tick() {
	h.now += rapid.Int64Range(-500, 4_000).Draw(h.t, "ms")
	h.apply(&Command{Tick: &Tick{HoldLeases: rapid.Bool().Draw(h.t, "hold")}})
}

// failOver restores a machine from a snapshot of m and continues with it in the
// place of m; the old m becomes the copy.
func (h *stateHarness) failOver() {
	require.Equal(h.t, h.m.State(), h.copy.State())
	restored := New()
	require.NoError(h.t, restored.Restore(clone(h.t, h.m.State())))
	require.Equal(h.t, h.m.State(), restored.State())
	h.m, h.copy = restored, h.m
}

// drain lets one healthy agent complete all remaining items.
func (h *stateHarness) drain() {
	a := &testAgent{name: "healthy", incarnation: 1}
	h.now = h.m.Now() + testLeaseMS
	h.apply(&Command{Tick: &Tick{}})
	for {
		a.request++
		leases := h.apply(&Command{Lease: &LeaseItems{
			Agent: a.name, Incarnation: 1, Request: a.request, LeaseMS: testLeaseMS,
			Wants: []Want{{"bell-lm", 7}, {"dispatch", 7}},
		}}).Leases
		if len(leases) == 0 {
			return
		}
		c := &Commit{Agent: a.name, Record: refOf(fmt.Sprint(a.request), 10)}
		for _, l := range leases {
			h.recordGrant(l.ID)
			c.Results = append(c.Results, ItemResult{ID: l.ID, Status: ResultSucceeded, Length: 10, Outcome: outcome.Ran})
		}
		for i, v := range h.apply(&Command{Commit: c}).Items {
			h.checkAck(c.Results[i], v, true)
		}
	}
}

// checkFinalState checks that every job has ended and that each item has
// exactly one line in one of the output files.
func (h *stateHarness) checkFinalState() {
	for n, c := range h.jobs {
		j, err := h.m.Job(c.Workspace, c.ID)
		require.NoError(h.t, err)
		require.NotZero(h.t, j.SettledMS, "%s is %s: %+v", j.ID, j.Status, j.Counts)
		k := j.Counts
		require.Equal(h.t, h.itemCounts[n], k.Total)
		require.Equal(h.t, k.Total, k.Succeeded+k.Failed+k.Cancelled+k.Expired)
		if !j.Status.Ended() {
			h.checkOutputLines(j)
			finish(h.t, h.m, h.now, j.ID)
		}
	}
	for _, c := range h.jobs {
		j, err := h.m.Job(c.Workspace, c.ID)
		require.NoError(h.t, err)
		require.True(h.t, j.Status.Ended())
	}
	h.copy = New()
	require.NoError(h.t, h.copy.Restore(clone(h.t, h.m.State())))
	require.Equal(h.t, h.m.State(), h.copy.State())
}

func (h *stateHarness) checkOutputLines(j *Job) {
	lines := make([]int, j.Counts.Total)
	results, failures := settledLines(h.t, h.m, j.ID)
	require.Len(h.t, results, j.Counts.Succeeded)
	for _, p := range append(results, failures...) {
		lines[p.Item]++
		require.True(h.t, p.Result != nil || len(p.Input) > 0)
	}
	for i, count := range lines {
		require.Equal(h.t, 1, count, "item %d of %s", i, j.ID)
	}
}

// finishOldest ends the oldest settled job while the test goes on.
func (h *stateHarness) finishOldest() {
	h.m.Settled(func(j *Job) bool {
		h.checkOutputLines(j)
		require.Equal(h.t, finish(h.t, h.m, h.now, j.ID), finish(h.t, h.copy, h.now, j.ID))
		return false
	})
}

func TestEachItemCompletesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":   func(*rapid.T) { h.createJob() },
			"resend":   func(*rapid.T) { h.resendJob() },
			"lease":    func(*rapid.T) { h.lease() },
			"lease2":   func(*rapid.T) { h.lease() },
			"commit":   func(*rapid.T) { h.commit() },
			"commit2":  func(*rapid.T) { h.commit() },
			"cancel":   func(*rapid.T) { h.cancel() },
			"renew":    func(*rapid.T) { h.renew() },
			"finish":   func(*rapid.T) { h.finishOldest() },
			"tick":     func(*rapid.T) { h.tick() },
			"failover": func(*rapid.T) { h.failOver() },
		})
		h.drain()
		h.checkFinalState()
	})
}
