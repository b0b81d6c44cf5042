package batch

import (
	"encoding/json"
	"fmt"

	"banyanwalk/core/outcome"
)

// InputLine is one line of an input file: the request of one item.
type InputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ResultLine is one line of an output or error file.
type ResultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the response of the target.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the reason why an item has no response.
type ResultError struct {
	Code    string `json:"code"` // numeric result code in decimal
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// RequestID returns the id of an item in requests to targets and in result
// lines. All attempts at the item share it.
func RequestID(jobID string, item uint32) string { return fmt.Sprintf("%s_%d", jobID, item) }

// Encode returns the line with its newline.
func (l *ResultLine) Encode() ([]byte, error) {
	encoded, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	return append(encoded, '\n'), nil
}

// FailureLine returns the encoded error line of an item without a committed
// result. input is the item's line of the input file; if it cannot be parsed,
// the custom id stays empty.
func FailureLine(jobID string, line OutputLine, input []byte) ([]byte, error) {
	var in InputLine
	_ = json.Unmarshal(input, &in)
	l := ResultLine{
		ID:       RequestID(jobID, line.Item),
		CustomID: in.CustomID,
		Error: &ResultError{
			Code:    fmt.Sprint(uint16(line.Code)),
			Message: failureMessage(line.Code),
			Outcome: line.Outcome.String(),
		},
	}
	return l.Encode()
}

func failureMessage(code outcome.Code) string {
	for _, e := range outcome.Entries() {
		if e.Code == code {
			return e.Name + ": " + e.Cause
		}
	}
	return code.Name()
}
