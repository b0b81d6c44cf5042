package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/targetconn"
)

const (
	requestIDHeader   = "X-Request-Id"
	workspaceHeader   = "X-Workspace"
	eventStreamType   = "text/event-stream"
	userAgent         = "banyan-agent"
	chunkBytes        = 64 << 10
	maxDocumentBytes  = 8 << 20 // of a response that is buffered and verified before it is forwarded
	minTimedTokens    = 4       // fewest streamed tokens from which a time per token is computed
	serverErrorStatus = http.StatusInternalServerError
)

// forwardedHeaders are the response headers that are returned to the caller.
var forwardedHeaders = []string{"Content-Type", "Content-Encoding", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

// exchange executes the request on conn and forwards the response to out.
func (x *execution) exchange(ctx context.Context, conn *targetconn.Conn, out sink) error {
	request, err := x.httpRequest()
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.NotRun)
	}
	if err := x.beginSend(out); err != nil {
		return err
	}
	return x.roundTrip(ctx, conn, request, out)
}

// roundTrip writes the request to conn, reads the response and forwards it to out.
func (x *execution) roundTrip(ctx context.Context, conn *targetconn.Conn, request *http.Request, out sink) error {
	writeErr := request.Write(conn)
	if writeErr != nil && ctx.Err() != nil {
		return connectionBroken(writeErr)
	}
	// A failed write is not final: a target may respond and close the connection
	// before it has read the whole request. A response that ends with the connection is
	// then incomplete.
	started := time.Now()
	// The body is not closed: Close would read it to its end, which may never come. The
	// connection is reused only if the body was read to its end, and closed otherwise.
	response, err := conn.ReadResponse(request) //nolint:bodyclose // see above
	if err != nil {
		return connectionBroken(err)
	}
	targetconn.RequireWritten(response, func() error { return writeErr })
	x.status = response.StatusCode
	if err := x.checkResponseHead(response); err != nil {
		return err
	}
	if err := x.forwardResponse(response, out); err != nil {
		return err
	}
	if x.info.Kind == bundle.KindService {
		x.timePerUnit = time.Since(started)
		x.complete = response.StatusCode < serverErrorStatus
	} else {
		x.complete = true
	}
	x.reusable = !response.Close && !x.trailingData
	return nil
}

func (x *execution) httpRequest() (*http.Request, error) {
	requestURL, err := url.ParseRequestURI(x.open.Path)
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "path: %v", err)
	}
	request := &http.Request{
		Method:        x.open.HTTPMethod,
		URL:           requestURL,
		Host:          x.target.pool.Address(),
		Header:        make(http.Header, len(x.open.Headers)+2),
		ContentLength: int64(len(x.open.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(x.open.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(x.open.Body))
	}
	for _, h := range x.open.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	if request.Header.Get("User-Agent") == "" {
		request.Header.Set("User-Agent", userAgent)
	}
	if x.info.Kind == bundle.KindModel {
		request.Header.Del("Accept-Encoding") // the agent must be able to parse a model's response
	}
	request.Header.Set(requestIDHeader, x.open.ID.RequestID)
	if x.open.Workspace != "" {
		request.Header.Set(workspaceHeader, x.open.Workspace)
	}
	return request, nil
}

// checkResponseHead rejects responses that belong to another request and, for
// models, server errors (5xx).
func (x *execution) checkResponseHead(response *http.Response) error {
	echoed := response.Header.Get(requestIDHeader)
	if echoed != "" && echoed != x.open.ID.RequestID {
		return invalidResponse("answer is for another request")
	}
	if x.info.Kind == bundle.KindModel && response.StatusCode >= serverErrorStatus {
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "target %s answered %s", x.target.id, response.Status)
	}
	if x.info.EchoesRequestID && echoed == "" && response.StatusCode < http.StatusBadRequest {
		return invalidResponse("answer does not name its request")
	}
	return nil
}

func (x *execution) forwardResponse(response *http.Response, out sink) error {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	switch {
	case x.info.Kind != bundle.KindModel || response.StatusCode >= http.StatusBadRequest:
		return x.forwardBytes(response, out)
	case strings.TrimSpace(mediaType) == eventStreamType:
		return x.forwardEvents(response, out)
	default:
		return x.forwardDocument(response, out)
	}
}

// forwardBytes streams a service's response, or a model's error response, without
// verifying its body.
func (x *execution) forwardBytes(response *http.Response, out sink) error {
	if err := out.head(response.StatusCode, responseHeaders(response)); err != nil {
		return callerGone()
	}
	chunk := x.agent.chunks.Get().(*[]byte)
	defer x.agent.chunks.Put(chunk)
	buf := *chunk
	for {
		n, err := response.Body.Read(buf)
		if n > 0 && out.data(buf[:n], 0) != nil {
			return callerGone()
		}
		if errors.Is(err, io.EOF) {
			return finishSink(out)
		}
		if err != nil {
			return connectionBroken(err)
		}
	}
}

// forwardDocument buffers a model's JSON response, verifies that it belongs to
// this request, and only then forwards it.
func (x *execution) forwardDocument(response *http.Response, out sink) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err != nil {
		return connectionBroken(err)
	}
	if len(body) > maxDocumentBytes {
		return invalidResponse("answer exceeds its size limit")
	}
	if x.info.EchoesRequestID {
		if err := checkDocument(body, x.open.ID.RequestID); err != nil {
			return err
		}
	}
	if err := out.head(response.StatusCode, responseHeaders(response)); err != nil {
		return callerGone()
	}
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if err := out.data(body[:n], 0); err != nil {
			return callerGone()
		}
		body = body[n:]
	}
	return finishSink(out)
}

// forwardEvents verifies a stream of server-sent events and forwards it event by
// event. The stream is complete only if it ends with doneMarker.
func (x *execution) forwardEvents(response *http.Response, out sink) error {
	if err := out.head(response.StatusCode, responseHeaders(response)); err != nil {
		return callerGone()
	}
	reader := eventReader{requestID: x.open.ID.RequestID, checkID: x.info.EchoesRequestID}
	chunk := x.agent.chunks.Get().(*[]byte)
	defer x.agent.chunks.Put(chunk)
	buf := *chunk
	readTime := time.Duration(0)
	for !reader.done {
		began := time.Now()
		n, err := response.Body.Read(buf)
		if reader.tokens > 0 {
			readTime += time.Since(began)
		}
		events, checkErr := reader.feed(buf[:n])
		newTokens := reader.tokens - x.tokens
		x.tokens = reader.tokens
		if checkErr != nil {
			return checkErr
		}
		if len(events) > 0 && out.data(events, newTokens) != nil {
			return callerGone()
		}
		if err != nil && !reader.done {
			return connectionBroken(err)
		}
	}
	if x.tokens >= minTimedTokens {
		x.timePerUnit = readTime / time.Duration(x.tokens-1)
	}
	// The response is complete. Data after it only prevents the reuse of the
	// connection.
	trailing, err := io.Copy(io.Discard, io.LimitReader(response.Body, chunkBytes))
	x.trailingData = trailing > 0 || err != nil || len(reader.pending) > 0
	return finishSink(out)
}

func responseHeaders(response *http.Response) []rpc.Header {
	var headers []rpc.Header
	for _, name := range forwardedHeaders {
		for _, value := range response.Header.Values(name) {
			headers = append(headers, rpc.Header{Name: name, Value: value})
		}
	}
	return headers
}

func finishSink(out sink) error {
	if err := out.end(); err != nil {
		return callerGone()
	}
	return nil
}

func callerGone() *outcome.Error {
	return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller left")
}

func connectionBroken(err error) *outcome.Error {
	return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "connection to the target broke: %v", err)
}
