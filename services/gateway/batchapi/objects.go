package batchapi

import "banyanwalk/core/batch"

// fileObject is a file in the representation of the OpenAI API.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt *int64 `json:"created_at"` // Unix seconds
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(f *batch.File) fileObject {
	return fileObject{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: unixSeconds(f.CreatedMS),
		Filename: f.Name, Purpose: f.Purpose, Status: "processed",
	}
}

// deletedObject is the response to a deletion.
type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// list is one page of a list of objects.
type list[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func newList[T any](objects []T, more bool, id func(T) string) list[T] {
	l := list[T]{Object: "list", Data: objects, HasMore: more}
	if len(objects) > 0 {
		l.FirstID, l.LastID = id(objects[0]), id(objects[len(objects)-1])
	}
	return l
}

// jobObject is a batch in the representation of the OpenAI API. Times are Unix
// seconds.
type jobObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *struct{}         `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        *int64            `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        *int64            `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

// requestCounts counts the items of a batch by status.
type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Expired   int `json:"expired"`
}

func newJobObject(j *batch.Job) jobObject {
	o := jobObject{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.InputFile, CompletionWindow: j.Window,
		Status: j.StatusName(), OutputFileID: stringOrNil(j.OutputFile), ErrorFileID: stringOrNil(j.ErrorFile),
		CreatedAt: unixSeconds(j.CreatedMS), InProgressAt: unixSeconds(j.CreatedMS), ExpiresAt: unixSeconds(j.DueMS),
		FinalizingAt: unixSeconds(j.SettledMS), CancellingAt: unixSeconds(j.CancellingMS), Metadata: j.Metadata,
		RequestCounts: requestCounts{
			Total: j.Counts.Total, Completed: j.Counts.Succeeded, Failed: j.Counts.Failed,
			Cancelled: j.Counts.Cancelled, Expired: j.Counts.Expired,
		},
	}
	switch j.Status {
	case batch.JobCompleted:
		o.CompletedAt = unixSeconds(j.EndedMS)
	case batch.JobCancelled:
		o.CancelledAt = unixSeconds(j.EndedMS)
	case batch.JobExpired:
		o.ExpiredAt = unixSeconds(j.EndedMS)
	}
	return o
}

func stringOrNil(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
