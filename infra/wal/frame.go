package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Layout of a frame: magic, length of the payload, sequence, CRC32C of
// incarnation, sequence and payload, then the payload. Little endian.
const (
	frameMagic      uint32 = 0x4c475742
	frameHeaderSize        = 4 + 4 + 8 + 4
	maxPayload             = 1 << 30 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the incarnation, so that frames of another folder don't pass.
func checksum(incarnation, sequence uint64, payload []byte) uint32 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], incarnation)
	binary.LittleEndian.PutUint64(head[8:], sequence)
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendFrame adds a frame to dst.
func appendFrame(dst []byte, incarnation, sequence uint64, payload []byte) []byte {
	return append(appendFrameHead(dst, incarnation, sequence, payload), payload...)
}

// appendFrameHead adds what goes before the payload of a frame.
func appendFrameHead(dst []byte, incarnation, sequence uint64, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, frameMagic)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, sequence)
	return binary.LittleEndian.AppendUint32(dst, checksum(incarnation, sequence, payload))
}

// readFrame returns the payload of the frame at the start of data and the size
// of the frame. ok is false when there is no whole frame of this sequence.
func readFrame(data []byte, incarnation, sequence uint64) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxPayload || int(length) > len(data)-frameHeaderSize {
		return nil, 0, false
	}
	if binary.LittleEndian.Uint64(data[8:]) != sequence {
		return nil, 0, false
	}
	payload = data[frameHeaderSize : frameHeaderSize+int(length)]
	if binary.LittleEndian.Uint32(data[16:]) != checksum(incarnation, sequence, payload) {
		return nil, 0, false
	}
	return payload, frameHeaderSize + int(length), true
}

// hasFrameAfter reports whether any whole frame of sequence or later starts
// within data.
func hasFrameAfter(data []byte, incarnation, sequence uint64) bool {
	for at := 0; at+frameHeaderSize <= len(data); at++ {
		if binary.LittleEndian.Uint32(data[at:]) != frameMagic {
			continue
		}
		found := binary.LittleEndian.Uint64(data[at+8:])
		if found < sequence {
			continue
		}
		if _, _, ok := readFrame(data[at:], incarnation, found); ok {
			return true
		}
	}
	return false
}
