package targetcall

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// errLongEvent means that an event has no end within the bound.
var errLongEvent = errors.Newf("an event exceeds %d bytes", maxEventBytes)

// ErrTorn means that a stream ended within an event.
var ErrTorn = errors.New("the stream ended within an event")

// ErrGap means that an event is missing or came twice.
var ErrGap = errors.New("the events do not follow each other")

// Event is one whole server-sent event.
type Event struct {
	ID   int64  // 0: it has none
	Raw  []byte // with the blank line at its end; valid until the next call
	Data []byte // its data lines, joined by line feeds; valid until the next call
}

// EventReader cuts a stream into whole events.
type EventReader struct {
	from    io.Reader
	pending []byte
	used    int // bytes of pending that the event before took
	chunk   []byte
	ended   error
}

// NewEventReader returns a reader of the events of a stream.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{from: from, chunk: make([]byte, 4<<10)}
}

// Next returns the next event. io.EOF means that the stream ended regularly
// after a whole event.
func (r *EventReader) Next() (*Event, error) {
	r.pending = r.pending[:copy(r.pending, r.pending[r.used:])]
	r.used = 0
	for {
		if end := eventEnd(r.pending); end > 0 {
			r.used = end
			return parseEvent(r.pending[:end]), nil
		}
		if r.ended != nil {
			return nil, r.end()
		}
		if len(r.pending) > maxEventBytes {
			return nil, errLongEvent
		}
		n, err := r.from.Read(r.chunk)
		r.pending = append(r.pending, r.chunk[:n]...)
		r.ended = err
	}
}

func (r *EventReader) end() error {
	if errors.Is(r.ended, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return ErrTorn
	}
	return r.ended
}

// eventEnd returns the length of the first whole event, or 0.
func eventEnd(data []byte) int {
	unix := bytes.Index(data, []byte("\n\n"))
	dos := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case dos >= 0 && (unix < 0 || dos < unix):
		return dos + 4
	case unix >= 0:
		return unix + 2
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
