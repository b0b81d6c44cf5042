package work

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/rpc"
)

func voterOf(voters []raft.ReplicaID, id, incarnation uint64) bool {
	for _, v := range voters {
		if v.ID == id && v.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// requireEachOnce checks that the output names each item of the job once.
func requireEachOnce(t *testing.T, output []byte, n int) {
	t.Helper()
	require.Equal(t, n, bytes.Count(output, []byte("\n")))
	for i := range n {
		require.Equal(t, 1, bytes.Count(output, fmt.Appendf(nil, `"custom_id":"item-%d"`, i)), "item %d", i)
	}
}

// TestJobOutlivesLeadersAndDisks kills the leader and loses two disks, one
// after the other, while a job runs. Each item completes once, and the output
// is readable from every host at the end.
func TestJobOutlivesLeadersAndDisks(t *testing.T) {
	const items, padding = 400, 4_000 // 1.6 MB of input, in two records
	f := startFleet(t, 1)
	contents, create := inputLines(items, padding)
	file := f.upload(0, create.InputFile, contents)
	require.Equal(t, int64(len(contents)), file.Bytes)
	require.Equal(t, contents, f.mustDownload(2, file.ID))

	var job, again batch.Job
	require.NoError(t, f.call(rpc.MethodJobCreate, create, &job))
	resent := *create
	resent.ID = "batch_2"
	require.NoError(t, f.call(rpc.MethodJobCreate, &resent, &again))
	require.Equal(t, "batch_1", again.ID)

	a := &testAgent{f: f, name: "a1"}
	done := 0
	for round := 0; done < items; round++ {
		pulled := a.pull(20)
		switch round {
		case 4: // the leader dies with items in flight
			lost := f.leader(1)
			f.hosts[lost].stop()
			require.Len(t, a.commit(pulled), len(pulled))
			f.start(lost, nil)
		case 8, 12:
			f.loseDisk(round / 4 % fleetSize)
		}
		for _, v := range a.commit(pulled) {
			require.Zero(t, v.Code, "also when it was committed before")
			done++
		}
	}
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: items, Succeeded: items}, ended.Counts)
	for i := range f.hosts {
		requireEachOnce(t, f.mustDownload(i, ended.OutputFile), items)
	}

	// A second host is lost right after the repair of a first one.
	f.loseDisk(0)
	f.hosts[1].stop()
	requireEachOnce(t, f.mustDownload(0, ended.OutputFile), items)
	requireEachOnce(t, f.mustDownload(2, ended.OutputFile), items)
}

// TestWorkersDieWhileLeadersChange lets agents die with items in flight, commit
// twice and commit each other's items, while leaders are stopped in turn.
func TestWorkersDieWhileLeadersChange(t *testing.T) {
	const items, agents, leaders, seed = 1200, 4, 4, 403
	f := startFleet(t, 1)
	contents, create := inputLines(items, 100)
	f.upload(0, create.InputFile, contents)
	var job batch.Job
	require.NoError(t, f.call(rpc.MethodJobCreate, create, &job))
	var done atomic.Int64
	var wg conc.WaitGroup
	for i := range agents {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			done.Add(int64(f.faultyAgent(string(rune('a'+i)), random)))
		})
	}
	wg.Go(func() {
		for n := range leaders {
			share := items * (n + 1) / (leaders + 2)
			require.Eventually(t, func() bool { return f.job("batch_1").Counts.Succeeded >= share }, liveness, 10*time.Millisecond)
			lost := f.leader(1)
			f.hosts[lost].stop()
			f.start(lost, nil)
		}
	})
	wg.Wait()
	require.Equal(t, int64(items), done.Load(), "each item is accepted once")
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: items, Succeeded: items}, ended.Counts)
	requireEachOnce(t, f.mustDownload(1, ended.OutputFile), items)
}

// faultyAgent works until nothing is left and returns the number of results
// that were accepted for the first time.
func (f *testFleet) faultyAgent(name string, random *rand.Rand) int {
	a := &testAgent{f: f, name: name, life: 1}
	accepted := 0
	for {
		pulled := a.pull(1 + random.IntN(16))
		if len(pulled) == 0 && f.job("batch_1").Status.Ended() {
			return accepted
		}
		if len(pulled) > 0 && random.IntN(10) == 0 { // dies, and comes back
			a.life++
			a.request = 0
			continue
		}
		thief := &testAgent{f: f, name: name + "-other"}
		for _, v := range thief.commit(pulled) {
			require.Equal(f.t, outcome.ItemSuperseded, v.Code, "a result of an agent without the lease")
		}
		for range 1 + random.IntN(2) {
			for _, v := range a.commit(pulled) {
				require.Contains(f.t, []outcome.Code{0, outcome.JobEnded}, v.Code)
			}
		}
		accepted += len(pulled)
	}
}

func TestCancelledJobStops(t *testing.T) {
	f := startFleet(t, 2)
	contents, create := inputLines(10, 10)
	f.upload(1, create.InputFile, contents)
	var job batch.Job
	require.NoError(t, f.call(rpc.MethodJobCreate, create, &job))
	a := &testAgent{f: f, name: "a1"}
	var pulled []rpc.PulledItem
	for len(pulled) == 0 {
		pulled = a.pull(4)
	}
	require.Zero(t, a.commit(pulled[:1])[0].Code)
	require.NoError(t, f.call(rpc.MethodJobCancel, &rpc.JobRef{Workspace: lab, ID: "batch_1"}, &job))
	require.Equal(t, batch.JobCancelling, job.Status)
	require.Empty(t, a.pull(4))

	renew := &rpc.ItemsRenew{Group: pulled[1].Group, Agent: "a1", Incarnation: 1, LeaseMS: testLeaseMS}
	for _, item := range pulled[1:] {
		renew.Items = append(renew.Items, item.Lease.ID)
	}
	var renewed rpc.ItemsRenewed
	require.NoError(t, f.call(rpc.MethodItemsRenew, renew, &renewed))
	require.Len(t, renewed.Stopped, len(pulled)-1)
	for _, v := range a.commit(pulled[1:]) {
		require.Equal(t, outcome.JobCancelled, v.Code)
	}
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: 10, Succeeded: 1, Cancelled: 9}, ended.Counts)
	require.Equal(t, 1, bytes.Count(f.mustDownload(0, ended.OutputFile), []byte("\n")))
	failures := f.mustDownload(0, ended.ErrorFile)
	require.Equal(t, 9, bytes.Count(failures, []byte(`"code":"409"`)))
	require.Equal(t, 1, bytes.Count(failures, []byte(`"custom_id":"item-9"`)))
}

func TestIdleAgentWaitsUntilAJobComes(t *testing.T) {
	f := startFleet(t, 1)
	f.leader(1)
	contents, create := inputLines(1, 10)
	f.upload(0, create.InputFile, contents)
	pulled := make(chan rpc.ItemsPulled, 1)
	go func() {
		var p rpc.ItemsPulled
		request := &rpc.ItemsPull{Agent: "a1", Incarnation: 1, Request: 1, LeaseMS: testLeaseMS, WaitMS: 4_000, Wants: []batch.Want{{Model: "bell-lm", Max: 1}}}
		for n := 0; len(p.Items) == 0; n++ {
			request.Request++
			if f.call(rpc.MethodItemsPull, request, &p) != nil {
				break
			}
		}
		pulled <- p
	}()
	var job batch.Job
	require.NoError(t, f.call(rpc.MethodJobCreate, create, &job))
	select {
	case p := <-pulled:
		require.Len(t, p.Items, 1)
		require.Contains(t, string(p.Items[0].Input), "item-0")
	case <-time.After(liveness):
		require.Fail(t, "no item came")
	}
}

func TestIdempotencyRecords(t *testing.T) {
	f := startFleet(t, 2)
	begin := rpc.IdempotentBegin{Workspace: lab, Key: "k", RequestDigest: [16]byte{1}, Gateway: "g1", ClaimID: "r1", LeaseMS: testLeaseMS}
	ask := func(b rpc.IdempotentBegin) rpc.IdempotentBeginResult {
		var r rpc.IdempotentBeginResult
		require.NoError(t, f.call(rpc.MethodIdempotentBegin, &b, &r))
		return r
	}
	require.Equal(t, rpc.IdempotentWon, ask(begin).State)
	require.Equal(t, rpc.IdempotentWon, ask(begin).State)
	other := begin
	other.ClaimID = "r2"
	require.Equal(t, rpc.IdempotentPending, ask(other).State)
	other.RequestDigest = [16]byte{2}
	require.Equal(t, rpc.IdempotentMismatch, ask(other).State)

	end := rpc.IdempotentEnd{Workspace: lab, Key: "k", ClaimID: "r1", Answer: rpc.IdempotentAnswer{Status: 201, Body: []byte("quote")}}
	require.NoError(t, f.call(rpc.MethodIdempotentEnd, &end, &rpc.Ack{}))
	f.hosts[f.leader(f.hosts[0].service.groupOf("lab").id)].stop()
	other.RequestDigest = begin.RequestDigest
	done := ask(other)
	require.Equal(t, rpc.IdempotentDone, done.State)
	require.Equal(t, end.Answer, done.Answer)

	lost := begin
	lost.Key, lost.LeaseMS = "lost", 1
	require.Equal(t, rpc.IdempotentWon, ask(lost).State)
	lost.ClaimID = "r3"
	var answer rpc.IdempotentBeginResult
	require.Eventually(t, func() bool {
		answer = ask(lost)
		return answer.State == rpc.IdempotentDone
	}, liveness, 5*time.Millisecond)
	require.Equal(t, outcome.AlreadyAttempted.HTTPStatus(), answer.Answer.Status)
	require.Contains(t, string(answer.Answer.Body), `"may_have_run"`)
}

func TestReclaimKeepsWhatTheGroupsName(t *testing.T) {
	f := startFleet(t, 2)
	contents, create := inputLines(50, 100)
	f.upload(0, create.InputFile, contents)
	f.upload(0, "file-gone", bytes.Repeat([]byte("gone"), 1000))
	require.NoError(t, f.call(rpc.MethodFileDelete, &rpc.FileRef{Workspace: lab, ID: "file-gone"}, &rpc.Ack{}))
	for i, h := range f.hosts {
		f.mustDownload(i, create.InputFile)
		require.Eventually(t, func() bool {
			return h.service.reclaimOnce(t.Context(), time.Now().Add(time.Hour)) == nil
		}, liveness, 10*time.Millisecond)
		require.Equal(t, contents, f.mustDownload(i, create.InputFile))
	}
	_, err := f.download(0, lab, "file-gone")
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
	var list rpc.FileList
	require.NoError(t, f.call(rpc.MethodFileList, &rpc.ListRequest{Workspace: lab, Limit: 10}, &list))
	require.Len(t, list.Files, 1)
	_, err = f.download(0, "association", create.InputFile)
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
}
