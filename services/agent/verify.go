package agent

import (
	"bytes"
	"encoding/json"
	"strings"

	"banyanwalk/core/outcome"
)

const (
	doneMarker    = "[DONE]"
	maxEventBytes = 4 << 20
)

// idPrefixes are the prefixes that engines add to a request's ID in their
// responses.
var idPrefixes = []string{"", "chatcmpl-", "cmpl-", "embd-"}

// responsePart holds the fields that the agent reads of an engine's JSON response
// or streamed event.
type responsePart struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (p *responsePart) hasContent() bool {
	for _, c := range p.Choices {
		if c.Text != "" || c.Delta.Content != "" {
			return true
		}
	}
	return false
}

// matchesRequest reports whether the ID of a response is that of the request.
func matchesRequest(id, requestID string) bool {
	for _, prefix := range idPrefixes {
		if suffix, ok := strings.CutPrefix(id, prefix); ok && suffix == requestID {
			return true
		}
	}
	return false
}

// checkDocument checks that a complete JSON response belongs to the request.
func checkDocument(body []byte, requestID string) error {
	var part responsePart
	if err := json.Unmarshal(body, &part); err != nil {
		return invalidResponse("answer is not JSON")
	}
	if !matchesRequest(part.ID, requestID) {
		return invalidResponse("answer is for another request")
	}
	return nil
}

// eventReader splits a stream of server-sent events and verifies each event
// before it is forwarded, so that a caller never gets data of another request.
type eventReader struct {
	requestID string
	checkID   bool
	pending   []byte
	tokens    int  // events with content
	done      bool // doneMarker was received
}

// feed appends data to the input and returns the events that are now complete. An
// incomplete event stays pending.
func (r *eventReader) feed(data []byte) ([]byte, error) {
	r.pending = append(r.pending, data...)
	complete := 0
	for {
		size := eventSize(r.pending[complete:])
		if size == 0 {
			break
		}
		if err := r.checkEvent(r.pending[complete : complete+size]); err != nil {
			return nil, err
		}
		complete += size
	}
	if len(r.pending)-complete > maxEventBytes {
		return nil, invalidResponse("event exceeds its size limit")
	}
	events := r.pending[:complete:complete]
	r.pending = append([]byte(nil), r.pending[complete:]...)
	return events, nil
}

// eventSize returns the length of the first event including its blank line, or 0
// if the event is incomplete.
func eventSize(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	default:
		return lf + len("\n\n")
	}
}

func (r *eventReader) checkEvent(event []byte) error {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if r.done {
			return invalidResponse("event after the end mark")
		}
		if string(data) == doneMarker {
			r.done = true
			continue
		}
		var part responsePart
		if err := json.Unmarshal(data, &part); err != nil {
			return invalidResponse("event is not JSON")
		}
		if r.checkID && !matchesRequest(part.ID, r.requestID) {
			return invalidResponse("event is for another request")
		}
		if part.hasContent() {
			r.tokens++
		}
	}
	return nil
}

func invalidResponse(message string) *outcome.Error {
	return outcome.New(outcome.BadTargetResponse, outcome.MayHaveRun, "%s", message)
}
