// Package codec decodes MessagePack that comes from other processes or from disk. The
// library's decoder recurses with the nesting of what it reads, also of fields that it
// skips, and a stack overflow ends the process; so the nesting is checked first.
package codec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxNesting is how deeply arrays and maps may be nested.
const MaxNesting = 64

// ErrNesting means that arrays and maps are nested more deeply than MaxNesting.
var ErrNesting = errors.Newf("more than %d nested arrays and maps", MaxNesting)

// Unmarshal decodes data into out, which must be a pointer. It fails with ErrNesting before
// anything is decoded.
func Unmarshal(data []byte, out any) error {
	if err := checkNesting(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, out)
}

// checkNesting returns ErrNesting for data that is nested too deeply. Data that is not
// well-formed is left to the decoder.
func checkNesting(data []byte) error {
	var remaining [MaxNesting]uint64 // values that are still to come, by level
	depth := 0
	for len(data) > 0 {
		children, size := scan(data)
		if size > uint64(len(data)) {
			return nil
		}
		data = data[size:]
		if children > 0 {
			if depth == MaxNesting {
				return ErrNesting
			}
			remaining[depth] = children
			depth++
			continue
		}
		for depth > 0 {
			if remaining[depth-1]--; remaining[depth-1] > 0 {
				break
			}
			depth--
		}
	}
	return nil
}

// scan returns how many values the container at the start of data holds, 0 for a scalar,
// and the size of the scalar or of the container's head. The size exceeds that of data if
// data is cut off.
func scan(data []byte) (children, size uint64) {
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, 1
	case msgpcode.IsFixedMap(code):
		return 2 * uint64(code&msgpcode.FixedMapMask), 1
	case msgpcode.IsFixedArray(code):
		return uint64(code & msgpcode.FixedArrayMask), 1
	case msgpcode.IsFixedString(code):
		return 0, 1 + uint64(code&msgpcode.FixedStrMask)
	}
	form := forms[code]
	head := 1 + uint64(form.lengthBytes)
	if uint64(len(data)) < head {
		return 0, head
	}
	length := uintOf(data[1:head])
	if form.perLength > 0 {
		return length * form.perLength, head
	}
	return 0, head + length + uint64(form.fixedBytes)
}

// form is how the value of one code is encoded.
type form struct {
	lengthBytes int    // of the length that follows the code
	fixedBytes  int    // beyond the length
	perLength   uint64 // values for each unit of the length; 0: the length counts bytes
}

// forms holds the codes whose values are longer than the code.
var forms = map[byte]form{
	msgpcode.Uint8: {fixedBytes: 1}, msgpcode.Uint16: {fixedBytes: 2}, msgpcode.Uint32: {fixedBytes: 4}, msgpcode.Uint64: {fixedBytes: 8},
	msgpcode.Int8: {fixedBytes: 1}, msgpcode.Int16: {fixedBytes: 2}, msgpcode.Int32: {fixedBytes: 4}, msgpcode.Int64: {fixedBytes: 8},
	msgpcode.Float: {fixedBytes: 4}, msgpcode.Double: {fixedBytes: 8},
	msgpcode.Str8: {lengthBytes: 1}, msgpcode.Str16: {lengthBytes: 2}, msgpcode.Str32: {lengthBytes: 4},
	msgpcode.Bin8: {lengthBytes: 1}, msgpcode.Bin16: {lengthBytes: 2}, msgpcode.Bin32: {lengthBytes: 4},
	msgpcode.Array16: {lengthBytes: 2, perLength: 1}, msgpcode.Array32: {lengthBytes: 4, perLength: 1},
	msgpcode.Map16: {lengthBytes: 2, perLength: 2}, msgpcode.Map32: {lengthBytes: 4, perLength: 2},
	msgpcode.FixExt1: {fixedBytes: 2}, msgpcode.FixExt2: {fixedBytes: 3}, msgpcode.FixExt4: {fixedBytes: 5}, msgpcode.FixExt8: {fixedBytes: 9}, msgpcode.FixExt16: {fixedBytes: 17},
	msgpcode.Ext8: {lengthBytes: 1, fixedBytes: 1}, msgpcode.Ext16: {lengthBytes: 2, fixedBytes: 1}, msgpcode.Ext32: {lengthBytes: 4, fixedBytes: 1},
}

// uintOf returns the big-endian number of up to 4 bytes.
func uintOf(b []byte) uint64 {
	var padded [8]byte
	copy(padded[8-len(b):], b)
	return binary.BigEndian.Uint64(padded[:])
}
