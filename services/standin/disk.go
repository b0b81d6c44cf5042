package standin

import (
	"os"
	"sync/atomic"

	"banyanwalk/infra/durable"
)

// Disk is a file system whose writes fail on demand with a given error.
type Disk struct {
	durable.OS
	err atomic.Pointer[error]
}

// Fail makes all writes and the creation of files fail with err; nil ends that.
func (d *Disk) Fail(err error) {
	if err == nil {
		d.err.Store(nil)
		return
	}
	d.err.Store(&err)
}

func (d *Disk) failure() error {
	if err := d.err.Load(); err != nil {
		return *err
	}
	return nil
}

// OpenFile implements durable.FS.
func (d *Disk) OpenFile(path string, flag int, mode os.FileMode) (durable.File, error) {
	if err := d.failure(); err != nil && flag&os.O_CREATE != 0 {
		return nil, err
	}
	f, err := d.OS.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return &diskFile{File: f, disk: d}, nil
}

type diskFile struct {
	durable.File
	disk *Disk
}

// Write implements io.Writer.
func (f *diskFile) Write(data []byte) (int, error) {
	if err := f.disk.failure(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}
