package rpc

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"

	"banyanwalk/core/catalog"
)

// maxDocumentBytes bounds a document that a follower takes, decompressed.
const maxDocumentBytes = 64 << 20

// PackedCatalog is a catalog whose document is compressed: documents of
// hundreds of kilobytes go to every process of a site.
type PackedCatalog struct {
	State catalog.State `msgpack:"s"` // without its body
	Body  []byte        `msgpack:"b"` // the document as one block of s2
}

// PackCatalog compresses a catalog. It takes over the body of before, if that
// is of the same document.
func PackCatalog(state *catalog.State, before *PackedCatalog) *PackedCatalog {
	packed := &PackedCatalog{State: *state}
	packed.State.Body = nil
	if before != nil && before.State.Version == state.Version {
		packed.Body = before.Body
		return packed
	}
	packed.Body = s2.EncodeBetter(nil, state.Body)
	return packed
}

// Unpack returns the catalog with its document.
func (p *PackedCatalog) Unpack() (*catalog.State, error) {
	size, err := s2.DecodedLen(p.Body)
	if err != nil {
		return nil, errors.Wrap(err, "size of the packed document")
	}
	if size > maxDocumentBytes {
		return nil, errors.Newf("packed document of %d bytes, at most %d", size, maxDocumentBytes)
	}
	state := p.State
	state.Body, err = s2.Decode(nil, p.Body)
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document")
	}
	return &state, nil
}
