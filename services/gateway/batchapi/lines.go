package batchapi

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
)

// line is one line of a JSONL file, without surrounding white space.
type line struct {
	number int    // from 1, counting blank lines
	offset int64  // byte offset of text in the file
	text   []byte // valid until the next line is read
}

// lineReader reads a JSONL file line by line. Blank lines are skipped.
type lineReader struct {
	in       *bufio.Reader
	maxBytes int
	number   int
	offset   int64
	buffer   []byte
}

func newLineReader(r io.Reader, maxBytes int) *lineReader {
	const readAhead = 64 << 10
	return &lineReader{in: bufio.NewReaderSize(r, readAhead), maxBytes: maxBytes}
}

// next returns the next line that is not blank, or io.EOF.
func (r *lineReader) next() (line, error) {
	for {
		start := r.offset
		raw, err := r.readRawLine()
		if err != nil {
			return line{}, err
		}
		text := bytes.TrimRight(raw, "\r\n\t ")
		indent := len(text) - len(bytes.TrimLeft(text, "\t "))
		text = text[indent:]
		if len(text) > 0 {
			return line{number: r.number, offset: start + int64(indent), text: text}, nil
		}
	}
}

// readRawLine returns the next line including its line terminator, which the last
// line may lack.
func (r *lineReader) readRawLine() ([]byte, error) {
	r.buffer = r.buffer[:0]
	r.number++
	for {
		part, err := r.in.ReadSlice('\n')
		r.offset += int64(len(part))
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > r.maxBytes {
			return nil, lineError(r.number, "longer than %d bytes", r.maxBytes)
		}
		switch {
		case err == nil:
			return r.buffer, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.buffer) > 0:
			return r.buffer, nil
		default:
			return nil, err
		}
	}
}

func lineError(lineNumber int, format string, args ...any) error {
	e := outcome.New(outcome.BadBatchLine, outcome.NotRun, format, args...)
	return outcome.New(e.Code, e.Outcome, "line %d: %s", lineNumber, e.Message)
}
