// Package targetcall carries one request to one target and reads its answer.
// It knows when a request may have run and never repeats one by itself.
package targetcall

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect names the headers that targets read and write. An empty name means
// that there is no such header.
type Dialect struct {
	RequestID   string // echoed in answers
	Deadline    string // milliseconds that are left
	Expect      string // id of the target that the request is meant for
	Workspace   string
	LastEventID string // a stream goes on after this event
	NotRun      string // in an answer: the target did not run the request
	Signature   string // in each answer that the target has made
	Key         string // of the caller, never passed on
}

// Request is one request as its target gets it.
type Request struct {
	Method      string
	URI         string // path and query, as the caller sent them
	Host        string
	Header      http.Header // of the caller, without those that the dialect sets
	Body        []byte
	ID          string
	Workspace   string // empty: none
	Deadline    time.Time
	LastEventID int64 // 0: from the start
}

// encode returns the bytes of the request for the target named expect.
func (r *Request) encode(d *Dialect, now time.Time, expect string) []byte {
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
	writeHeader(&out, d.RequestID, r.ID)
	writeHeader(&out, d.Workspace, r.Workspace)
	writeHeader(&out, d.Expect, expect)
	if !r.Deadline.IsZero() {
		left := max(1, r.Deadline.Sub(now).Milliseconds())
		writeHeader(&out, d.Deadline, strconv.FormatInt(left, 10))
	}
	if r.LastEventID > 0 {
		writeHeader(&out, d.LastEventID, strconv.FormatInt(r.LastEventID, 10))
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeHeader(&out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
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

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// IsHop reports whether a header concerns one connection only. connection is
// the value of the message's Connection header, which may name more.
func IsHop(name, connection string) bool {
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

// IsOwn reports whether a header is set by the system itself, or kept by it.
func (d *Dialect) IsOwn(name string) bool {
	for _, own := range []string{d.RequestID, d.Deadline, d.Expect, d.Workspace, d.LastEventID, d.Key} {
		if own != "" && strings.EqualFold(own, name) {
			return true
		}
	}
	return false
}
