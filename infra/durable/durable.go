// Package durable makes files and their names outlive a loss of power.
package durable

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// TempSuffix ends the name of a file whose write was interrupted.
const TempSuffix = ".tmp"

const fileMode = 0o600

// SyncDir makes the names in a folder durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync folder")
}

// WriteFile writes a new file and makes it durable under its final name.
func WriteFile(path string, parts ...[]byte) error {
	err := Place(path, func(f io.Writer) error {
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

// Place gives a file its final name once what write has written is on disk. The
// name is durable after SyncDir of its folder, which several files may share.
func Place(path string, write func(f io.Writer) error) error {
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
