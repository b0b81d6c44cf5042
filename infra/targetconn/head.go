package targetconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse means that a response breaks a rule on which its framing, or where
// it ends, depends. docs/design/0022-responses-of-targets.md lists the rules.
var ErrMalformedResponse = errors.New("malformed response")

const maxStatus = 599

// framingFields tells which fields of a head frame the body. net/http removes some of them.
type framingFields struct {
	length           bool // Content-Length
	transferEncoding bool
}

// peekFraming waits for the next head and returns its framing fields. The head stays to
// be read.
func (c *Conn) peekFraming() (framingFields, error) {
	var fields framingFields
	head, err := c.peekHead()
	if err != nil {
		return fields, err
	}
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			fields.length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			fields.transferEncoding = true
		}
	}
	return fields, nil
}

// peekHead waits until the next head has arrived and returns it. It is valid until the
// next read.
func (c *Conn) peekHead() ([]byte, error) {
	searched := 0
	for {
		buffered, _ := c.Reader.Peek(c.Reader.Buffered())
		if end := headEnd(buffered, searched); end > 0 {
			return buffered[:end], nil
		}
		searched = max(0, len(buffered)-len("\n\r"))
		if len(buffered) == c.Reader.Size() {
			c.growReader()
		}
		if _, err := c.Reader.Peek(len(buffered) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// headEnd returns the length of the head at the start of data, with the blank line that ends
// it, or 0 if it is incomplete. No head ends before from.
func headEnd(data []byte, from int) int {
	for {
		lineEnd := bytes.IndexByte(data[from:], '\n')
		if lineEnd < 0 {
			return 0
		}
		from += lineEnd + 1
		rest := data[from:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return from + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return from + 2
		}
	}
}

// growReader replaces the reader by one that holds the longest head. The connection is not
// used again, as the former reader may hold bytes that the new one does not count.
func (c *Conn) growReader() {
	c.Reader = bufio.NewReaderSize(c.Reader, readBufferBytes+maxHeadBytes)
	c.grown = true
}

// checkHead returns an error unless the head of a response says without doubt whether it is
// an interim one, and where its body ends.
func checkHead(response *http.Response, fields framingFields) error {
	status := response.StatusCode
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedResponse, "header name %q", name)
		}
	}
	length := response.Header.Get("Content-Length")
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformedResponse, "version %s", response.Proto)
	case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrMalformedResponse, "status %q", response.Status)
	case fields.transferEncoding && fields.length:
		return errors.Wrap(ErrMalformedResponse, "a length beside chunks")
	case fields.transferEncoding && !response.ProtoAtLeast(1, 1):
		return errors.Wrapf(ErrMalformedResponse, "chunks in a response of %s", response.Proto)
	case isInterim(status) && (fields.length || fields.transferEncoding):
		return errors.Wrapf(ErrMalformedResponse, "status %d with a body", status)
	case status == http.StatusNoContent && (fields.transferEncoding || length != "" && length != "0"):
		return errors.Wrapf(ErrMalformedResponse, "status %d with a body", status)
	}
	return nil
}

// isInterim reports whether a response with a valid status is followed by another one.
func isInterim(status int) bool { return status < http.StatusOK }
