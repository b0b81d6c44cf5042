package standin

import (
	"fmt"
	"strings"
)

// Response is a whole response in one framing.
type Response struct {
	Text               string // as it is sent
	Body               string // that it carries
	Method             string // of requests that are answered so; empty: POST
	Refusal            bool   // it says that the request did not run
	EndsWithConnection bool   // the end of the connection is that of the body
}

// Cut is the beginning of a response, after which the connection ends.
type Cut struct {
	Sent     string
	Reset    bool   // the connection is reset, not closed
	HeadSent bool   // the final head was sent to its end
	Complete bool   // what was sent is a whole response
	Body     string // of the response, if it is complete
}

// Cut returns the first n bytes of the response.
func (r *Response) Cut(n int, reset bool) Cut {
	c := Cut{Sent: r.Text[:n], Reset: reset, HeadSent: n >= r.headLen(), Body: r.Body}
	switch {
	case !r.EndsWithConnection:
		c.Complete = n == len(r.Text)
	case c.HeadSent && !reset:
		c.Complete, c.Body = true, r.Text[r.headLen():n]
	}
	return c
}

// For returns the response, which is one to the request with the id from, as one to the request
// with an id of the same length.
func (r *Response) For(from, id string) *Response {
	other := *r
	other.Text, other.Body = strings.ReplaceAll(r.Text, from, id), strings.ReplaceAll(r.Body, from, id)
	return &other
}

// headLen returns the length of the final head with the interim ones before it.
func (r *Response) headLen() int {
	const final = "HTTP/1."
	for _, blank := range []string{"\r\n\r\n", "\n\n"} {
		start := strings.LastIndex(r.Text, final)
		if end := strings.Index(r.Text[start:], blank); end >= 0 {
			return start + end + len(blank)
		}
	}
	return len(r.Text)
}

// Framings returns responses with a body to the request with an id, by framing. extra are
// header lines.
func Framings(id, extra, body string) map[string]*Response {
	names := fmt.Sprintf("X-Id: %s\r\nX-Signature: s\r\n%s", id, extra)
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	half := len(body) / 2
	extensions := fmt.Sprintf("%x;a=\"b\";c\r\n%s\r\n%X\r\n%s\r\n0;last\r\n", half, body[:half], len(body)-half, body[half:])
	framed := map[string]*Response{
		"length":                     {Text: ok + names + length + "\r\n" + body},
		"length first":               {Text: ok + length + names + "\r\n" + body},
		"length, connection: close":  {Text: ok + names + "Connection: close\r\n" + length + "\r\n" + body},
		"length, LF only":            {Text: strings.ReplaceAll(ok+names+length+"\r\n", "\r\n", "\n") + body},
		"length after interim heads": {Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + ok + names + length + "\r\n" + body},
		"chunks":                     {Text: ok + names + chunked + "\r\n" + chunk(body) + "0\r\n\r\n"},
		"chunks, framing first":      {Text: ok + chunked + names + "\r\n" + chunk(body) + "0\r\n\r\n"},
		"chunks with trailers":       {Text: ok + names + "Trailer: X-End\r\n" + chunked + "\r\n" + extensions + "X-End: 1\r\nX-Other: 2\r\n\r\n"},
		"end of connection":          {Text: ok + names + "\r\n" + body, EndsWithConnection: true},
		"end of connection, named":   {Text: ok + names + "Connection: close\r\n\r\n" + body, EndsWithConnection: true},
		"end of connection, 1.0":     {Text: "HTTP/1.0 200 OK\r\n" + names + "\r\n" + body, EndsWithConnection: true},
		"end of connection, LF only": {Text: strings.ReplaceAll(ok+names+"\r\n", "\r\n", "\n") + body, EndsWithConnection: true},
	}
	for _, r := range framed {
		r.Body = body
	}
	return framed
}

// BodilessFramings returns responses without a body to the request with an id, by framing.
func BodilessFramings(id string) map[string]*Response {
	names := fmt.Sprintf("X-Id: %s\r\nX-Signature: s\r\n", id)
	return map[string]*Response{
		"length 0":  {Text: "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 0\r\n\r\n"},
		"no chunk":  {Text: "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"204":       {Text: "HTTP/1.1 204 No Content\r\n" + names + "\r\n"},
		"304":       {Text: "HTTP/1.1 304 Not Modified\r\n" + names + "Content-Length: 5\r\n\r\n"},
		"HEAD":      {Text: "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 5\r\n\r\n", Method: "HEAD"},
		"refusal":   {Text: "HTTP/1.1 503 Busy\r\n" + names + "X-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", Body: "no", Refusal: true},
		"misdirect": {Text: "HTTP/1.1 421 Misdirected Request\r\n" + names + "Content-Length: 0\r\n\r\n", Refusal: true},
	}
}
