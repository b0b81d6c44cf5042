package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/durable"
)

const (
	folderName      = "log"
	newFolderName   = "log.new"
	incarnationName = "incarnation"
	lockName        = "lock"
)

// createFolder makes a blank log folder with a new incarnation. The folder gets
// its name only when everything in it is synced.
func createFolder(dir string) error {
	fresh := filepath.Join(dir, newFolderName)
	if err := os.RemoveAll(fresh); err != nil {
		return errors.Wrap(err, "remove unfinished folder")
	}
	if err := os.MkdirAll(fresh, folderMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	text := incarnationText(incarnation)
	if err := durable.WriteFile(filepath.Join(fresh, incarnationName), []byte(text)); err != nil {
		return err
	}
	payload, err := encodeRecord(&record{})
	if err != nil {
		return err
	}
	frame := appendFrame(nil, incarnation, 1, payload)
	if err := durable.WriteFile(segmentPath(fresh, 1), frame); err != nil {
		return err
	}
	if err := os.Rename(fresh, filepath.Join(dir, folderName)); err != nil {
		return errors.Wrap(err, "name folder")
	}
	return durable.SyncDir(dir)
}

// newIncarnation draws a random number, never zero.
func newIncarnation() (uint64, error) {
	var raw [8]byte
	for {
		if _, err := rand.Read(raw[:]); err != nil {
			return 0, errors.Wrap(err, "draw incarnation")
		}
		if n := binary.LittleEndian.Uint64(raw[:]); n != 0 {
			return n, nil
		}
	}
}

func incarnationText(incarnation uint64) string {
	number := fmt.Sprintf("%016x", incarnation)
	return fmt.Sprintf("%s %08x\n", number, crc32.Checksum([]byte(number), castagnoli))
}

func readIncarnation(dir string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(dir, incarnationName))
	if err != nil {
		return 0, errors.Wrapf(ErrDamaged, "incarnation: %v", err)
	}
	var incarnation uint64
	if _, err := fmt.Sscanf(string(data), "%x", &incarnation); err != nil {
		return 0, errors.Wrapf(ErrDamaged, "incarnation: %v", err)
	}
	if incarnation == 0 || string(data) != incarnationText(incarnation) {
		return 0, errors.Wrap(ErrDamaged, "incarnation")
	}
	return incarnation, nil
}

// lockFolder keeps a second process, which would speak for the same
// incarnation, away from the folder.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "folder %s is in use", dir)
	}
	return f, nil
}
