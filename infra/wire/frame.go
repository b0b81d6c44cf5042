package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/outcome"
)

const (
	// MaxFrameBytes is the largest body of a frame; the header is not counted.
	MaxFrameBytes = 16 << 20
	headerBytes   = 5 // length (4, big endian) and kind (1)
)

type frameKind uint8

const (
	frameOpen  frameKind = 1 // openHeader, first on each stream
	frameData  frameKind = 2 // one message
	frameError frameKind = 3 // outcome.Error; closes the sender's direction
	frameEnd   frameKind = 4 // closes the sender's direction without an error
)

var errBadFrame = errors.New("bad frame")

// writeFrame encodes message and writes header and body with one Write call. A
// nil message gives an empty body.
func writeFrame(w io.Writer, kind frameKind, message any) error {
	var body []byte
	if message != nil {
		encoded, err := msgpack.Marshal(message)
		if err != nil {
			return errors.Wrap(err, "encode frame")
		}
		body = encoded
	}
	if len(body) > MaxFrameBytes {
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "frame of %d bytes exceeds %d", len(body), MaxFrameBytes)
	}
	buf := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	buf[4] = byte(kind)
	copy(buf[headerBytes:], body)
	_, err := w.Write(buf)
	return err
}

// readFrame reads one frame. If the length or the kind in the header is out of
// range it returns errBadFrame without reading the body.
func readFrame(r io.Reader) (frameKind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	kind := frameKind(header[4])
	if size > MaxFrameBytes || kind < frameOpen || kind > frameEnd {
		return 0, nil, errors.Wrapf(errBadFrame, "kind %d, %d bytes", kind, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return kind, body, nil
}
