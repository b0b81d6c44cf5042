package agent

import (
	"bufio"
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
	maxDocumentBytes  = 64 << 20 // of an answer that is checked as a whole
	minPaceTokens     = 4
	serverErrorStatus = http.StatusInternalServerError
)

// passedHeaders are the headers of an answer that go back to the caller.
var passedHeaders = []string{"Content-Type", "Content-Encoding", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

// exchange writes the request to conn, reads the answer and passes it on.
func (x *execution) exchange(ctx context.Context, conn *targetconn.Conn, out sink) error {
	request, err := x.httpRequest()
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return endedEarly(ctx, outcome.NotRun)
	}
	if err := x.begin(out); err != nil {
		return err
	}
	if err := request.Write(conn); err != nil && ctx.Err() != nil {
		return broken(err)
	}
	// A target may answer and close before it has read the whole request.
	started := time.Now()
	response, err := readFinal(conn.Reader, request)
	if err != nil {
		return broken(err)
	}
	defer response.Body.Close()
	x.status = response.StatusCode
	if err := x.checkHead(response); err != nil {
		return err
	}
	if err := x.passAnswer(response, out); err != nil {
		return err
	}
	if x.info.Kind == bundle.KindService {
		x.pace = time.Since(started)
		x.whole = response.StatusCode < serverErrorStatus
	} else {
		x.whole = true
	}
	x.reusable = !response.Close && !x.unread
	return nil
}

// readFinal reads an answer and skips interim ones.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

func (x *execution) httpRequest() (*http.Request, error) {
	target, err := url.ParseRequestURI(x.open.Path)
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "path: %v", err)
	}
	request := &http.Request{
		Method:        x.open.HTTPMethod,
		URL:           target,
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
		request.Header.Del("Accept-Encoding") // the agent reads a model's answers
	}
	request.Header.Set(requestIDHeader, x.open.ID.RequestID)
	if x.open.Workspace != "" {
		request.Header.Set(workspaceHeader, x.open.Workspace)
	}
	return request, nil
}

// checkHead refuses answers that are not for this request, and failures of
// the engine itself.
func (x *execution) checkHead(response *http.Response) error {
	echoed := response.Header.Get(requestIDHeader)
	if echoed != "" && echoed != x.open.ID.RequestID {
		return badAnswer("answer is for another request")
	}
	if x.info.Kind == bundle.KindModel && response.StatusCode >= serverErrorStatus {
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "target %s answered %s", x.target.id, response.Status)
	}
	if x.info.EchoesRequestID && echoed == "" && response.StatusCode < http.StatusBadRequest {
		return badAnswer("answer does not name its request")
	}
	return nil
}

func (x *execution) passAnswer(response *http.Response, out sink) error {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	switch {
	case x.info.Kind != bundle.KindModel || response.StatusCode >= http.StatusBadRequest:
		return x.passBytes(response, out)
	case strings.TrimSpace(mediaType) == eventStreamType:
		return x.passEvents(response, out)
	default:
		return x.passDocument(response, out)
	}
}

// passBytes passes a service's answer on as it comes.
func (x *execution) passBytes(response *http.Response, out sink) error {
	if err := out.head(response.StatusCode, answerHeaders(response)); err != nil {
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
			return endSink(out)
		}
		if err != nil {
			return broken(err)
		}
	}
}

// passDocument passes a model's JSON answer on once it is whole and known to
// be for this request.
func (x *execution) passDocument(response *http.Response, out sink) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err != nil {
		return broken(err)
	}
	if len(body) > maxDocumentBytes {
		return badAnswer("answer exceeds its size limit")
	}
	if x.info.EchoesRequestID {
		if err := checkDocument(body, x.open.ID.RequestID); err != nil {
			return err
		}
	}
	if err := out.head(response.StatusCode, answerHeaders(response)); err != nil {
		return callerGone()
	}
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if err := out.data(body[:n], 0); err != nil {
			return callerGone()
		}
		body = body[n:]
	}
	return endSink(out)
}

// passEvents passes a stream on, event by event. It is whole only with the
// end mark.
func (x *execution) passEvents(response *http.Response, out sink) error {
	if err := out.head(response.StatusCode, answerHeaders(response)); err != nil {
		return callerGone()
	}
	reader := eventReader{requestID: x.open.ID.RequestID, checkID: x.info.EchoesRequestID}
	chunk := x.agent.chunks.Get().(*[]byte)
	defer x.agent.chunks.Put(chunk)
	buf := *chunk
	reading := time.Duration(0)
	for !reader.done {
		began := time.Now()
		n, err := response.Body.Read(buf)
		if reader.tokens > 0 {
			reading += time.Since(began)
		}
		events, faulty := reader.feed(buf[:n])
		fresh := reader.tokens - x.tokens
		x.tokens = reader.tokens
		if faulty != nil {
			return faulty
		}
		if len(events) > 0 && out.data(events, fresh) != nil {
			return callerGone()
		}
		if err != nil && !reader.done {
			return broken(err)
		}
	}
	if x.tokens >= minPaceTokens {
		x.pace = reading / time.Duration(x.tokens-1)
	}
	// The answer is whole; what follows only decides about the connection.
	rest, err := io.Copy(io.Discard, io.LimitReader(response.Body, chunkBytes))
	x.unread = rest > 0 || err != nil || len(reader.pending) > 0
	return endSink(out)
}

func answerHeaders(response *http.Response) []rpc.Header {
	var headers []rpc.Header
	for _, name := range passedHeaders {
		for _, value := range response.Header.Values(name) {
			headers = append(headers, rpc.Header{Name: name, Value: value})
		}
	}
	return headers
}

func endSink(out sink) error {
	if err := out.end(); err != nil {
		return callerGone()
	}
	return nil
}

func callerGone() *outcome.Error {
	return outcome.New(outcome.CallerGone, outcome.MayHaveRun, "the caller left")
}

func broken(err error) *outcome.Error {
	return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "connection to the target broke: %v", err)
}
