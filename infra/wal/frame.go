package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Layout of a frame, little endian: magic number, length of the payload, sequence
// number, CRC32C over incarnation, sequence and payload, then the payload.
const (
	frameMagic      uint32 = 0x4c475742
	frameHeaderSize        = 4 + 4 + 8 + 4
	maxPayload             = 1 << 30 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the incarnation, so that frames copied from another log
// directory are not accepted.
func checksum(incarnation, sequence uint64, payload []byte) uint32 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], incarnation)
	binary.LittleEndian.PutUint64(head[8:], sequence)
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendFrame appends an encoded frame to dst.
func appendFrame(dst []byte, incarnation, sequence uint64, payload []byte) []byte {
	return append(appendFrameHeader(dst, incarnation, sequence, payload), payload...)
}

// appendFrameHeader appends the header of the frame that holds payload.
func appendFrameHeader(dst []byte, incarnation, sequence uint64, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, frameMagic)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, sequence)
	return binary.LittleEndian.AppendUint32(dst, checksum(incarnation, sequence, payload))
}

// readFrame returns the payload and the size of the frame at the start of data. ok
// is false if there is no complete, valid frame with this sequence number.
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

// hasFrameAfter reports whether a valid frame with this or a higher sequence number
// starts anywhere in data.
func hasFrameAfter(data []byte, incarnation, sequence uint64) bool {
	for offset := 0; offset+frameHeaderSize <= len(data); offset++ {
		if binary.LittleEndian.Uint32(data[offset:]) != frameMagic {
			continue
		}
		foundSequence := binary.LittleEndian.Uint64(data[offset+8:])
		if foundSequence < sequence {
			continue
		}
		if _, _, ok := readFrame(data[offset:], incarnation, foundSequence); ok {
			return true
		}
	}
	return false
}
