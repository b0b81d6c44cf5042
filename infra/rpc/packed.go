package rpc

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"

	"banyanwalk/core/catalog"
)

// maxDocumentBytes is the largest decompressed document that a follower accepts.
const maxDocumentBytes = 64 << 20

// PackedCatalog is a catalog with a compressed document. It is compressed because
// documents of hundreds of kilobytes are sent to every process of a site.
type PackedCatalog struct {
	State catalog.State `msgpack:"s"` // with an empty Body
	Body  []byte        `msgpack:"b"` // the document as one S2 block
}

// PackCatalog compresses a catalog. If previous holds the same version of the
// document, its compressed body is reused.
func PackCatalog(state *catalog.State, previous *PackedCatalog) *PackedCatalog {
	packed := &PackedCatalog{State: *state}
	packed.State.Body = nil
	if previous != nil && previous.State.Version == state.Version {
		packed.Body = previous.Body
		return packed
	}
	packed.Body = s2.EncodeBetter(nil, state.Body)
	return packed
}

// Unpack returns the catalog with its decompressed document.
func (p *PackedCatalog) Unpack() (*catalog.State, error) {
	size, err := s2.DecodedLen(p.Body)
	if err != nil {
		return nil, errors.Wrap(err, "decode the size of the compressed document")
	}
	if size > maxDocumentBytes {
		return nil, errors.Newf("document of %d bytes exceeds %d", size, maxDocumentBytes)
	}
	state := p.State
	state.Body, err = s2.Decode(nil, p.Body)
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document")
	}
	return &state, nil
}
