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

// SyncDir calls fsync on a directory, which makes created and renamed entries durable.
func SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "sync directory")
}

// WriteFile writes parts to a file atomically and syncs its directory.
func WriteFile(path string, parts ...[]byte) error {
	err := WriteAtomic(path, func(f io.Writer) error {
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
	return SyncDir(filepath.Dir(path))
}

// WriteAtomic writes a temporary file through write, syncs it and renames it to path. The
// new directory entry is durable only after SyncDir on the directory; one SyncDir can
// cover several files.
func WriteAtomic(path string, write func(f io.Writer) error) error {
	temp := path + TempSuffix
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
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
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(os.Rename(temp, path), "rename file")
}
