package targetcall

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEventReaderSplitsEvents(t *testing.T) {
	stream := "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:\n\n"
	for name, from := range map[string]io.Reader{
		"at once":      strings.NewReader(stream),
		"byte by byte": iotest.OneByteReader(strings.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewEventReader(from)
			var ids []int64
			var data []string
			for {
				e, err := r.Next()
				if err != nil {
					require.ErrorIs(t, err, io.EOF)
					break
				}
				ids = append(ids, e.ID)
				data = append(data, string(e.Data))
			}
			assert.Equal(t, []int64{1, 2, 3}, ids)
			assert.Equal(t, []string{"one", "two\nmore", ""}, data)
		})
	}
}

// A stream that ends within an event must not look like one that ended
// regularly, and a read error must be passed on.
func TestTruncatedStreamIsAnError(t *testing.T) {
	r := NewEventReader(strings.NewReader("id: 1\ndata: one\n\nid: 2\ndata: t"))
	_, err := r.Next()
	require.NoError(t, err)
	_, err = r.Next()
	assert.ErrorIs(t, err, ErrTruncatedEvent)
	broken := NewEventReader(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("id: 1"))))
	_, err = broken.Next()
	assert.ErrorIs(t, err, iotest.ErrTimeout)
}

// An event may begin with a line that names the version of the target's weights.
func TestEventWithVersionLineIsKeptWhole(t *testing.T) {
	const first, second = "id: 1\ndata: one\n\n", "x-weight-versions: 7\nid: 2\ndata: two\n\n"
	r := NewEventReader(strings.NewReader(first + second))
	_, err := r.Next()
	require.NoError(t, err)
	e, err := r.Next()
	require.NoError(t, err)
	assert.Equal(t, int64(2), e.ID)
	assert.Equal(t, second, string(e.Raw))
	assert.Equal(t, "two", string(e.Data))
}
