package batch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

func TestResentJobIsOneJob(t *testing.T) {
	m := New()
	c := jobOf("lab", "batch_1", "file-1", 3, chatTemplate)
	c.Key, c.RequestDigest = "evening", Digest{1}
	mustCreate(t, m, 1, c, 3)

	again := *c
	again.ID = "batch_2"
	r := m.Apply(2, &Command{JobCreate: &again})
	require.Nil(t, r.Err)
	require.Equal(t, "batch_1", r.Job.ID)

	other := again
	other.RequestDigest = Digest{2}
	require.Equal(t, outcome.IdempotencyMismatch, m.Apply(3, &Command{JobCreate: &other}).Err.Code)
	jobs, _, err := m.Jobs("lab", "", 10)
	require.NoError(t, err)
	require.Len(t, jobs, 1)
}

func TestJobOfAnotherWorkspaceIsNotFound(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 1, chatTemplate), 1)
	_, err := m.Job("association", "batch_1")
	require.True(t, outcome.IsCode(err, outcome.JobNotFound))
	_, err = m.File("association", "file-1")
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
	require.Equal(t, outcome.JobNotFound, m.Apply(2, &Command{JobCancel: &JobCancel{Workspace: "association", ID: "batch_1"}}).Err.Code)
	r := m.Apply(3, &Command{JobCreate: jobOf("association", "batch_2", "file-1", 1, chatTemplate)})
	require.Equal(t, outcome.FileNotFound, r.Err.Code)
}

func TestMaxBytesLimitsLeases(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 9, chatTemplate), 9)
	c := &LeaseItems{Agent: "a1", Incarnation: 1, Request: 1, LeaseMS: testLeaseMS, MaxBytes: 2*lineBytes + 1, Wants: []Want{{"bell-lm", 9}}}
	require.Len(t, m.Apply(2, &Command{Lease: c}).Leases, 3)
}

func TestEarliestDueJobGoesFirst(t *testing.T) {
	m := New()
	late, early := jobOf("lab", "batch_late", "file-1", 2, chatTemplate), jobOf("lab", "batch_early", "file-2", 2, chatTemplate)
	early.WindowMS = hourMS
	mustCreate(t, m, 1, late, 2)
	mustCreate(t, m, 2, early, 2)
	a := &testAgent{name: "a1", incarnation: 1}
	ids := idsOf(a.lease(m, 3, 4, "bell-lm").Leases)
	require.Equal(t, []ItemID{{"batch_early", 0, 1}, {"batch_early", 1, 1}, {"batch_late", 0, 1}, {"batch_late", 1, 1}}, ids)
}

func TestResentRequestReturnsTheSameLeases(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 10, chatTemplate), 10)
	a := &testAgent{name: "a1", incarnation: 1}
	first := a.lease(m, 2, 3, "bell-lm").Leases
	require.Len(t, first, 3)
	require.Equal(t, first, a.resend(m, 3, 3, "bell-lm").Leases)
	require.Equal(t, 3, jobState(t, m, "batch_1").Counts.Leased)
}

func TestNewIncarnationLosesOldLeases(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 2, chatTemplate), 2)
	mustCreate(t, m, 1, jobOf("lab", "batch_2", "file-2", 1, nonIdempotentTemplate), 1)
	old := &testAgent{name: "a1", incarnation: 1}
	held := old.lease(m, 2, 2, "bell-lm", "dispatch").Leases
	require.Len(t, held, 3)

	restarted := &testAgent{name: "a1", incarnation: 2}
	again := restarted.lease(m, 3, 2, "bell-lm", "dispatch").Leases
	require.Len(t, again, 2, "an item on a route that is not idempotent must not run again")
	for _, v := range old.commit(m, 4, ResultSucceeded, outcome.Ran, idsOf(held)...) {
		require.NotZero(t, v.Code)
	}
	order := jobState(t, m, "batch_2")
	require.NotZero(t, order.SettledMS)
	require.Equal(t, 1, order.Counts.Failed)
	_, failures := settledLines(t, m, "batch_2")
	require.Equal(t, outcome.MayHaveRun, failures[0].Outcome)
	require.Equal(t, outcome.Unreachable, failures[0].Code)
}

func TestImpossibleItemDoesNotHoldUpTheJob(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 3, chatTemplate), 3)
	a := &testAgent{name: "a1", incarnation: 1}
	attempts := 0
	for now := int64(2); jobState(t, m, "batch_1").SettledMS == 0; now++ {
		l := a.lease(m, now, 1, "bell-lm").Leases[0]
		if l.ID.Item == 1 {
			require.Equal(t, attempts > 0, l.LastFailure == outcome.TargetFailed)
			attempts++
			a.commit(m, now, ResultRetry, outcome.MayHaveRun, l.ID)
			continue
		}
		a.commit(m, now, ResultSucceeded, outcome.Ran, l.ID)
	}
	require.Equal(t, DefaultMaxItemAttempts, attempts)
	j := jobState(t, m, "batch_1")
	require.Equal(t, "finalizing", j.StatusName())
	require.Equal(t, 2, j.Counts.Succeeded)
	_, failures := settledLines(t, m, "batch_1")
	require.Len(t, failures, 1)
	require.Equal(t, outcome.ItemImpossible, failures[0].Code)
	require.Equal(t, uint32(lineBytes), failures[0].Input[0].Length)
}

func TestPreemptedItemKeepsItsProgress(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 1, chatTemplate), 1)
	a := &testAgent{name: "a1", incarnation: 1}
	for now := int64(2); now < 12; now++ {
		l := a.lease(m, now, 1, "bell-lm").Leases[0]
		require.Equal(t, now > 2, l.Progress != nil)
		require.Zero(t, a.commit(m, now, ResultReturned, outcome.MayHaveRun, l.ID)[0].Code)
	}
	l := a.lease(m, 20, 1, "bell-lm").Leases[0]
	require.Zero(t, a.commit(m, 21, ResultSucceeded, outcome.Ran, l.ID)[0].Code)
	require.Equal(t, JobCompleted, finish(t, m, 22, "batch_1").Job.Status)
}

func TestCancelStopsLeasesAndResults(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 4, chatTemplate), 4)
	a := &testAgent{name: "a1", incarnation: 1}
	held := idsOf(a.lease(m, 2, 2, "bell-lm").Leases)
	require.Equal(t, JobCancelling, m.Apply(3, &Command{JobCancel: &JobCancel{Workspace: "lab", ID: "batch_1"}}).Job.Status)
	require.Empty(t, a.lease(m, 4, 4, "bell-lm").Leases)

	stopped := m.Apply(5, &Command{Renew: &RenewItems{Agent: "a1", Incarnation: 1, Items: held, LeaseMS: testLeaseMS}}).Stopped
	require.Len(t, stopped, 2)
	require.Equal(t, outcome.JobCancelled, stopped[0].Code)
	for _, v := range a.commit(m, 6, ResultSucceeded, outcome.Ran, held...) {
		require.Equal(t, outcome.JobCancelled, v.Code)
	}
	j := finish(t, m, 7, "batch_1").Job
	require.Equal(t, JobCancelled, j.Status)
	require.Equal(t, 4, j.Counts.Cancelled)
	require.Empty(t, j.OutputFile)
	require.NotEmpty(t, j.ErrorFile)
	require.Equal(t, outcome.JobCancelled, a.commit(m, 8, ResultSucceeded, outcome.Ran, held[0])[0].Code)
}

func TestDueTimeExpiresUnfinishedItems(t *testing.T) {
	m := New()
	c := jobOf("lab", "batch_1", "file-1", 3, chatTemplate)
	c.WindowMS = 1_000
	mustCreate(t, m, 1, c, 3)
	a := &testAgent{name: "a1", incarnation: 1}
	held := idsOf(a.lease(m, 2, 2, "bell-lm").Leases)
	a.commit(m, 3, ResultSucceeded, outcome.Ran, held[0])
	require.True(t, m.NeedsTick(1_001))
	m.Apply(1_001, &Command{Tick: &Tick{}})
	require.Equal(t, JobExpiring, jobState(t, m, "batch_1").Status)
	require.Empty(t, a.lease(m, 1_002, 1, "bell-lm").Leases)
	m.Apply(2+testLeaseMS, &Command{Tick: &Tick{}})
	j := finish(t, m, 3+testLeaseMS, "batch_1").Job
	require.Equal(t, JobExpired, j.Status)
	require.Equal(t, Counts{Total: 3, Succeeded: 1, Expired: 2}, j.Counts)
	require.NotEmpty(t, j.OutputFile)
	require.NotEmpty(t, j.ErrorFile)
}

func TestMaxQueuedLimitsNewJobs(t *testing.T) {
	m := New()
	c := jobOf("lab", "batch_1", "file-1", 3, chatTemplate)
	c.MaxQueued = 5
	mustCreate(t, m, 1, c, 3)
	second := *c
	second.ID = "batch_2"
	require.Equal(t, outcome.Overloaded, m.Apply(2, &Command{JobCreate: &second}).Err.Code)
}

func TestInputLineMaySpanRecords(t *testing.T) {
	m := New()
	first, second := refOf("a", 150), refOf("b", 52)
	m.Apply(1, &Command{FilePut: &FilePut{File: File{ID: "file-1", Workspace: "lab", Bytes: 202, Chunks: []Ref{first, second}}}})
	require.Nil(t, m.Apply(1, &Command{JobCreate: jobOf("lab", "batch_1", "file-1", 2, chatTemplate)}).Err)
	a := &testAgent{name: "a1", incarnation: 1}
	leases := a.lease(m, 2, 2, "bell-lm").Leases
	require.Equal(t, []Slice{{first, 0, 100}}, leases[0].Input)
	require.Equal(t, []Slice{{first, 101, 49}, {second, 0, 51}}, leases[1].Input)
}

func TestDamagedIndexIsRefused(t *testing.T) {
	for name, index := range map[string][]byte{
		"short":              {0x80},
		"unknown template":   {0, 10, 9},
		"beyond the file":    {0, 0xff, 0x7f, 0},
		"no template number": {0, 10},
	} {
		m := New()
		putFile(m, 1, "lab", "file-1", 1)
		c := jobOf("lab", "batch_1", "file-1", 1, chatTemplate)
		c.Index = index
		require.Equal(t, outcome.BadRequest, m.Apply(1, &Command{JobCreate: c}).Err.Code, name)
	}
}

func TestRetentionRemovesEndedJobs(t *testing.T) {
	m := New()
	c := jobOf("lab", "batch_1", "file-1", 1, chatTemplate)
	c.Key = "k"
	mustCreate(t, m, 1, c, 1)
	a := &testAgent{name: "a1", incarnation: 1}
	a.commit(m, 3, ResultSucceeded, outcome.Ran, idsOf(a.lease(m, 2, 1, "bell-lm").Leases)...)
	require.Nil(t, m.Apply(4, &Command{FileDelete: &FileDelete{Workspace: "lab", ID: "file-1"}}).Err)
	require.Nil(t, finish(t, m, 4, "batch_1").Err)
	require.Equal(t, JobCompleted, resendFinish(m, "batch_1").Status, "a resend of the command")
	f, err := m.File("lab", "batch_1-output")
	require.NoError(t, err)
	require.Equal(t, int64(1), f.Bytes)
	m.Apply(4+RetentionMS, &Command{Tick: &Tick{}})
	_, err = m.Job("lab", "batch_1")
	require.True(t, outcome.IsCode(err, outcome.JobNotFound))
	_, err = m.File("lab", "batch_1-output")
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
	m.ReferencedRecords(func(r Ref) { require.Fail(t, "record still referenced", r) })
}

func resendFinish(m *Machine, id string) *Job {
	return m.Apply(5, &Command{JobFinish: &JobFinish{ID: id}}).Job
}

func TestOpenJobCannotBeFinished(t *testing.T) {
	m := New()
	mustCreate(t, m, 1, jobOf("lab", "batch_1", "file-1", 1, chatTemplate), 1)
	require.NotNil(t, m.Apply(2, &Command{JobFinish: &JobFinish{ID: "batch_1"}}).Err)
	require.Equal(t, JobInProgress, jobState(t, m, "batch_1").Status)
}

// TestRunningJobKeepsExpiredInputFile checks that a running job keeps its input
// when the file is deleted past its retention.
func TestRunningJobKeepsExpiredInputFile(t *testing.T) {
	m := New()
	c := jobOf("lab", "batch_1", "file-1", 1, chatTemplate)
	c.WindowMS = 2 * RetentionMS
	mustCreate(t, m, 1, c, 1)
	require.False(t, m.NeedsTick(RetentionMS))
	require.True(t, m.NeedsTick(1+RetentionMS))
	m.Apply(1+RetentionMS, &Command{Tick: &Tick{}})
	_, err := m.File("lab", "file-1")
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
	a := &testAgent{name: "a1", incarnation: 1}
	leases := a.lease(m, 2+RetentionMS, 1, "bell-lm").Leases
	require.Len(t, leases[0].Input, 1)
	referenced := 0
	m.ReferencedRecords(func(Ref) { referenced++ })
	require.Equal(t, 1, referenced)
}
