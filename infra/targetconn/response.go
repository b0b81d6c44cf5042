package targetconn

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the header of a response, with the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// headTimeout bounds the time from the first byte of a response to the end of its
	// header. The wait for the first byte is the caller's to bound.
	headTimeout = 2 * time.Second
	unlimited   = math.MaxInt64
)

// ErrHeadTooLong means that the header of a response exceeds its size limit.
var ErrHeadTooLong = errors.Newf("the header of the response exceeds %d bytes", maxHeadBytes)

// readLimit bounds the bytes that are read from a connection.
type readLimit struct {
	source io.Reader
	left   int64
}

// Read reads up to the limit and then fails with ErrHeadTooLong.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	if l.left != unlimited {
		l.left -= int64(n)
	}
	return n, err
}

// RequireWritten makes the body of a response fail where it would end with its connection
// though the request was not written completely. written returns the error of the write,
// and waits for its end if it is under way.
//
// After a reset, the system reports it to one of the two that use the connection: if that
// is the one that writes, the one that reads gets a plain end of file. A body with a length
// or chunks tells its end by itself.
func RequireWritten(response *http.Response, written func() error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframedBody{ReadCloser: response.Body, written: written}
	}
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	written func() error
}

// Read reads the body. io.EOF means that it ended after the request was written.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.written(); writeErr != nil {
		return n, errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended before the request was written (%v)", writeErr)
	}
	return n, err
}

// ReadResponse reads the header of the response to a request and skips interim
// (1xx) responses. The header's size is bounded, and the time from its first byte
// to its last; the body is the caller's to bound. It fails with ErrMalformedResponse
// where net/http would take more for a response than the protocol allows. After an
// error, the connection must be closed.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	if _, err := c.Reader.Peek(1); err != nil {
		return nil, err
	}
	c.limit.left = maxHeadBytes
	if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return nil, err
	}
	for {
		fields, err := c.peekFraming()
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.Reader, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response, fields); err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			c.limit.left = unlimited
			return response, c.SetReadDeadline(time.Time{})
		}
	}
}
