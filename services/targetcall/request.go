// Package targetcall is an HTTP/1.1 client for targets. It sends one request to
// one target and reports whether the request may have run. It never retries.
package targetcall

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// HeaderNames configures the headers that targets read and write. An
// empty name means that there is no such header.
type HeaderNames struct {
	RequestID   string // echoed in responses
	Deadline    string // milliseconds until the deadline
	Expect      string // id of the target that the request is addressed to
	Workspace   string
	LastEventID string // the stream resumes after this event
	Resumes     string // id of the attempt that brought the first event of a stream that the caller takes up again
	NotRun      string // in a response: the target did not run the request
	Signature   string // in each response that the target itself produced
	RateLimit   string // in a response: requests per second that the target takes from all processes together
	Leaving     string // in a response: "1" says that the target leaves and wants no further requests
	Load        string // in a response: running and waiting requests, slots and, from some targets, the pace, separated by commas
	Key         string // API key of the caller, never passed on
}

// Request is one request to a target.
type Request struct {
	Method      string
	URI         string // path and query, as the caller sent them
	Host        string
	Header      http.Header // from the caller, without the headers that encode sets
	Body        []byte
	ID          string
	Workspace   string // empty: none
	Deadline    time.Time
	LastEventID int64 // 0: from the start
}

// encode returns the HTTP/1.1 encoding of the request to the target whose id is
// expect. It fails if a value could end its line: the target would read a second request
// in it, with headers that only this system may set.
func (r *Request) encode(names *HeaderNames, now time.Time, expect string) ([]byte, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	out.Grow(len(r.Body) + 1024)
	out.WriteString(r.Method)
	out.WriteByte(' ')
	out.WriteString(r.URI)
	out.WriteString(" HTTP/1.1\r\n")
	writeHeader(&out, "Host", r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			writeHeader(&out, name, value)
		}
	}
	writeHeader(&out, names.RequestID, r.ID)
	writeHeader(&out, names.Workspace, r.Workspace)
	writeHeader(&out, names.Expect, expect)
	if !r.Deadline.IsZero() {
		left := max(1, r.Deadline.Sub(now).Milliseconds())
		writeHeader(&out, names.Deadline, strconv.FormatInt(left, 10))
	}
	if r.LastEventID > 0 {
		writeHeader(&out, names.LastEventID, strconv.FormatInt(r.LastEventID, 10))
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeHeader(&out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes(), nil
}

// Validate returns an error that names the first field that cannot stand in a request.
func (r *Request) Validate() error {
	for _, field := range []struct{ name, value string }{{"method", r.Method}, {"URI", r.URI}} {
		if field.value == "" || strings.ContainsAny(field.value, " \r\n\x00") {
			return errors.Newf("%s %q", field.name, field.value)
		}
	}
	for _, field := range []struct{ name, value string }{{"host", r.Host}, {"id", r.ID}, {"workspace", r.Workspace}} {
		if !httpguts.ValidHeaderFieldValue(field.value) {
			return errors.Newf("%s %q", field.name, field.value)
		}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("header name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Newf("header %s %q", name, value)
			}
		}
	}
	return nil
}

func writeHeader(out *bytes.Buffer, name, value string) {
	if name == "" || value == "" {
		return
	}
	out.WriteString(name)
	out.WriteString(": ")
	out.WriteString(value)
	out.WriteString("\r\n")
}

// hopHeaders are the hop-by-hop headers and others that are not forwarded as
// received.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// IsHopByHop reports whether a header is hop-by-hop and must not be forwarded.
// connection is the value of the message's Connection header, which may list
// more of them.
func IsHopByHop(name, connection string) bool {
	if hopHeaders[http.CanonicalHeaderKey(name)] {
		return true
	}
	for listed := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(listed), name) {
			return true
		}
	}
	return false
}

// IsReserved reports whether a request header is reserved: the system sets it itself
// or does not pass it on.
func (h *HeaderNames) IsReserved(name string) bool {
	for _, reserved := range []string{h.RequestID, h.Deadline, h.Expect, h.Workspace, h.LastEventID, h.Key} {
		if reserved != "" && strings.EqualFold(reserved, name) {
			return true
		}
	}
	return false
}
