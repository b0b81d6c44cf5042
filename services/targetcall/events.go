package targetcall

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 256 << 10

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.Newf("an event exceeds %d bytes", maxEventBytes)

// ErrTruncatedEvent means that a stream ended within an event.
var ErrTruncatedEvent = errors.New("the stream ended within an event")

// ErrEventGap means that an event is missing or was repeated.
var ErrEventGap = errors.New("the event ids are not consecutive")

// Event is one complete server-sent event.
type Event struct {
	ID   int64  // 0: the event has none
	Raw  []byte // including the blank line at its end; valid until the next call of Next
	Data []byte // data lines joined by line feeds; valid until the next call of Next
}

// GoesOn reports whether the event may follow the one with the id last, in a stream whose
// events have consecutive ids. Data without an id is no part of such a stream.
func (e *Event) GoesOn(last int64) bool {
	if e.ID == 0 {
		return len(e.Data) == 0
	}
	return e.ID == last+1
}

// EventReader splits a stream into complete events.
type EventReader struct {
	source   io.Reader
	pending  []byte
	consumed int // bytes of pending that the previous event occupies
	chunk    []byte
	readErr  error
}

// NewEventReader returns a reader of the events of a stream.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{source: from, chunk: make([]byte, 4<<10)}
}

// Next returns the next event. io.EOF means that the stream ended after a
// complete event.
func (r *EventReader) Next() (*Event, error) {
	r.pending = r.pending[:copy(r.pending, r.pending[r.consumed:])]
	r.consumed = 0
	for {
		if end := eventEnd(r.pending); end > 0 {
			r.consumed = end
			return parseEvent(r.pending[:end]), nil
		}
		if r.readErr != nil {
			return nil, r.endError()
		}
		if len(r.pending) > maxEventBytes {
			return nil, errEventTooLong
		}
		n, err := r.source.Read(r.chunk)
		r.pending = append(r.pending, r.chunk[:n]...)
		r.readErr = err
	}
}

// endError returns the error at the end of the stream.
func (r *EventReader) endError() error {
	if errors.Is(r.readErr, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return ErrTruncatedEvent
	}
	return r.readErr
}

// eventEnd returns the length of the first complete event in data, or 0.
func eventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return 0
	}
}

func parseEvent(raw []byte) *Event {
	e := &Event{Raw: raw}
	first := true
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID = id
			}
		case "data":
			if !first {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			first = false
		}
	}
	return e
}
