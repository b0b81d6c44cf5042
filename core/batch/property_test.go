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

// TestMain fixes the seed of the property tests. BANYAN_TEST_SEED sets another
// one; the flag -rapid.seed is overwritten here.
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
	r := &stateHarness{
		t: t, m: New(), copy: New(), now: 1_000,
		accepted: map[itemKey]int{}, grants: map[itemKey]int{}, returnedNotRun: map[itemKey]int{},
		cancelled: map[string]bool{}, nonIdempotent: map[string]bool{}, final: map[ItemID]ResultStatus{},
	}
	for i := range 3 {
		r.agents = append(r.agents, &testAgent{name: fmt.Sprintf("a%d", i), incarnation: 1})
	}
	return r
}

// apply applies a command to both machines; their results must be equal.
func (r *stateHarness) apply(c *Command) Result {
	result := r.m.Apply(r.now, c)
	require.Equal(r.t, result, r.copy.Apply(r.now, c))
	return result
}

func (r *stateHarness) createJob() {
	n := rapid.IntRange(1, 12).Draw(r.t, "items")
	id := fmt.Sprintf("batch_%d", len(r.jobs))
	template := chatTemplate
	if rapid.Bool().Draw(r.t, "not idempotent") {
		template = nonIdempotentTemplate
		r.nonIdempotent[id] = true
	}
	ws := rapid.SampledFrom([]string{"lab", "association", "office"}).Draw(r.t, "workspace")
	size := n * (lineBytes + 1)
	file := File{ID: "file-" + id, Workspace: ws, Bytes: int64(size), Chunks: []Ref{refOf(id, size)}}
	require.Nil(r.t, r.apply(&Command{FilePut: &FilePut{File: file}}).Err)
	c := jobOf(ws, id, file.ID, n, template)
	c.Key = id
	c.Weight = rapid.IntRange(1, 3).Draw(r.t, "weight")
	c.WindowMS = rapid.Int64Range(5_000, 200_000).Draw(r.t, "window")
	require.Nil(r.t, r.apply(&Command{JobCreate: c}).Err)
	r.jobs, r.itemCounts = append(r.jobs, c), append(r.itemCounts, n)
}

func (r *stateHarness) resendJob() {
	if len(r.jobs) == 0 {
		return
	}
	c := *rapid.SampledFrom(r.jobs).Draw(r.t, "job")
	want := c.ID
	if rapid.Bool().Draw(r.t, "new id") {
		c.ID += "-resent"
	}
	require.Equal(r.t, want, r.apply(&Command{JobCreate: &c}).Job.ID)
}

func (r *stateHarness) lease() {
	w := rapid.SampledFrom(r.agents).Draw(r.t, "agent")
	if rapid.IntRange(0, 9).Draw(r.t, "restart") == 0 {
		w.incarnation++
		w.request = 0
	}
	if w.request == 0 || rapid.IntRange(0, 4).Draw(r.t, "resend") != 0 {
		w.request++
	}
	most := rapid.IntRange(0, 6).Draw(r.t, "max")
	c := &LeaseItems{
		Agent: w.name, Incarnation: w.incarnation, Request: w.request, LeaseMS: testLeaseMS,
		Wants: []Want{{"bell-lm", most}, {"dispatch", most}},
	}
	for _, l := range r.apply(&Command{Lease: c}).Leases {
		r.recordGrant(l.ID)
	}
}

func (r *stateHarness) recordGrant(id ItemID) {
	for _, s := range r.granted {
		if s == id {
			return // repeated response to a resent request
		}
	}
	k := itemKey{id.Job, id.Item}
	require.False(r.t, r.cancelled[id.Job], "leased after the acknowledged cancellation")
	require.Zero(r.t, r.accepted[k], "leased after completion")
	r.grants[k]++
	if r.nonIdempotent[id.Job] {
		require.LessOrEqual(r.t, r.grants[k]-r.returnedNotRun[k], 1, "an item that is not idempotent ran again")
	}
	r.granted = append(r.granted, id)
}

// commit sends results of any granted attempts from any agent, so some are late,
// duplicated, superseded or from an agent that does not hold the lease.
func (r *stateHarness) commit() {
	if len(r.granted) == 0 {
		return
	}
	w := rapid.SampledFrom(r.agents).Draw(r.t, "agent")
	ids := rapid.SliceOfN(rapid.SampledFrom(r.granted), 1, 4).Draw(r.t, "attempts")
	c := &Commit{Agent: w.name, Record: refOf(fmt.Sprint(ids), 10*len(ids))}
	for i, id := range ids {
		res := ItemResult{ID: id, Offset: uint32(10 * i), Length: 10, Status: ResultStatus(rapid.IntRange(1, 4).Draw(r.t, "status"))}
		res.Outcome = outcome.Ran
		if res.Status >= ResultRetry {
			res.Outcome = outcome.Outcome(rapid.IntRange(0, 1).Draw(r.t, "outcome"))
			res.Code = outcome.Preempted
		}
		c.Results = append(c.Results, res)
	}
	held := make([]bool, len(ids))
	taken := map[ItemID]bool{}
	for i, id := range ids {
		l, code := r.m.findLease(w.name, id)
		held[i] = l != nil && code == 0 && !taken[id]
		taken[id] = true
	}
	for i, v := range r.apply(&Command{Commit: c}).Items {
		r.checkAck(c.Results[i], v, held[i])
	}
}

func (r *stateHarness) checkAck(res ItemResult, v ItemAck, held bool) {
	k := itemKey{res.ID.Job, res.ID.Item}
	if held {
		require.Zero(r.t, v.Code, "a result under a valid lease must be accepted")
	}
	if r.cancelled[res.ID.Job] && !held && res.Status == ResultSucceeded && r.final[res.ID] != ResultSucceeded {
		require.NotZero(r.t, v.Code, "a result after cancellation must be refused")
	}
	if !held {
		return
	}
	switch {
	case res.Status <= ResultFailed:
		r.accepted[k]++
		r.final[res.ID] = res.Status
		require.Equal(r.t, 1, r.accepted[k], "completed twice")
	case res.Outcome == outcome.NotRun:
		r.returnedNotRun[k]++
	}
}

func (r *stateHarness) cancel() {
	if len(r.jobs) == 0 {
		return
	}
	j := rapid.SampledFrom(r.jobs).Draw(r.t, "job")
	if r.apply(&Command{JobCancel: &JobCancel{Workspace: j.Workspace, ID: j.ID}}).Err == nil {
		r.cancelled[j.ID] = true
	}
}

func (r *stateHarness) renew() {
	if len(r.granted) == 0 {
		return
	}
	w := rapid.SampledFrom(r.agents).Draw(r.t, "agent")
	ids := rapid.SliceOfN(rapid.SampledFrom(r.granted), 1, 5).Draw(r.t, "attempts")
	r.apply(&Command{Renew: &RenewItems{Agent: w.name, Incarnation: w.incarnation, Items: ids, LeaseMS: testLeaseMS}})
}

func (r *stateHarness) tick() {
	r.now += rapid.Int64Range(-500, 4_000).Draw(r.t, "ms")
	r.apply(&Command{Tick: &Tick{HoldLeases: rapid.Bool().Draw(r.t, "hold")}})
}

// failOver restores a machine from a snapshot of m and continues with it in the
// place of m; the old m becomes the copy.
func (r *stateHarness) failOver() {
	require.Equal(r.t, r.m.State(), r.copy.State())
	restored := New()
	require.NoError(r.t, restored.Restore(clone(r.t, r.m.State())))
	require.Equal(r.t, r.m.State(), restored.State())
	r.m, r.copy = restored, r.m
}

// drain lets one healthy agent complete all remaining items.
func (r *stateHarness) drain() {
	w := &testAgent{name: "healthy", incarnation: 1}
	r.now = r.m.Now() + testLeaseMS
	r.apply(&Command{Tick: &Tick{}})
	for {
		w.request++
		leases := r.apply(&Command{Lease: &LeaseItems{
			Agent: w.name, Incarnation: 1, Request: w.request, LeaseMS: testLeaseMS,
			Wants: []Want{{"bell-lm", 7}, {"dispatch", 7}},
		}}).Leases
		if len(leases) == 0 {
			return
		}
		c := &Commit{Agent: w.name, Record: refOf(fmt.Sprint(w.request), 10)}
		for _, l := range leases {
			r.recordGrant(l.ID)
			c.Results = append(c.Results, ItemResult{ID: l.ID, Status: ResultSucceeded, Length: 10, Outcome: outcome.Ran})
		}
		for i, v := range r.apply(&Command{Commit: c}).Items {
			r.checkAck(c.Results[i], v, true)
		}
	}
}

// checkFinalState checks that every job has ended and that each item has exactly one
// line in one of the output files.
func (r *stateHarness) checkFinalState() {
	for n, c := range r.jobs {
		j, err := r.m.Job(c.Workspace, c.ID)
		require.NoError(r.t, err)
		require.NotZero(r.t, j.SettledMS, "%s is %s: %+v", j.ID, j.Status, j.Counts)
		k := j.Counts
		require.Equal(r.t, r.itemCounts[n], k.Total)
		require.Equal(r.t, k.Total, k.Succeeded+k.Failed+k.Cancelled+k.Expired)
		if !j.Status.Ended() {
			r.checkOutputLines(j)
			finish(r.t, r.m, r.now, j.ID)
		}
	}
	for _, c := range r.jobs {
		j, err := r.m.Job(c.Workspace, c.ID)
		require.NoError(r.t, err)
		require.True(r.t, j.Status.Ended())
	}
	r.copy = New()
	require.NoError(r.t, r.copy.Restore(clone(r.t, r.m.State())))
	require.Equal(r.t, r.m.State(), r.copy.State())
}

func (r *stateHarness) checkOutputLines(j *Job) {
	lines := make([]int, j.Counts.Total)
	results, failures := settledLines(r.t, r.m, j.ID)
	require.Len(r.t, results, j.Counts.Succeeded)
	for _, p := range append(results, failures...) {
		lines[p.Item]++
		require.True(r.t, p.Result != nil || len(p.Input) > 0)
	}
	for i, count := range lines {
		require.Equal(r.t, 1, count, "item %d of %s", i, j.ID)
	}
}

// finishOldest ends the oldest settled job while the test goes on.
func (r *stateHarness) finishOldest() {
	r.m.Settled(func(j *Job) bool {
		r.checkOutputLines(j)
		require.Equal(r.t, finish(r.t, r.m, r.now, j.ID), finish(r.t, r.copy, r.now, j.ID))
		return false
	})
}

func TestEachItemCompletesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":   func(*rapid.T) { r.createJob() },
			"resend":   func(*rapid.T) { r.resendJob() },
			"lease":    func(*rapid.T) { r.lease() },
			"lease2":   func(*rapid.T) { r.lease() },
			"commit":   func(*rapid.T) { r.commit() },
			"commit2":  func(*rapid.T) { r.commit() },
			"cancel":   func(*rapid.T) { r.cancel() },
			"renew":    func(*rapid.T) { r.renew() },
			"finish":   func(*rapid.T) { r.finishOldest() },
			"tick":     func(*rapid.T) { r.tick() },
			"failover": func(*rapid.T) { r.failOver() },
		})
		r.drain()
		r.checkFinalState()
	})
}
