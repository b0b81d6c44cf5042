package payload

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/infra/durable"
)

const (
	recordMagic     uint32 = 0x62707931
	headerBytes            = 4 + 4 + 32 + 4 // magic, length, digest, CRC32C over these and the data
	crcOffset              = headerBytes - 4
	maxRecordBytes         = 12 << 20 // fits one RPC frame
	segmentSuffix          = ".seg"
	dirMode                = 0o750
	fileMode               = 0o640
	scanBufferBytes        = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is an append-only file of records, each a header followed by its data.
type segment struct {
	id        uint64
	file      durable.File
	size      int64 // bytes of whole records
	liveBytes int64 // of the records that the index locates in this segment, with headers
	pending   int   // records that are not synced yet
	// ended: nothing is appended any more. After a failed sync the operating system may
	// drop the pages that it could not write and report the next sync of the file as
	// successful.
	ended bool
	// torn: the file may be longer than size, after a failed write or sync.
	torn bool
}

// cut removes what follows the whole records of a segment.
func (s *segment) cut() error {
	if !s.torn {
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return errors.Wrap(err, "cut segment")
	}
	s.torn = false
	return nil
}

func segmentPath(dir string, id uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", id, segmentSuffix))
}

func segmentID(name string) (uint64, bool) {
	hexID, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(hexID, 16, 64)
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

// scan reads the records of a segment from its start and calls visit with the
// offset of each record's data. It stops at the first record that is truncated or
// corrupt and returns the length of the valid part before it.
func scan(f durable.File, visit func(ref batch.Ref, offset int64)) (validBytes int64, err error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return 0, errors.Wrap(err, "seek segment")
	}
	r := bufio.NewReaderSize(f, scanBufferBytes)
	header := make([]byte, headerBytes)
	var data []byte
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return validBytes, ignoreEOF(err)
		}
		ref, ok := decodeHeader(header)
		if !ok {
			return validBytes, nil
		}
		if cap(data) < int(ref.Length) {
			data = make([]byte, ref.Length)
		}
		data = data[:ref.Length]
		if _, err := io.ReadFull(r, data); err != nil {
			return validBytes, ignoreEOF(err)
		}
		if !crcMatches(header, data) {
			return validBytes, nil
		}
		visit(ref, validBytes+headerBytes)
		validBytes += headerBytes + int64(ref.Length)
	}
}

// ignoreEOF returns nil for the end of the file, also in the middle of a record.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.Wrap(err, "read segment")
}
