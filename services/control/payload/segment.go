package payload

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
)

const (
	recordMagic     uint32 = 0x62707931
	headerBytes            = 4 + 4 + 32 + 4 // magic, length, digest, CRC32C over all of it and the data
	crcOffset              = headerBytes - 4
	maxRecordBytes         = 12 << 20 // fits a frame between processes
	segmentSuffix          = ".seg"
	folderMode             = 0o750
	fileMode               = 0o640
	scanBufferBytes        = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of records.
type segment struct {
	id        uint64
	file      *os.File
	size      int64 // bytes
	liveBytes int64 // of records that are indexed here
}

func segmentPath(dir string, id uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", id, segmentSuffix))
}

func segmentID(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(hex, 16, 64)
	return id, err == nil
}

func encodeHeader(ref batch.Ref, data []byte) []byte {
	h := make([]byte, headerBytes)
	binary.BigEndian.PutUint32(h, recordMagic)
	binary.BigEndian.PutUint32(h[4:], ref.Length)
	copy(h[8:], ref.Digest[:])
	crc := crc32.Update(crc32.Checksum(h[:crcOffset], castagnoli), castagnoli, data)
	binary.BigEndian.PutUint32(h[crcOffset:], crc)
	return h
}

func decodeHeader(h []byte) (batch.Ref, bool) {
	ref := batch.Ref{Length: binary.BigEndian.Uint32(h[4:])}
	copy(ref.Digest[:], h[8:])
	return ref, binary.BigEndian.Uint32(h) == recordMagic && ref.Length <= maxRecordBytes
}

func crcMatches(h, data []byte) bool {
	crc := crc32.Update(crc32.Checksum(h[:crcOffset], castagnoli), castagnoli, data)
	return binary.BigEndian.Uint32(h[crcOffset:]) == crc
}

// scan reads all records of a segment and calls found with the offset of each
// record's data. It returns the length of the sound part: reading stops at
// the first record that is cut or damaged.
func scan(f *os.File, found func(ref batch.Ref, offset int64)) (sound int64, err error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return 0, errors.Wrap(err, "seek segment")
	}
	r := bufio.NewReaderSize(f, scanBufferBytes)
	header := make([]byte, headerBytes)
	var data []byte
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return sound, endOfScan(err)
		}
		ref, ok := decodeHeader(header)
		if !ok {
			return sound, nil
		}
		if cap(data) < int(ref.Length) {
			data = make([]byte, ref.Length)
		}
		data = data[:ref.Length]
		if _, err := io.ReadFull(r, data); err != nil {
			return sound, endOfScan(err)
		}
		if !crcMatches(header, data) {
			return sound, nil
		}
		found(ref, sound+headerBytes)
		sound += headerBytes + int64(ref.Length)
	}
}

func endOfScan(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.Wrap(err, "read segment")
}
