package standin

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"banyanwalk/services/targetcall"
)

// Endless is a stub target that reads the head of a request and sends bytes without end,
// until the connection is closed. It is safe for concurrent use.
type Endless struct {
	*connListener
	Addr     string
	headers  targetcall.HeaderNames
	response EndlessResponse
	most     atomic.Int64
	requests atomic.Int64
}

// EndlessResponse is Start and then Filler again and again. "ID" in Start stands for the id
// of the request.
type EndlessResponse struct {
	Start, Filler string
	Pause         time.Duration // after each filler
}

// maxEndlessBytes bounds what an endless target sends on one connection, so that a test
// ends whose program reads without bounds.
const maxEndlessBytes = 64 << 20

// EndlessResponses are responses without end by what has none: before, in and after a head,
// in each framing.
func EndlessResponses() map[string]EndlessResponse {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"
	line := strings.Repeat("x", 1000)
	return map[string]EndlessResponse{
		"no response":        {Filler: line},
		"blank lines":        {Filler: strings.Repeat("\r\n", 500)},
		"status line":        {Start: "HTTP/1.1 200 ", Filler: line},
		"interim":            {Start: "HTTP/1.1 100 Continue\r\n\r\n", Filler: "HTTP/1.1 100 Continue\r\n\r\n"},
		"header lines":       {Start: head, Filler: "X-" + line + ": y\r\n"},
		"header line":        {Start: head + "X-Long: ", Filler: line},
		"body":               {Start: head + "\r\n", Filler: line},
		"long body":          {Start: head + "Content-Length: 99999999999\r\n\r\n", Filler: line},
		"chunks":             {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Filler: "3e8\r\n" + line + "\r\n"},
		"chunk size":         {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Filler: "0000000000000000"},
		"chunk extension":    {Start: head + "Transfer-Encoding: chunked\r\n\r\n1;", Filler: line},
		"trailer":            {Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Filler: "X-" + line + ": y\r\n"},
		"stray body":         {Start: "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n", Filler: line},
		"event":              {Start: head + "Content-Type: text/event-stream\r\n\r\ndata: ", Filler: line},
		"event in chunks":    {Start: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", Filler: "3e8\r\n" + line + "\r\n"},
		"refusal":            {Start: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n", Filler: line},
		"server error":       {Start: "HTTP/1.1 502 Bad\r\nX-Id: ID\r\nContent-Length: 99999999999\r\n\r\n", Filler: line},
		"bytes after a body": {Start: "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 1\r\n\r\nx", Filler: line},
	}
}

// NewEndless starts an endless target. Close stops it.
func NewEndless(headers targetcall.HeaderNames, response EndlessResponse) (*Endless, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	e := &Endless{connListener: l, Addr: l.addr(), headers: headers, response: response}
	l.start(e.serve)
	return e, nil
}

// Requests returns the number of requests so far.
func (e *Endless) Requests() int64 { return e.requests.Load() }

// Most returns the largest number of bytes that it got rid of on one connection. The buffers
// of the sockets on both sides hold some megabytes of them.
func (e *Endless) Most() int64 { return e.most.Load() }

func (e *Endless) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.requests.Add(1)
	sent := int64(0)
	chunk := []byte(strings.ReplaceAll(e.response.Start, "ID", request.Header.Get(e.headers.RequestID)))
	filler := []byte(e.response.Filler)
	for sent < maxEndlessBytes {
		n, err := conn.Write(chunk)
		sent += int64(n)
		for most := e.most.Load(); sent > most && !e.most.CompareAndSwap(most, sent); most = e.most.Load() {
		}
		if err != nil {
			return
		}
		chunk = filler
		time.Sleep(e.response.Pause)
	}
}
