package batchapi

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

func TestJobOverHTTP(t *testing.T) {
	f := startFixture(t)
	const items = 300
	input := chatLines(items)
	file := f.mustUpload(input)
	require.Equal(t, int64(len(input)), file.Bytes)
	require.Equal(t, "plans.jsonl", file.Filename)
	status, contents := f.get("/v1/files/" + file.ID + "/content")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, input, string(contents))

	status, answer := f.create(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, http.StatusOK, status, string(answer))
	job := decode[jobObject](t, answer)
	require.Equal(t, "in_progress", job.Status)
	require.Equal(t, requestCounts{Total: items}, job.RequestCounts)
	require.Equal(t, map[string]string{"round": "7"}, job.Metadata)
	require.Equal(t, int64(30*60), *job.ExpiresAt-*job.CreatedAt)
	_, answer = f.create(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, job.ID, decode[jobObject](t, answer).ID, "a resent job is one job")
	status, _ = f.do(keyLab, http.MethodDelete, "/v1/files/"+file.ID, "", nil)
	require.Equal(t, http.StatusOK, status)
	_, answer = f.create(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, job.ID, decode[jobObject](t, answer).ID, "also when its file is gone")
	other := f.mustUpload(input)
	status, _ = f.create(other.ID, "Idempotency-Key", "evening")
	require.Equal(t, http.StatusUnprocessableEntity, status, "the key belongs to another request")

	f.runAll(items)
	require.Eventually(t, func() bool {
		_, answer = f.get("/v1/batches/" + job.ID)
		job = decode[jobObject](t, answer)
		return job.Status == "completed"
	}, liveness, waitStep)
	require.Equal(t, requestCounts{Total: items, Completed: items - 1, Failed: 1}, job.RequestCounts)
	_, output := f.get("/v1/files/" + *job.OutputFileID + "/content")
	require.Equal(t, items-1, strings.Count(string(output), "\n"))
	_, failures := f.get("/v1/files/" + *job.ErrorFileID + "/content")
	line := decode[batch.ResultLine](t, failures)
	require.Equal(t, "item-0", line.CustomID)
	require.Equal(t, "405", line.Error.Code)
}

// runAll pulls and commits all items; the first one fails each attempt.
func (f *fixture) runAll(items int) {
	f.t.Helper()
	for request, open := uint64(1), items; open > 0; request++ {
		var pulled rpc.ItemsPulled
		pull := rpc.ItemsPull{Agent: "a1", Incarnation: 1, Request: request, LeaseMS: 60_000, Wants: []batch.Want{{Model: "bell-lm", Max: 64}}}
		require.NoError(f.t, f.control.CallAgain(f.t.Context(), rpc.MethodItemsPull, &pull, &pulled))
		commit := rpc.ItemsCommit{Group: 1, Agent: "a1"}
		for _, item := range pulled.Items {
			result := batch.ItemResult{ID: item.Lease.ID, Status: batch.ResultSucceeded, Offset: uint32(len(commit.Payload))}
			if item.Lease.ID.Item == 0 {
				result.Status = batch.ResultRetry
			} else {
				commit.Payload = append(commit.Payload, []byte("{}\n")...)
				result.Length = 3
			}
			if result.Status == batch.ResultSucceeded || item.Lease.ID.Attempt == 3 {
				open--
			}
			commit.Results = append(commit.Results, result)
		}
		require.NoError(f.t, f.control.CallAgain(f.t.Context(), rpc.MethodItemsCommit, &commit, &rpc.ItemsCommitted{}))
	}
}

func TestCancelAndLists(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(chatLines(2))
	var ids []string
	for range 3 {
		_, answer := f.create(file.ID)
		ids = append(ids, decode[jobObject](t, answer).ID)
	}
	_, answer := f.get("/v1/batches?limit=2")
	first := decode[list[jobObject]](t, answer)
	require.True(t, first.HasMore)
	require.Equal(t, ids[2], first.FirstID)
	_, answer = f.get("/v1/batches?limit=2&after=" + first.LastID)
	second := decode[list[jobObject]](t, answer)
	require.False(t, second.HasMore)
	require.Len(t, second.Data, 1)
	require.Equal(t, ids[0], second.Data[0].ID)

	status, answer := f.do(keyLab, http.MethodPost, "/v1/batches/"+ids[0]+"/cancel", "", nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, []string{"cancelling", "cancelled"}, decode[jobObject](t, answer).Status)
	require.Eventually(t, func() bool {
		_, answer = f.get("/v1/batches/" + ids[0])
		return decode[jobObject](t, answer).Status == "cancelled"
	}, liveness, waitStep)

	_, answer = f.get("/v1/files")
	require.Len(t, decode[list[fileObject]](t, answer).Data, 2, "the input and the error file of the cancelled batch")
	status, answer = f.do(keyLab, http.MethodDelete, "/v1/files/"+file.ID, "", nil)
	require.Equal(t, http.StatusOK, status)
	require.True(t, decode[deletedObject](t, answer).Deleted)
	status, _ = f.get("/v1/files/" + file.ID)
	require.Equal(t, http.StatusNotFound, status)
}

func TestOtherWorkspaceSeesNothing(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(chatLines(1))
	_, answer := f.create(file.ID)
	job := decode[jobObject](t, answer)
	for path, method := range map[string]string{
		"/v1/files/" + file.ID:                http.MethodGet,
		"/v1/files/" + file.ID + "/content":   http.MethodGet,
		"/v1/batches/" + job.ID:               http.MethodGet,
		"/v1/batches/" + job.ID + "/cancel":   http.MethodPost,
		"/v1/files/" + file.ID + "?delete=it": http.MethodDelete,
	} {
		status, _ := f.do(keyOffice, method, path, "", nil)
		require.Equal(t, http.StatusNotFound, status, path)
	}
	status, _ := f.do("withdrawn", http.MethodGet, "/v1/batches", "", nil)
	require.Equal(t, http.StatusUnauthorized, status)
}

func TestUploadFaults(t *testing.T) {
	f := startFixture(t)
	status, _ := f.upload(chatLine(1), false, "batch")
	require.Equal(t, http.StatusOK, status, "the purpose may follow the file")
	status, _ = f.upload(chatLine(1), false, "fine-tune")
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = f.upload(strings.Repeat(" ", 400_001), true, "batch")
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = f.do(keyLab, http.MethodPost, "/v1/files", "application/json", strings.NewReader("{}"))
	require.Equal(t, http.StatusBadRequest, status)
	_, answer := f.get("/v1/files")
	require.Len(t, decode[list[fileObject]](t, answer).Data, 1, "faulty uploads leave no file")
}

func TestFaultyLinesAreNamed(t *testing.T) {
	f := startFixture(t)
	for name, faulty := range map[string]string{
		"not JSON":        `{"custom_id":`,
		"no id":           strings.Replace(chatLine(1), "item-1", "", 1),
		"same id":         chatLine(0),
		"method":          strings.Replace(chatLine(1), "POST", "GET", 1),
		"url":             strings.Replace(chatLine(1), "/v1/chat/completions", "/v1/other", 1),
		"model unknown":   strings.Replace(chatLine(1), "bell-lm", "other", 1),
		"model forbidden": strings.Replace(chatLine(1), "bell-lm", "advisor-llm", 1),
		"service":         strings.Replace(chatLine(1), "bell-lm", "dispatch", 1),
		"streamed":        strings.Replace(chatLine(1), `"messages"`, `"stream":true,"messages"`, 1),
		"reserved":        strings.Replace(chatLine(1), `"messages"`, `"resume_from_tokens":1,"messages"`, 1),
		"no body":         `{"custom_id":"x","method":"POST","url":"/v1/chat/completions"}`,
		"key":             strings.Replace(chatLine(1), `"messages":[]`, `"user":"`+keyLab+`"`, 1),
		"too long":        strings.Replace(chatLine(1), "[]", `"`+strings.Repeat("x", 7_000)+`"`, 1),
	} {
		file := f.mustUpload("\n" + chatLine(0) + faulty)
		status, answer := f.create(file.ID)
		require.Equal(t, http.StatusBadRequest, status, name)
		e := decode[httpapi.ErrorBody](t, answer)
		require.Equal(t, "402", e.Error.Code, name)
		require.Contains(t, e.Error.Message, "line 3: ", name)
		require.Equal(t, "not_run", e.Error.Outcome)
	}
	file := f.mustUpload(strings.Replace(chatLine(1), "/v1/chat/completions", "/v1/files", 1))
	body := `{"input_file_id":"` + file.ID + `","completion_window":"24h"}`
	status, answer := f.do(keyLab, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body))
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, string(answer), "is not one that items may use")
	file = f.mustUpload(chatLines(1001))
	_, answer = f.create(file.ID)
	require.Contains(t, decode[httpapi.ErrorBody](t, answer).Error.Message, "line 1001: more than 1000 items")
	file = f.mustUpload("\n\n")
	_, answer = f.create(file.ID)
	require.Equal(t, "402", decode[httpapi.ErrorBody](t, answer).Error.Code)
	status, _ = f.create("file-none")
	require.Equal(t, http.StatusNotFound, status)
}

func TestWindowsAndServices(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(`{"custom_id":"a","method":"POST","url":"/v1/services/dispatch/plans","body":{"shop":4}}`)
	post := func(window string) int {
		body := `{"input_file_id":"` + file.ID + `","completion_window":"` + window + `"}`
		status, answer := f.do(keyLab, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body))
		if status != http.StatusOK {
			require.Equal(t, "100", decode[httpapi.ErrorBody](t, answer).Error.Code)
		}
		return status
	}
	require.Equal(t, http.StatusOK, post("24h"))
	require.Equal(t, http.StatusOK, post("90m"))
	for _, window := range []string{"", "soon", "-1h", "0s", "1000h"} {
		require.Equal(t, http.StatusBadRequest, post(window), window)
	}
	var pulled rpc.ItemsPulled
	pull := rpc.ItemsPull{Agent: "a1", Incarnation: 1, Request: 1, LeaseMS: 60_000, Wants: []batch.Want{{Model: "dispatch", Max: 1}}}
	require.NoError(t, f.control.CallAgain(t.Context(), rpc.MethodItemsPull, &pull, &pulled))
	template := pulled.Items[0].Lease.Template
	require.Equal(t, batch.Template{Model: "dispatch", Path: "/plans", Method: "POST", TimeoutMS: 5_000}, template)
}
