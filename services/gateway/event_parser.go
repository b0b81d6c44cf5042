package gateway

import (
	"bytes"
	"encoding/json"
)

var (
	eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	dataPrefix       = []byte("data:")
	doneData         = []byte("[DONE]")
)

// eventParser splits a byte stream into complete server-sent events and counts the
// tokens in the events it has returned.
type eventParser struct {
	partial []byte // incomplete event at the end of the input
	tokens  int
	done    bool // the generation's final [DONE] event was seen
}

// chunk holds the fields that the gateway reads of one event of a generation.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text string `json:"text"`
	} `json:"choices"`
}

// feed adds input and returns the events that it completes, as sent.
func (p *eventParser) feed(data []byte) []byte {
	p.partial = append(p.partial, data...)
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(p.partial, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	if end == 0 {
		return nil
	}
	complete := p.partial[:end:end]
	p.partial = bytes.Clone(p.partial[end:])
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
		p.parseLine(line)
	}
	return complete
}

// parseLine counts the token of a line, or notes the end of the generation. The
// events of a generation have one data line each.
func (p *eventParser) parseLine(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneData) {
		p.done = true
		return
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	for i := range c.Choices {
		if c.Choices[i].Delta.Content != "" || c.Choices[i].Text != "" {
			p.tokens++
			return
		}
	}
}
