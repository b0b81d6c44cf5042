package batch

import (
	"encoding/binary"

	"banyanwalk/core/outcome"
)

const (
	// MaxTemplates is the maximum number of templates of a job.
	MaxTemplates = 256
	// MaxFileBytes is the maximum size of an input file, since offsets have 32 bits.
	MaxFileBytes = 1<<32 - 1
)

// IndexBuilder encodes the position of each item in an input file: the gap after
// the previous item and the length as unsigned varints, and the template as one
// byte.
type IndexBuilder struct {
	packed []byte
	end    uint32
	count  int
}

// Add appends an item. Items are added in ascending order of offset.
func (b *IndexBuilder) Add(offset, length uint32, template uint8) {
	b.packed = binary.AppendUvarint(b.packed, uint64(offset-b.end))
	b.packed = binary.AppendUvarint(b.packed, uint64(length))
	b.packed = append(b.packed, template)
	b.end = offset + length
	b.count++
}

// Bytes returns the encoded index.
func (b *IndexBuilder) Bytes() []byte { return b.packed }

// Count returns the number of items.
func (b *IndexBuilder) Count() int { return b.count }

// item is the state of one item. It is kept to 32 bytes, since a job may have
// 82,000 items.
type item struct {
	offset       uint32
	length       uint32
	record       uint32 // 1 + index in job.records; 0: no result payload
	resultOffset uint32
	resultLength uint32
	attempt      uint32 // number of the latest attempt
	code         uint16 // outcome.Code of the failed item, or of its latest failed attempt
	template     uint8
	state        ItemState
	failures     uint8 // number of counted failed attempts
	outcome      uint8
}

// unpackIndex decodes an index built by IndexBuilder and checks it against the
// file size and the number of templates.
func unpackIndex(packed []byte, templates int, fileBytes int64) ([]item, error) {
	items := make([]item, 0, len(packed)/4)
	end := uint64(0)
	for len(packed) > 0 {
		gap, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, invalidIndex(len(items))
		}
		length, k := binary.Uvarint(packed[n:])
		if k <= 0 || len(packed) <= n+k {
			return nil, invalidIndex(len(items))
		}
		template := packed[n+k]
		packed = packed[n+k+1:]
		if gap > MaxFileBytes || length > MaxFileBytes {
			return nil, invalidIndex(len(items))
		}
		offset := end + gap
		end = offset + length
		if int(template) >= templates || end > uint64(fileBytes) {
			return nil, invalidIndex(len(items))
		}
		items = append(items, item{offset: uint32(offset), length: uint32(length), template: template})
	}
	return items, nil
}

func invalidIndex(line int) error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "index of item %d does not fit the input file", line)
}
