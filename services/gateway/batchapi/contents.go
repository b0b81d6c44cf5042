package batchapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	maxOpenAttempts = 20
	openRetryDelay  = 100 * time.Millisecond
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// fileReader streams the contents of a file from control. It must be closed.
type fileReader struct {
	stream   *wire.Stream
	cancel   context.CancelFunc
	buffered []byte
	endErr   error // io.EOF or the error that ended the stream; nil before
}

// openFile opens a file for reading. It retries while control is unavailable.
func (a *API) openFile(workspace, id string) (*fileReader, error) {
	return openWithRetry(func() (*fileReader, error) { return a.openFileOnce(workspace, id) })
}

// openUpload opens the stream of an upload, with the same retries.
func (a *API) openUpload(ctx context.Context) (*wire.Stream, error) {
	return openWithRetry(func() (*wire.Stream, error) { return a.control.Open(ctx, rpc.MethodFilePut) })
}

// openWithRetry retries open while it fails with 503 Service Unavailable before
// anything was run, at most maxOpenAttempts times.
func openWithRetry[T any](open func() (T, error)) (opened T, err error) {
	for range maxOpenAttempts {
		opened, err = open()
		if err == nil {
			return opened, nil
		}
		e := outcome.From(err)
		if e.Outcome != outcome.NotRun || e.Code.HTTPStatus() != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(openRetryDelay)
	}
	return opened, err
}

// openFileOnce opens a file without retries. It receives the first chunk, so that
// a refusal is returned before any contents are sent to the client.
func (a *API) openFileOnce(workspace, id string) (*fileReader, error) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	stream, err := a.control.Open(ctx, rpc.MethodFileGet)
	if err != nil {
		cancel()
		return nil, err
	}
	r := &fileReader{stream: stream, cancel: cancel}
	if err := stream.Send(&rpc.FileRef{Workspace: workspace, ID: id}); err != nil {
		_ = r.Close()
		return nil, outcome.New(outcome.Unreachable, outcome.NotRun, "read file: %v", err)
	}
	if err := r.receive(); err != nil && !errors.Is(err, io.EOF) {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// receive receives the next chunk. It returns io.EOF at the end of the file.
func (r *fileReader) receive() error {
	if r.endErr != nil {
		return r.endErr
	}
	var chunk rpc.FileChunk
	err := r.stream.Recv(&chunk)
	if err == nil {
		r.buffered = chunk.Data
		return nil
	}
	var refusal *outcome.Error
	switch {
	case errors.Is(err, io.EOF):
		r.endErr = io.EOF
	case errors.As(err, &refusal):
		r.endErr = refusal
	default:
		r.endErr = outcome.New(outcome.Unreachable, outcome.NotRun, "read file: %v", err)
	}
	return r.endErr
}

// Read implements io.Reader.
func (r *fileReader) Read(p []byte) (int, error) {
	for len(r.buffered) == 0 {
		if err := r.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

// Close cancels the download and releases the stream.
func (r *fileReader) Close() error {
	r.cancel()
	return r.stream.Close()
}
