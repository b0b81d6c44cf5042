package targetcall

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var encodeNames = HeaderNames{RequestID: "X-Id", Workspace: "X-Workspace", Expect: "X-Expect", Deadline: "X-Deadline", LastEventID: "Last-Event-Id"}

// Guards against a second request in a value of the first: the id of a batch item put one,
// under another workspace's name, on the connection to a target (review/4, UNASKED).
func FuzzTargetReadsOneRequest(f *testing.F) {
	smuggled := "a\r\nContent-Length: 0\r\n\r\nPOST /other HTTP/1.1\r\nX-Workspace: other\r\nContent-Length: 0\r\n\r\n"
	f.Add(smuggled, "/p", "h", "w", "X-Any", "v", []byte("body"))
	f.Add("id", "/p HTTP/1.1\r\nX: ", "h", "w", "X-Any", "v", []byte(nil))
	f.Add("id", "/p", smuggled, "w", "X-Any", "v", []byte("body"))
	f.Add("id", "/p", "h", smuggled, "X-Any", "v", []byte("body"))
	f.Add("id", "/p", "h", "w", "X-Any: v\r\nX-Id", "v", []byte("body"))
	f.Add("id", "/p", "h", "w", "X-Any", smuggled, []byte("body"))
	f.Add("id", "/p?q=1", "h", "w", "X-Any", "v", []byte("\r\n\r\n"))
	f.Fuzz(func(t *testing.T, id, uri, host, workspace, name, value string, body []byte) {
		r := &Request{Method: http.MethodPost, URI: uri, Host: host, ID: id, Workspace: workspace, Body: body, Header: http.Header{}}
		if !encodeNames.IsReserved(name) && !IsHopByHop(name, "") {
			r.Header[name] = []string{value}
		}
		encoded, err := r.encode(&encodeNames, time.Now(), "target")
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(encoded))
		read, err := http.ReadRequest(reader)
		if err != nil {
			return // no target runs it
		}
		content, err := io.ReadAll(read.Body)
		require.NoError(t, err)
		assert.True(t, bytes.Equal(body, content))
		assert.Len(t, read.Header.Values("X-Expect"), 1)
		assert.LessOrEqual(t, len(read.Header.Values("X-Id")), 1)
		assert.LessOrEqual(t, len(read.Header.Values("X-Workspace")), 1)
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "more follows the request")
	})
}
