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
	openAttempts = 20
	openPause    = 100 * time.Millisecond
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// contents reads a file from control. It must be closed.
type contents struct {
	stream *wire.Stream
	cancel context.CancelFunc
	rest   []byte
	ended  error // io.EOF or the failure, once the stream has ended
}

// openFile starts to read a file. It tries other control replicas while none
// could be reached.
func (a *API) openFile(workspace, id string) (*contents, error) {
	return tryOpen(func() (*contents, error) { return a.tryOpenFile(workspace, id) })
}

// openUpload starts an upload, in the same way.
func (a *API) openUpload(ctx context.Context) (*wire.Stream, error) {
	return tryOpen(func() (*wire.Stream, error) { return a.control.Open(ctx, rpc.MethodFilePut) })
}

// tryOpen repeats open while the failure is one that waiting helps with.
func tryOpen[T any](open func() (T, error)) (opened T, err error) {
	for range openAttempts {
		opened, err = open()
		if err == nil {
			return opened, nil
		}
		e := outcome.From(err)
		if e.Outcome != outcome.NotRun || e.Code.HTTPStatus() != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(openPause)
	}
	return opened, err
}

// tryOpenFile fetches the first part at once, so that a refusal comes before
// anything was passed on.
func (a *API) tryOpenFile(workspace, id string) (*contents, error) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	stream, err := a.control.Open(ctx, rpc.MethodFileGet)
	if err != nil {
		cancel()
		return nil, err
	}
	c := &contents{stream: stream, cancel: cancel}
	if err := stream.Send(&rpc.FileRef{Workspace: workspace, ID: id}); err != nil {
		_ = c.Close()
		return nil, outcome.New(outcome.Unreachable, outcome.NotRun, "read file: %v", err)
	}
	if err := c.fill(); err != nil && !errors.Is(err, io.EOF) {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// fill receives the next part. It returns io.EOF at the end of the file.
func (c *contents) fill() error {
	if c.ended != nil {
		return c.ended
	}
	var chunk rpc.FileChunk
	err := c.stream.Recv(&chunk)
	if err == nil {
		c.rest = chunk.Data
		return nil
	}
	var refusal *outcome.Error
	switch {
	case errors.Is(err, io.EOF):
		c.ended = io.EOF
	case errors.As(err, &refusal):
		c.ended = refusal
	default:
		c.ended = outcome.New(outcome.Unreachable, outcome.NotRun, "read file: %v", err)
	}
	return c.ended
}

// Read implements io.Reader.
func (c *contents) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close releases the stream.
func (c *contents) Close() error {
	c.cancel()
	return c.stream.Close()
}
