// Package archive keeps texts on disk that never change any more: one file for
// each name, whole or not there.
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

// Layout of a file: magic, number of texts, for each one its length and its
// CRC32C, then the CRC32C of all that; then the texts. Little endian.
const (
	magic     uint32 = 0x41575942
	headSize         = 4 + 4
	entrySize        = 4 + 4
	sumSize          = 4
	maxTexts         = 1 << 20
	dirMode          = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrMissing means that nothing is kept under a name, ErrDamaged that what is
// kept is not what was put.
var (
	ErrMissing = errors.New("archive: nothing is kept under this name")
	ErrDamaged = errors.New("archive: damaged")
)

// Archive is an open folder. It is safe for concurrent use.
type Archive struct {
	dir string

	mu    sync.Mutex
	files map[string]bool // names of files that are whole and durable
}

// Open opens a folder, which it creates, and drops what interrupted writes left.
func Open(dir string) (*Archive, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create archive")
	}
	if err := durable.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list archive")
	}
	a := &Archive{dir: dir, files: make(map[string]bool, len(entries))}
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), durable.TempSuffix) {
			a.files[entry.Name()] = true
			continue
		}
		if err := os.Remove(filepath.Join(dir, entry.Name())); err != nil {
			return nil, errors.Wrap(err, "remove an interrupted write")
		}
	}
	return a, nil
}

// fileOf returns the name of the file that keeps a name, which callers choose.
func fileOf(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:])
}

// Has reports whether texts are kept under a name.
func (a *Archive) Has(name string) bool { return a.holds(fileOf(name)) }

func (a *Archive) holds(file string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.files[file]
}

// Entry is what is to be kept under one name.
type Entry struct {
	Name  string
	Texts []string
}

// Put makes entries durable, together. Names that are there stay as they are.
func (a *Archive) Put(entries []Entry) error {
	var written []string
	for i := range entries {
		file := fileOf(entries[i].Name)
		if a.holds(file) {
			continue
		}
		err := durable.Place(filepath.Join(a.dir, file), func(f io.Writer) error { return writeTexts(f, entries[i].Texts) })
		if err != nil {
			return err
		}
		written = append(written, file)
	}
	if len(written) == 0 {
		return nil
	}
	if err := durable.SyncDir(a.dir); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, file := range written {
		a.files[file] = true
	}
	return nil
}

func writeTexts(f io.Writer, texts []string) error {
	head := binary.LittleEndian.AppendUint32(nil, magic)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(texts)))
	for _, text := range texts {
		head = binary.LittleEndian.AppendUint32(head, uint32(len(text)))
		head = binary.LittleEndian.AppendUint32(head, crc32.Checksum([]byte(text), castagnoli))
	}
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
	w := bufio.NewWriter(f)
	if _, err := w.Write(head); err != nil {
		return err
	}
	for _, text := range texts {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Get returns the texts of a name from a position on, up to the first one with
// which they have maxBytes or more.
func (a *Archive) Get(name string, from, maxBytes int) ([]string, error) {
	file := fileOf(name)
	if !a.holds(file) {
		return nil, ErrMissing
	}
	f, err := os.Open(filepath.Join(a.dir, file))
	if err != nil {
		return nil, errors.Wrap(err, "open archive file")
	}
	defer f.Close()
	entries, at, err := readHead(f)
	if err != nil {
		return nil, err
	}
	var texts []string
	size := 0
	for i := range entries {
		if i >= from && size < maxBytes {
			text, err := entries[i].read(f, at)
			if err != nil {
				return nil, err
			}
			texts = append(texts, text)
			size += len(text)
		}
		at += int64(entries[i].length)
	}
	return texts, nil
}

// entry is one text as the head of a file names it.
type entry struct {
	length, sum uint32
}

// readHead returns the texts that a file names and where the first one begins.
func readHead(f io.ReaderAt) (entries []entry, end int64, err error) {
	head := make([]byte, headSize)
	if _, err := f.ReadAt(head, 0); err != nil {
		return nil, 0, readError(err)
	}
	count := binary.LittleEndian.Uint32(head[4:])
	if binary.LittleEndian.Uint32(head) != magic || count > maxTexts {
		return nil, 0, errors.Wrap(ErrDamaged, "head of a file")
	}
	size := headSize + int(count)*entrySize
	head = make([]byte, size+sumSize)
	if _, err := f.ReadAt(head, 0); err != nil {
		return nil, 0, readError(err)
	}
	if binary.LittleEndian.Uint32(head[size:]) != crc32.Checksum(head[:size], castagnoli) {
		return nil, 0, errors.Wrap(ErrDamaged, "head of a file")
	}
	for at := headSize; at < size; at += entrySize {
		entries = append(entries, entry{length: binary.LittleEndian.Uint32(head[at:]), sum: binary.LittleEndian.Uint32(head[at+4:])})
	}
	return entries, int64(len(head)), nil
}

// readError tells a file that is too short from a disk that cannot be read.
func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrDamaged, "a file is too short")
	}
	return errors.Wrap(err, "read archive file")
}

func (e entry) read(f io.ReaderAt, at int64) (string, error) {
	text := make([]byte, e.length)
	if _, err := f.ReadAt(text, at); err != nil && (e.length > 0 || !errors.Is(err, io.EOF)) {
		return "", readError(err)
	}
	if crc32.Checksum(text, castagnoli) != e.sum {
		return "", errors.Wrap(ErrDamaged, "text")
	}
	return string(text), nil
}

// Keep drops all names but the given ones.
func (a *Archive) Keep(names []string) error {
	kept := make(map[string]bool, len(names))
	for _, name := range names {
		kept[fileOf(name)] = true
	}
	a.mu.Lock()
	var stale []string
	for file := range a.files {
		if !kept[file] {
			stale = append(stale, file)
			delete(a.files, file)
		}
	}
	a.mu.Unlock()
	return a.remove(stale)
}

// Drop drops names.
func (a *Archive) Drop(names []string) error {
	var files []string
	a.mu.Lock()
	for _, name := range names {
		if file := fileOf(name); a.files[file] {
			files = append(files, file)
			delete(a.files, file)
		}
	}
	a.mu.Unlock()
	return a.remove(files)
}

func (a *Archive) remove(files []string) error {
	for _, file := range files {
		if err := os.Remove(filepath.Join(a.dir, file)); err != nil {
			return errors.Wrap(err, "remove archive file")
		}
	}
	return nil
}
