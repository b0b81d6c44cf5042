package workgroup

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

func isVoter(voters []raft.ReplicaID, id, incarnation uint64) bool {
	for _, v := range voters {
		if v.ID == id && v.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// requireEachItemOnce checks that the output contains each item of the job exactly once.
func requireEachItemOnce(t *testing.T, output []byte, n int) {
	t.Helper()
	require.Equal(t, n, bytes.Count(output, []byte("\n")))
	for i := range n {
		require.Equal(t, 1, bytes.Count(output, fmt.Appendf(nil, `"custom_id":"item-%d"`, i)), "item %d", i)
	}
}

// While a job runs, the leader is stopped with items in flight and two hosts lose their
// disks, one after the other. Each item must complete once, and the output must be readable
// through every host.
func TestJobSurvivesLeaderAndDiskLoss(t *testing.T) {
	const items, padding = 400, 4_000 // 1.6 MB of input, which takes two records
	f := startFleet(t, 1)
	contents, create := inputLines(items, padding)
	file := f.upload(0, create.InputFile, contents)
	require.Equal(t, int64(len(contents)), file.Bytes)
	require.Equal(t, contents, f.mustDownload(2, file.ID))

	var job, existing batch.Job
	require.NoError(t, f.call(rpc.MethodJobCreate, create, &job))
	resent := *create
	resent.ID = "batch_2"
	require.NoError(t, f.call(rpc.MethodJobCreate, &resent, &existing))
	require.Equal(t, "batch_1", existing.ID)

	a := &testAgent{f: f, name: "a1"}
	done := 0
	for round := 0; done < items; round++ {
		pulled := a.pull(20)
		switch round {
		case 4: // the leader is stopped with items in flight
			lost := f.leader(1)
			f.hosts[lost].stop()
			require.Len(t, a.commit(pulled), len(pulled))
			f.start(lost, nil)
		case 8, 12:
			f.loseDisk(round / 4 % fleetSize)
		}
		for _, v := range a.commit(pulled) {
			require.Zero(t, v.Code, "a repeated commit succeeds too")
			done++
		}
	}
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: items, Succeeded: items}, ended.Counts)
	for i := range f.hosts {
		requireEachItemOnce(t, f.mustDownload(i, ended.OutputFile), items)
	}

	// A second host is stopped right after the first was repaired.
	f.loseDisk(0)
	f.hosts[1].stop()
	requireEachItemOnce(t, f.mustDownload(0, ended.OutputFile), items)
	requireEachItemOnce(t, f.mustDownload(2, ended.OutputFile), items)
}

// Agents restart with items in flight, commit results twice and try to commit items leased
// to others, while leaders are restarted in turn. Each item must be accepted exactly once.
func TestJobSurvivesAgentAndLeaderFailures(t *testing.T) {
	const items, agents, leaderRestarts, seed = 1200, 4, 4, 403
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
			done.Add(int64(f.runFaultyAgent(string(rune('a'+i)), random)))
		})
	}
	wg.Go(func() {
		for n := range leaderRestarts {
			threshold := items * (n + 1) / (leaderRestarts + 2)
			require.Eventually(t, func() bool { return f.job("batch_1").Counts.Succeeded >= threshold }, eventualTimeout, 10*time.Millisecond)
			lost := f.leader(1)
			f.hosts[lost].stop()
			f.start(lost, nil)
		}
	})
	wg.Wait()
	require.Equal(t, int64(items), done.Load(), "each item must be accepted once")
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: items, Succeeded: items}, ended.Counts)
	requireEachItemOnce(t, f.mustDownload(1, ended.OutputFile), items)
}

// runFaultyAgent pulls and commits items until the job has ended, with injected faults. It
// returns the number of items that it completed.
func (f *testFleet) runFaultyAgent(name string, random *rand.Rand) int {
	a := &testAgent{f: f, name: name, incarnation: 1}
	accepted := 0
	for {
		pulled := a.pull(1 + random.IntN(16))
		if len(pulled) == 0 && f.job("batch_1").Status.Ended() {
			return accepted
		}
		if len(pulled) > 0 && random.IntN(10) == 0 { // restarts, with a new incarnation
			a.incarnation++
			a.request = 0
			continue
		}
		otherAgent := &testAgent{f: f, name: name + "-other"}
		for _, v := range otherAgent.commit(pulled) {
			require.Equal(f.t, outcome.ItemSuperseded, v.Code, "a result from an agent that does not hold the lease")
		}
		for range 1 + random.IntN(2) {
			for _, v := range a.commit(pulled) {
				require.Contains(f.t, []outcome.Code{0, outcome.JobEnded}, v.Code)
			}
		}
		accepted += len(pulled)
	}
}

func TestCancelStopsItemsInFlight(t *testing.T) {
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
	require.NoError(t, f.call(rpc.MethodJobCancel, &rpc.JobRef{Workspace: testWorkspace, ID: "batch_1"}, &job))
	require.Equal(t, batch.JobCancelling, job.Status)
	require.Empty(t, a.pull(4))

	renew := &rpc.ItemsRenew{Group: pulled[1].Group, Agent: "a1", Incarnation: 1, LeaseMS: testLeaseMS}
	for _, item := range pulled[1:] {
		renew.Items = append(renew.Items, item.Lease.ID)
	}
	var renewed rpc.ItemsRenewResponse
	require.NoError(t, f.call(rpc.MethodItemsRenew, renew, &renewed))
	require.Len(t, renewed.Stopped, len(pulled)-1)
	for _, v := range a.commit(pulled[1:]) {
		require.Equal(t, outcome.JobCancelled, v.Code)
	}
	ended := f.waitEnded()
	require.Equal(t, batch.Counts{Total: 10, Succeeded: 1, Cancelled: 9}, ended.Counts)
	require.Equal(t, 1, bytes.Count(f.mustDownload(0, ended.OutputFile), []byte("\n")))
	errorLines := f.mustDownload(0, ended.ErrorFile)
	require.Equal(t, 9, bytes.Count(errorLines, []byte(`"code":"409"`)))
	require.Equal(t, 1, bytes.Count(errorLines, []byte(`"custom_id":"item-9"`)))
}

func TestPullWaitsForQueuedItems(t *testing.T) {
	f := startFleet(t, 1)
	f.leader(1)
	contents, create := inputLines(1, 10)
	f.upload(0, create.InputFile, contents)
	pulled := make(chan rpc.ItemsPullResponse, 1)
	go func() {
		var p rpc.ItemsPullResponse
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
	case <-time.After(eventualTimeout):
		require.Fail(t, "the waiting pull returned no item")
	}
}

func TestIdempotencyRecords(t *testing.T) {
	f := startFleet(t, 2)
	begin := rpc.IdempotentBegin{Workspace: testWorkspace, Key: "k", RequestDigest: [16]byte{1}, Gateway: "g1", ClaimID: "r1", LeaseMS: testLeaseMS}
	mustBegin := func(b rpc.IdempotentBegin) rpc.IdempotentBeginResponse {
		var r rpc.IdempotentBeginResponse
		require.NoError(t, f.call(rpc.MethodIdempotentBegin, &b, &r))
		return r
	}
	require.Equal(t, rpc.IdempotentClaimed, mustBegin(begin).State)
	require.Equal(t, rpc.IdempotentClaimed, mustBegin(begin).State)
	other := begin
	other.ClaimID = "r2"
	require.Equal(t, rpc.IdempotentPending, mustBegin(other).State)
	other.RequestDigest = [16]byte{2}
	require.Equal(t, rpc.IdempotentMismatch, mustBegin(other).State)

	end := rpc.IdempotentEnd{Workspace: testWorkspace, Key: "k", ClaimID: "r1", Response: rpc.StoredResponse{Status: 201, Body: []byte("quote")}}
	require.NoError(t, f.call(rpc.MethodIdempotentEnd, &end, &rpc.Ack{}))
	f.hosts[f.leader(f.hosts[0].service.groupOf("lab").id)].stop()
	other.RequestDigest = begin.RequestDigest
	done := mustBegin(other)
	require.Equal(t, rpc.IdempotentDone, done.State)
	require.Equal(t, end.Response, done.Response)

	lost := begin
	lost.Key, lost.LeaseMS = "lost", 1
	require.Equal(t, rpc.IdempotentClaimed, mustBegin(lost).State)
	lost.ClaimID = "r3"
	var result rpc.IdempotentBeginResponse
	require.Eventually(t, func() bool {
		result = mustBegin(lost)
		return result.State == rpc.IdempotentDone
	}, eventualTimeout, 5*time.Millisecond)
	require.Equal(t, outcome.AlreadyAttempted.HTTPStatus(), result.Response.Status)
	require.Contains(t, string(result.Response.Body), `"may_have_run"`)
}

func TestReclaimKeepsReferencedRecords(t *testing.T) {
	f := startFleet(t, 2)
	contents, create := inputLines(50, 100)
	f.upload(0, create.InputFile, contents)
	f.upload(0, "file-gone", bytes.Repeat([]byte("gone"), 1000))
	require.NoError(t, f.call(rpc.MethodFileDelete, &rpc.FileRef{Workspace: testWorkspace, ID: "file-gone"}, &rpc.Ack{}))
	for i, h := range f.hosts {
		f.mustDownload(i, create.InputFile)
		require.Eventually(t, func() bool {
			return h.service.reclaimOnce(t.Context(), time.Now().Add(time.Hour)) == nil
		}, eventualTimeout, 10*time.Millisecond)
		require.Equal(t, contents, f.mustDownload(i, create.InputFile))
	}
	_, err := f.download(0, testWorkspace, "file-gone")
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
	var list rpc.FileList
	require.NoError(t, f.call(rpc.MethodFileList, &rpc.ListRequest{Workspace: testWorkspace, Limit: 10}, &list))
	require.Len(t, list.Files, 1)
	_, err = f.download(0, "association", create.InputFile)
	require.True(t, outcome.IsCode(err, outcome.FileNotFound))
}
