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

	status, response := f.createBatch(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, http.StatusOK, status, string(response))
	job := decode[jobObject](t, response)
	require.Equal(t, "in_progress", job.Status)
	require.Equal(t, requestCounts{Total: items}, job.RequestCounts)
	require.Equal(t, map[string]string{"round": "7"}, job.Metadata)
	require.Equal(t, int64(30*60), *job.ExpiresAt-*job.CreatedAt)
	_, response = f.createBatch(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, job.ID, decode[jobObject](t, response).ID, "a resent request creates no second job")
	status, _ = f.doRequest(keyLab, http.MethodDelete, "/v1/files/"+file.ID, "", nil)
	require.Equal(t, http.StatusOK, status)
	_, response = f.createBatch(file.ID, "Idempotency-Key", "evening")
	require.Equal(t, job.ID, decode[jobObject](t, response).ID, "a resent request succeeds after its input file was deleted")
	other := f.mustUpload(input)
	status, _ = f.createBatch(other.ID, "Idempotency-Key", "evening")
	require.Equal(t, http.StatusUnprocessableEntity, status, "the idempotency key was used for a different request")

	f.runAllItems(items)
	require.Eventually(t, func() bool {
		_, response = f.get("/v1/batches/" + job.ID)
		job = decode[jobObject](t, response)
		return job.Status == "completed"
	}, eventTimeout, pollInterval)
	require.Equal(t, requestCounts{Total: items, Completed: items - 1, Failed: 1}, job.RequestCounts)
	_, output := f.get("/v1/files/" + *job.OutputFileID + "/content")
	require.Equal(t, items-1, strings.Count(string(output), "\n"))
	_, failures := f.get("/v1/files/" + *job.ErrorFileID + "/content")
	line := decode[batch.ResultLine](t, failures)
	require.Equal(t, "item-0", line.CustomID)
	require.Equal(t, "405", line.Error.Code)
}

// runAllItems pulls all items and commits their results. The first item fails on
// every attempt, the others succeed.
func (f *fixture) runAllItems(items int) {
	f.t.Helper()
	for request, remaining := uint64(1), items; remaining > 0; request++ {
		var pulled rpc.ItemsPullResponse
		pull := rpc.ItemsPull{Agent: "a1", Incarnation: 1, Request: request, LeaseMS: 60_000, Wants: []batch.Want{{Model: "bell-lm", Max: 64}}}
		require.NoError(f.t, f.control.CallIdempotent(f.t.Context(), rpc.MethodItemsPull, &pull, &pulled))
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
				remaining--
			}
			commit.Results = append(commit.Results, result)
		}
		require.NoError(f.t, f.control.CallIdempotent(f.t.Context(), rpc.MethodItemsCommit, &commit, &rpc.ItemsCommitResponse{}))
	}
}

func TestCancelAndPagination(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(chatLines(2))
	var ids []string
	for range 3 {
		_, response := f.createBatch(file.ID)
		ids = append(ids, decode[jobObject](t, response).ID)
	}
	_, response := f.get("/v1/batches?limit=2")
	first := decode[list[jobObject]](t, response)
	require.True(t, first.HasMore)
	require.Equal(t, ids[2], first.FirstID)
	_, response = f.get("/v1/batches?limit=2&after=" + first.LastID)
	second := decode[list[jobObject]](t, response)
	require.False(t, second.HasMore)
	require.Len(t, second.Data, 1)
	require.Equal(t, ids[0], second.Data[0].ID)

	status, response := f.doRequest(keyLab, http.MethodPost, "/v1/batches/"+ids[0]+"/cancel", "", nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, []string{"cancelling", "cancelled"}, decode[jobObject](t, response).Status)
	require.Eventually(t, func() bool {
		_, response = f.get("/v1/batches/" + ids[0])
		return decode[jobObject](t, response).Status == "cancelled"
	}, eventTimeout, pollInterval)

	_, response = f.get("/v1/files")
	require.Len(t, decode[list[fileObject]](t, response).Data, 2, "the input and the error file of the cancelled batch")
	status, response = f.doRequest(keyLab, http.MethodDelete, "/v1/files/"+file.ID, "", nil)
	require.Equal(t, http.StatusOK, status)
	require.True(t, decode[deletedObject](t, response).Deleted)
	status, _ = f.get("/v1/files/" + file.ID)
	require.Equal(t, http.StatusNotFound, status)
}

func TestOtherWorkspacesAreInvisible(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(chatLines(1))
	_, response := f.createBatch(file.ID)
	job := decode[jobObject](t, response)
	for path, method := range map[string]string{
		"/v1/files/" + file.ID:                http.MethodGet,
		"/v1/files/" + file.ID + "/content":   http.MethodGet,
		"/v1/batches/" + job.ID:               http.MethodGet,
		"/v1/batches/" + job.ID + "/cancel":   http.MethodPost,
		"/v1/files/" + file.ID + "?delete=it": http.MethodDelete,
	} {
		status, _ := f.doRequest(keyOffice, method, path, "", nil)
		require.Equal(t, http.StatusNotFound, status, path)
	}
	status, _ := f.doRequest("withdrawn", http.MethodGet, "/v1/batches", "", nil)
	require.Equal(t, http.StatusUnauthorized, status)
}

func TestInvalidUploadsAreRefused(t *testing.T) {
	f := startFixture(t)
	status, _ := f.uploadForm(chatLine(1), false, "batch")
	require.Equal(t, http.StatusOK, status, "the purpose may follow the file")
	status, _ = f.uploadForm(chatLine(1), false, "fine-tune")
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = f.uploadForm(strings.Repeat(" ", 400_001), true, "batch")
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = f.doRequest(keyLab, http.MethodPost, "/v1/files", "application/json", strings.NewReader("{}"))
	require.Equal(t, http.StatusBadRequest, status)
	_, response := f.get("/v1/files")
	require.Len(t, decode[list[fileObject]](t, response).Data, 1, "invalid uploads leave no file")
}

func TestInvalidLinesAreReported(t *testing.T) {
	f := startFixture(t)
	for name, invalidLine := range map[string]string{
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
		file := f.mustUpload("\n" + chatLine(0) + invalidLine)
		status, response := f.createBatch(file.ID)
		require.Equal(t, http.StatusBadRequest, status, name)
		e := decode[httpapi.ErrorBody](t, response)
		require.Equal(t, "402", e.Error.Code, name)
		require.Contains(t, e.Error.Message, "line 3: ", name)
		require.Equal(t, "not_run", e.Error.Outcome)
	}
	file := f.mustUpload(strings.Replace(chatLine(1), "/v1/chat/completions", "/v1/files", 1))
	body := `{"input_file_id":"` + file.ID + `","completion_window":"24h"}`
	status, response := f.doRequest(keyLab, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body))
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, string(response), "is not one that items may use")
	file = f.mustUpload(chatLines(1001))
	_, response = f.createBatch(file.ID)
	require.Contains(t, decode[httpapi.ErrorBody](t, response).Error.Message, "line 1001: more than 1000 items")
	file = f.mustUpload("\n\n")
	_, response = f.createBatch(file.ID)
	require.Equal(t, "402", decode[httpapi.ErrorBody](t, response).Error.Code)
	status, _ = f.createBatch("file-none")
	require.Equal(t, http.StatusNotFound, status)
}

func TestCompletionWindowsAndServiceRoutes(t *testing.T) {
	f := startFixture(t)
	file := f.mustUpload(`{"custom_id":"a","method":"POST","url":"/v1/services/dispatch/plans","body":{"shop":4}}`)
	post := func(window string) int {
		body := `{"input_file_id":"` + file.ID + `","completion_window":"` + window + `"}`
		status, response := f.doRequest(keyLab, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body))
		if status != http.StatusOK {
			require.Equal(t, "100", decode[httpapi.ErrorBody](t, response).Error.Code)
		}
		return status
	}
	require.Equal(t, http.StatusOK, post("24h"))
	require.Equal(t, http.StatusOK, post("90m"))
	for _, window := range []string{"", "soon", "-1h", "0s", "1000h"} {
		require.Equal(t, http.StatusBadRequest, post(window), window)
	}
	var pulled rpc.ItemsPullResponse
	pull := rpc.ItemsPull{Agent: "a1", Incarnation: 1, Request: 1, LeaseMS: 60_000, Wants: []batch.Want{{Model: "dispatch", Max: 1}}}
	require.NoError(t, f.control.CallIdempotent(t.Context(), rpc.MethodItemsPull, &pull, &pulled))
	template := pulled.Items[0].Lease.Template
	require.Equal(t, batch.Template{Model: "dispatch", Path: "/plans", Method: "POST", TimeoutMS: 5_000}, template)
}
