package batchapi

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
)

const testMaxLineBytes = 200

func readAllLines(contents []byte) ([]line, error) {
	r := newLineReader(bytes.NewReader(contents), testMaxLineBytes)
	var lines []line
	for {
		l, err := r.next()
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
		l.text = bytes.Clone(l.text)
		lines = append(lines, l)
	}
}

func TestLineNumbersAndOffsets(t *testing.T) {
	lines, err := readAllLines([]byte("\n  {\"a\":1}\r\n\t\n{\"b\":2}"))
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Equal(t, line{number: 2, offset: 3, text: []byte(`{"a":1}`)}, lines[0])
	require.Equal(t, line{number: 4, offset: 14, text: []byte(`{"b":2}`)}, lines[1])
	_, err = readAllLines([]byte("{}\n" + strings.Repeat("x", testMaxLineBytes+1)))
	require.True(t, outcome.IsCode(err, outcome.BadBatchLine))
	require.ErrorContains(t, err, "line 2")
}

func FuzzLines(f *testing.F) {
	for _, seed := range []string{"", "\n", "{}", "{}\n{}\n", " {} \r\n\r\n{}", "\x00\n\xff", strings.Repeat("y", 300)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, contents []byte) {
		lines, err := readAllLines(contents)
		for _, l := range lines {
			end := l.offset + int64(len(l.text))
			require.Equal(t, l.text, contents[l.offset:end])
			require.NotContains(t, string(l.text), "\n")
			require.Equal(t, l.number-1, bytes.Count(contents[:l.offset], []byte("\n")))
		}
		if err != nil {
			return
		}
		nonBlank := 0
		for _, part := range bytes.Split(contents, []byte("\n")) {
			if len(bytes.Trim(part, "\r\t ")) > 0 {
				nonBlank++
			}
		}
		require.LessOrEqual(t, nonBlank-len(lines), bytes.Count(contents, []byte("\r")), "only a line of carriage returns and blanks may differ")
		require.LessOrEqual(t, len(lines), nonBlank)
	})
}
