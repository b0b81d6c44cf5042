package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const maxSSELine = 1 << 20 // bytes

// streamResult is the content and the timing of a streamed response.
type streamResult struct {
	text       strings.Builder
	firstToken time.Time
	lastToken  time.Time // most recent token
	tokenGaps  []time.Duration
	done       bool
	errorEvent string // result code of an error event
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream reads server-sent events until [DONE] or the end of the connection,
// and keeps the code of an error event.
func readStream(body io.Reader, now func() time.Time) (*streamResult, error) {
	stream := &streamResult{}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxSSELine)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			stream.done = true
			return stream, nil
		}
		if err := stream.addEvent(data, now); err != nil {
			return stream, err
		}
	}
	return stream, errors.Wrap(scanner.Err(), "read stream")
}

func (s *streamResult) addEvent(data []byte, now func() time.Time) error {
	var c streamEvent
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode stream event")
	}
	if c.Error != nil {
		s.errorEvent = c.Error.Code
		return nil
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		s.text.WriteString(choice.Delta.Content)
		at := now()
		if s.firstToken.IsZero() {
			s.firstToken = at
		} else {
			s.tokenGaps = append(s.tokenGaps, at.Sub(s.lastToken))
		}
		s.lastToken = at
	}
	return nil
}
