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
	logDirName      = "log"
	tempDirName     = "log.new"
	incarnationName = "incarnation"
	lockName        = "lock"
)

// Exists reports whether a data directory holds a log. What an unfinished first start
// has left does not count.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, logDirName))
	return err == nil
}

// createLogDir creates an empty log directory with a new incarnation. The
// directory is renamed to its final name only after its contents are synced, so
// that a crash leaves no incomplete log.
func createLogDir(fs durable.FS, dir string) error {
	tempDir := filepath.Join(dir, tempDirName)
	if err := os.RemoveAll(tempDir); err != nil {
		return errors.Wrap(err, "remove unfinished directory")
	}
	if err := os.MkdirAll(tempDir, dirMode); err != nil {
		return errors.Wrap(err, "create directory")
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	text := formatIncarnation(incarnation)
	if err := durable.WriteFile(fs, filepath.Join(tempDir, incarnationName), []byte(text)); err != nil {
		return err
	}
	payload, err := encodeRecord(&record{})
	if err != nil {
		return err
	}
	frame := appendFrame(nil, incarnation, firstSequence, payload)
	if err := durable.WriteFile(fs, segmentPath(tempDir, firstSequence), frame); err != nil {
		return err
	}
	if err := fs.Rename(tempDir, filepath.Join(dir, logDirName)); err != nil {
		return errors.Wrap(err, "rename directory")
	}
	return fs.SyncDir(dir)
}

// newIncarnation returns a random number other than zero.
func newIncarnation() (uint64, error) {
	var raw [8]byte
	for {
		if _, err := rand.Read(raw[:]); err != nil {
			return 0, errors.Wrap(err, "generate incarnation")
		}
		if n := binary.LittleEndian.Uint64(raw[:]); n != 0 {
			return n, nil
		}
	}
}

// formatIncarnation returns the contents of the incarnation file.
func formatIncarnation(incarnation uint64) string {
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
	if incarnation == 0 || string(data) != formatIncarnation(incarnation) {
		return 0, errors.Wrap(ErrDamaged, "incarnation")
	}
	return incarnation, nil
}

// lockDir takes the lock file of dir, so that no second process uses the same log
// and acts under the same incarnation.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "directory %s is in use", dir)
	}
	return f, nil
}
