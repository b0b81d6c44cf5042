// Package archive stores immutable lists of texts on disk, one file for each name.
// A file is either complete or absent.
package archive

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/durable"
)

// Layout of a file, little endian: a header with magic number, number of texts,
// length and CRC32C of each text, and the CRC32C of the header so far; then the
// texts.
const (
	magic        uint32 = 0x41575942
	headerSize          = 4 + 4
	entrySize           = 4 + 4
	checksumSize        = 4
	maxTexts            = 1 << 20
	dirMode             = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrMissing means that no texts are stored under a name, ErrDamaged that a file is
// truncated or corrupt.
var (
	ErrMissing = errors.New("archive: no texts stored under this name")
	ErrDamaged = errors.New("archive: file is damaged")
)

// Archive is an archive directory. It is safe for concurrent use.
type Archive struct {
	dir string
	fs  durable.FS

	mu        sync.Mutex
	fileNames map[string]bool // names of the files that are complete and durable
}

// Open opens the archive in dir, which it creates if needed, and removes the
// temporary files of interrupted writes. It syncs the directory, because a process that
// was killed may have left the name of a complete file unsynced. nil fs means the
// operating system.
func Open(dir string, fs durable.FS) (*Archive, error) {
	if fs == nil {
		fs = durable.OS{}
	}
	if err := durable.MkdirAll(fs, dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create archive")
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list archive")
	}
	a := &Archive{dir: dir, fs: fs, fileNames: make(map[string]bool, len(entries))}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), durable.TempSuffix) {
			a.fileNames[entry.Name()] = true
			continue
		}
		if err := fs.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return nil, errors.Wrap(err, "remove temporary file")
		}
	}
	if err := fs.SyncDir(dir); err != nil {
		return nil, err
	}
	return a, nil
}

// fileName returns the file name for a name. Names are chosen by callers and may not
// be valid file names, so their SHA-256 is used.
func fileName(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:])
}

// Has reports whether texts are stored under a name.
func (a *Archive) Has(name string) bool { return a.contains(fileName(name)) }

func (a *Archive) contains(file string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fileNames[file]
}

// Entry holds the texts to store under one name.
type Entry struct {
	Name  string
	Texts []string
}

// Put stores entries and makes them durable with one sync of the directory. Names
// that already exist are left unchanged.
func (a *Archive) Put(entries []Entry) error {
	var written []string
	for i := range entries {
		file := fileName(entries[i].Name)
		if a.contains(file) {
			continue
		}
		err := durable.WriteAtomic(a.fs, filepath.Join(a.dir, file), func(f io.Writer) error { return writeTexts(f, entries[i].Texts) })
		if err != nil {
			return err
		}
		written = append(written, file)
	}
	if len(written) == 0 {
		return nil
	}
	if err := a.fs.SyncDir(a.dir); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, file := range written {
		a.fileNames[file] = true
	}
	return nil
}

// writeTexts writes the contents of an archive file.
func writeTexts(f io.Writer, texts []string) error {
	header := binary.LittleEndian.AppendUint32(nil, magic)
	header = binary.LittleEndian.AppendUint32(header, uint32(len(texts)))
	for _, text := range texts {
		header = binary.LittleEndian.AppendUint32(header, uint32(len(text)))
		header = binary.LittleEndian.AppendUint32(header, crc32.Checksum([]byte(text), castagnoli))
	}
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
	w := bufio.NewWriter(f)
	if _, err := w.Write(header); err != nil {
		return err
	}
	for _, text := range texts {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Get returns the texts stored under a name, starting at index from. It stops after
// the text with which their total size reaches maxBytes.
func (a *Archive) Get(name string, from, maxBytes int) ([]string, error) {
	file := fileName(name)
	if !a.contains(file) {
		return nil, ErrMissing
	}
	f, err := os.Open(filepath.Join(a.dir, file))
	if err != nil {
		return nil, errors.Wrap(err, "open archive file")
	}
	defer f.Close()
	infos, offset, err := readHeader(f)
	if err != nil {
		return nil, err
	}
	var texts []string
	size := 0
	for i := range infos {
		if i >= from && size < maxBytes {
			text, err := infos[i].read(f, offset)
			if err != nil {
				return nil, err
			}
			texts = append(texts, text)
			size += len(text)
		}
		offset += int64(infos[i].length)
	}
	return texts, nil
}

// textInfo is the header entry of one text.
type textInfo struct {
	length, checksum uint32
}

// readHeader returns the header entries of a file and the offset of the first text.
func readHeader(f io.ReaderAt) (infos []textInfo, textsOffset int64, err error) {
	header := make([]byte, headerSize)
	if _, err := f.ReadAt(header, 0); err != nil {
		return nil, 0, classifyReadError(err)
	}
	count := binary.LittleEndian.Uint32(header[4:])
	if binary.LittleEndian.Uint32(header) != magic || count > maxTexts {
		return nil, 0, errors.Wrap(ErrDamaged, "magic number or text count")
	}
	size := headerSize + int(count)*entrySize
	header = make([]byte, size+checksumSize)
	if _, err := f.ReadAt(header, 0); err != nil {
		return nil, 0, classifyReadError(err)
	}
	if binary.LittleEndian.Uint32(header[size:]) != crc32.Checksum(header[:size], castagnoli) {
		return nil, 0, errors.Wrap(ErrDamaged, "header checksum")
	}
	for offset := headerSize; offset < size; offset += entrySize {
		infos = append(infos, textInfo{length: binary.LittleEndian.Uint32(header[offset:]), checksum: binary.LittleEndian.Uint32(header[offset+4:])})
	}
	return infos, int64(len(header)), nil
}

// classifyReadError returns ErrDamaged if the file is too short and wraps any other
// read error.
func classifyReadError(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrDamaged, "file is too short")
	}
	return errors.Wrap(err, "read archive file")
}

// read reads the text at offset and verifies its checksum.
func (t textInfo) read(f io.ReaderAt, offset int64) (string, error) {
	text := make([]byte, t.length)
	if _, err := f.ReadAt(text, offset); err != nil && (t.length > 0 || !errors.Is(err, io.EOF)) {
		return "", classifyReadError(err)
	}
	if crc32.Checksum(text, castagnoli) != t.checksum {
		return "", errors.Wrap(ErrDamaged, "text")
	}
	return string(text), nil
}

// RetainOnly removes all names except the given ones.
func (a *Archive) RetainOnly(names []string) error {
	kept := make(map[string]bool, len(names))
	for _, name := range names {
		kept[fileName(name)] = true
	}
	a.mu.Lock()
	var stale []string
	for file := range a.fileNames {
		if !kept[file] {
			stale = append(stale, file)
			delete(a.fileNames, file)
		}
	}
	a.mu.Unlock()
	return a.remove(stale)
}

// Drop removes the given names, if they exist.
func (a *Archive) Drop(names []string) error {
	var files []string
	a.mu.Lock()
	for _, name := range names {
		if file := fileName(name); a.fileNames[file] {
			files = append(files, file)
			delete(a.fileNames, file)
		}
	}
	a.mu.Unlock()
	return a.remove(files)
}

// remove removes files durably: a file that a power loss brings back would stand in for
// the texts of a later job with the same name.
func (a *Archive) remove(files []string) error {
	if len(files) == 0 {
		return nil
	}
	for _, file := range files {
		if err := a.fs.Remove(filepath.Join(a.dir, file)); err != nil {
			return errors.Wrap(err, "remove archive file")
		}
	}
	return a.fs.SyncDir(a.dir)
}
