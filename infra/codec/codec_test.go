package codec

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type message struct {
	Name   string            `msgpack:"n"`
	Body   []byte            `msgpack:"b"`
	Counts map[string]uint64 `msgpack:"c"`
	At     time.Time         `msgpack:"t"`
	Next   *message          `msgpack:"x"`
	Rate   float64           `msgpack:"r"`
	Change int64             `msgpack:"d"`
}

func nested(depth int) []byte {
	data := append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, depth-1)...)
	return append(data, 0xc0)
}

// Report LOST of issue 37: a very deeply nested entry ends the process that reads it, with
// a stack overflow that nothing recovers from.
func TestDeeplyNestedMessageIsRefused(t *testing.T) {
	var m message
	require.ErrorIs(t, Unmarshal(nested(12<<20), &m), ErrNesting)
	require.ErrorIs(t, Unmarshal(nested(MaxNesting+1), &m), ErrNesting)
	require.NoError(t, Unmarshal(nested(MaxNesting), &m))
}

// What the scan takes for a value must be what the decoder takes for it, or sound messages
// would be refused.
func TestSoundMessagesAreDecoded(t *testing.T) {
	for _, size := range []int{0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536, 70000} {
		sent := message{Name: string(bytes.Repeat([]byte{0x91}, size)), Body: bytes.Repeat([]byte{0xdd}, size), At: time.Unix(5, 6).UTC(), Rate: 1.5, Change: int64(-size) * 1e9,
			Counts: make(map[string]uint64)}
		for n := range min(size, 70000) {
			sent.Counts[string(rune(n))] = uint64(n) << (n % 40)
		}
		sent.Next = &message{Name: "inner", Next: &message{Change: 1}}
		data, err := msgpack.Marshal(&sent)
		require.NoError(t, err)
		require.NoError(t, checkNesting(data))
		var received message
		require.NoError(t, Unmarshal(data, &received))
		received.At = received.At.UTC()
		assert.Equal(t, sent.Next.Next.Change, received.Next.Next.Change)
		assert.Equal(t, sent.Counts, received.Counts)
		assert.Equal(t, sent.At, received.At)
	}
}

// Any bytes are refused or decoded; none ends the process.
func FuzzUnmarshal(f *testing.F) {
	f.Add(nested(80))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc9, 0, 0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m message
		_ = Unmarshal(data, &m) // the error does not matter
	})
}
