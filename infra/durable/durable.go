// Package durable writes files atomically, so that their contents and directory
// entries survive a power loss.
package durable

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// TempSuffix is the suffix of a temporary file. Such a file remains after an
// interrupted write and may be removed.
const TempSuffix = ".tmp"

const fileMode = 0o600

// File is an open file. *os.File implements it.
type File interface {
	io.Reader
	io.ReaderAt
	io.Seeker
	io.Writer
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the file system that durable state is written through. Tests replace it to
// make writes and syncs fail.
type FS interface {
	// OpenFile opens a file like os.OpenFile.
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	// Rename and Remove are durable only after SyncDir on the directory.
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir calls fsync on a directory, which makes created, renamed and removed
	// entries durable.
	SyncDir(dir string) error
}

// OS is the file system of the operating system.
type OS struct{}

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // not f: an interface holding a nil *os.File is not nil
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error { return SyncDir(dir) }

// SyncDir calls fsync on a directory of the operating system.
func SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "sync directory")
}

// MkdirAll creates a directory and its missing parents, like os.MkdirAll, and syncs the
// parent of each directory that it creates.
func MkdirAll(fs FS, dir string, mode os.FileMode) error {
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := MkdirAll(fs, parent, mode); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, mode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	return fs.SyncDir(parent)
}

// WriteFile writes parts to a file atomically and syncs its directory. After an
// error it may be called again; the file is then written anew.
func WriteFile(fs FS, path string, parts ...[]byte) error {
	err := WriteAtomic(fs, path, func(f io.Writer) error {
		for _, part := range parts {
			if _, err := f.Write(part); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(path))
}

// WriteAtomic writes a temporary file through write, syncs it and renames it to path. The
// new directory entry is durable only after SyncDir on the directory; one SyncDir can
// cover several files. After an error the temporary file is removed, so that it
// takes no room on a full disk.
func WriteAtomic(fs FS, path string, write func(f io.Writer) error) error {
	temp := path + TempSuffix
	// A new file, since a sync of a file whose sync has failed proves nothing.
	if err := fs.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove temporary file")
	}
	f, err := fs.OpenFile(temp, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = fs.Rename(temp, path)
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write file"), fs.Remove(temp))
	}
	return nil
}
