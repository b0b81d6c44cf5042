package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// BrokenStreamEvents is the number of events of a whole stream of BrokenStreams.
const BrokenStreamEvents = 4

// BrokenStreams returns the beginnings of responses that stream BrokenStreamEvents events and
// break off, by framing and by the point at which they do. "ID" stands for the id of the
// request, which must have two letters, too, as chunks and lengths count them.
func BrokenStreams() map[string]string {
	var whole strings.Builder
	ends := []int{0}
	for n := int64(1); n <= BrokenStreamEvents; n++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", n, EventData("ID", n))
		ends = append(ends, whole.Len())
	}
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
	streams := make(map[string]string)
	add := func(point string, sent string, inEvent bool) {
		streams["chunks, "+point] = head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(sent)
		streams["length, "+point] = head + fmt.Sprintf("Content-Length: %d\r\n\r\n", whole.Len()+100) + sent
		if inEvent { // else the end of the connection is that of a complete stream
			streams["end of connection, "+point] = head + "\r\n" + sent
		}
	}
	for n, end := range ends {
		add(fmt.Sprintf("after event %d", n), whole.String()[:end], false)
		if n < BrokenStreamEvents {
			add(fmt.Sprintf("in event %d", n+1), whole.String()[:end+len("id: 1\nda")], true)
		}
	}
	streams["chunks, in a chunk"] = head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", ends[2]+10) + whole.String()[:ends[2]]
	return streams
}

func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// Kinds of whole streams that do not go on where another one broke off.
const (
	laterEvents      = "later events"
	eventsWithoutIDs = "events without ids"
)

// IsBeginning reports whether a kind of Errors is a whole stream to a caller that has no event
// yet: streams may begin with any event.
func IsBeginning(kind string) bool { return kind == laterEvents || kind == eventsWithoutIDs }

// Errors returns responses that are no continuation of a stream, by kind and framing. "ID"
// stands for the id of the request, as in BrokenStreams.
func Errors() map[string]string {
	const text = "data: FOREIGN\n\n"
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Id: ID\r\nX-Signature: s\r\n%s", status, http.StatusText(status), extra)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n"
	const stream = "Content-Type: text/event-stream\r\n"
	all := map[string]string{
		"nothing":               "",
		"no response":           text,
		"head without an end":   head(http.StatusInternalServerError, "X-More: FOREIGN"),
		"refusal":               head(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n"+length),
		"200 without signature": "HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + stream + length,
		"another's response":    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n" + stream + length,
		eventsWithoutIDs:        head(http.StatusOK, stream) + "\r\n" + text,
		laterEvents:             head(http.StatusOK, stream) + "\r\nid: 9\n" + text,
	}
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusBadGateway} {
		for framing, body := range map[string]string{"length": length, "chunks": chunks, "end of connection": "\r\n" + text} {
			all[fmt.Sprintf("%d, %s", status, framing)] = head(status, "Content-Type: text/plain\r\n"+body)
			if status != http.StatusOK {
				all[fmt.Sprintf("%d as a stream, %s", status, framing)] = head(status, stream+body)
			}
		}
	}
	return all
}

// WholeStream returns a response that streams the events after lastEventID, of
// BrokenStreamEvents. "ID" stands for the id of the request, as in BrokenStreams.
func WholeStream(lastEventID string) string {
	var events strings.Builder
	from, _ := strconv.ParseInt(lastEventID, 10, 64) // 0: from the start
	for n := from + 1; n <= BrokenStreamEvents; n++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", n, EventData("ID", n))
	}
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events.String()) + "0\r\n\r\n"
}
