// Package durabletest provides a disk for tests whose writes and syncs fail on
// demand and that loses power.
package durabletest

import (
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/durable"
)

// Disk is a durable.FS over a directory of the operating system. Beside each file's
// current content, which is what readers see, it keeps the content that survives a
// power loss. It is safe for concurrent use.
type Disk struct {
	durable.OS

	mu            sync.Mutex
	room          int // bytes that may still be written; -1: unlimited
	failSyncs     bool
	failTruncates bool
	current       map[string]*inode // by path
	synced        map[string]*inode // directory entries that survive a power loss
}

// inode is the content of a file that survives a power loss.
type inode struct {
	content  []byte
	pending  []change // since the last sync
	unsynced bool     // a sync has failed; later ones write nothing
}

// change is a write at an offset, or a truncation if data is nil.
type change struct {
	offset int64
	data   []byte
}

// NewDisk returns a disk that works.
func NewDisk() *Disk {
	return &Disk{room: -1, current: map[string]*inode{}, synced: map[string]*inode{}}
}

// SetRoom limits the bytes that may still be written; further writes are cut short
// and fail with ENOSPC, and no file can be created once no room is left. A negative
// number removes the limit.
func (d *Disk) SetRoom(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// SetFailSyncs makes each sync of a file fail with EIO. Later syncs of that file
// succeed and write nothing, the worst that an operating system may make of pages
// that it could not write.
func (d *Disk) SetFailSyncs(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = fail
}

// SetFailTruncates makes each truncation of an open file fail with EIO.
func (d *Disk) SetFailTruncates(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failTruncates = fail
}

// OpenFile implements durable.FS.
func (d *Disk) OpenFile(path string, flag int, mode os.FileMode) (durable.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := os.Stat(path)
	created := errors.Is(err, os.ErrNotExist)
	if created && flag&os.O_CREATE != 0 && d.room == 0 {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if created || d.current[path] == nil {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.CombineErrors(err, f.Close())
		}
		d.current[path] = &inode{content: content}
	}
	if flag&os.O_TRUNC != 0 {
		d.current[path].add(0, nil)
	}
	return &file{File: f, disk: d, inode: d.current[path], appends: flag&os.O_APPEND != 0}, nil
}

// Rename implements durable.FS. The rename of a directory is durable at once.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.Rename(from, to); err != nil {
		return err
	}
	if node := d.current[from]; node != nil {
		d.current[to] = node
		delete(d.current, from)
		return nil
	}
	moveBelow(d.current, from, to)
	moveBelow(d.synced, from, to)
	return nil
}

// moveBelow renames the entries of a directory.
func moveBelow(entries map[string]*inode, from, to string) {
	for path, node := range entries {
		if below(path, from) {
			delete(entries, path)
			entries[to+strings.TrimPrefix(path, from)] = node
		}
	}
}

// Remove implements durable.FS.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := os.Remove(path); err != nil {
		return err
	}
	delete(d.current, path)
	return nil
}

// SyncDir implements durable.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSyncs {
		return syscall.EIO
	}
	for _, path := range d.changedNames(dir) {
		if filepath.Dir(path) == dir {
			d.syncName(path)
		}
	}
	return nil
}

// LosePower brings the files under dir that were opened through the disk to the state
// that survives a power loss: of the names that changed since the last sync of their
// directory, none. No file may be open.
func (d *Disk) LosePower(dir string) error {
	return d.LosePowerKeeping(dir, func(string) bool { return false })
}

// LosePowerKeeping is like LosePower, but each name that was created, renamed or removed
// since the last sync of its directory keeps that change if keep reports true for its path.
func (d *Disk) LosePowerKeeping(dir string, keep func(path string) bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, path := range d.changedNames(dir) {
		if keep(path) {
			d.syncName(path)
		}
	}
	for path := range d.current {
		if !below(path, dir) || d.synced[path] != nil {
			continue
		}
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	for path, node := range d.synced {
		if !below(path, dir) {
			continue
		}
		if err := os.WriteFile(path, node.content, 0o600); err != nil {
			return err
		}
		node.pending, node.unsynced = nil, false
	}
	d.current = maps.Clone(d.synced)
	return nil
}

// changedNames returns the paths under dir whose names changed since the last sync of
// their directory, in ascending order.
func (d *Disk) changedNames(dir string) []string {
	var changed []string
	for path, node := range d.current {
		if below(path, dir) && d.synced[path] != node {
			changed = append(changed, path)
		}
	}
	for path := range d.synced {
		if below(path, dir) && d.current[path] == nil {
			changed = append(changed, path)
		}
	}
	slices.Sort(changed)
	return changed
}

// syncName makes the present state of one name survive a power loss.
func (d *Disk) syncName(path string) {
	if node := d.current[path]; node != nil {
		d.synced[path] = node
		return
	}
	delete(d.synced, path)
}

func below(path, dir string) bool {
	return strings.HasPrefix(path, dir+string(filepath.Separator))
}

func (n *inode) add(offset int64, data []byte) {
	n.pending = append(n.pending, change{offset: offset, data: slices.Clone(data)})
}

// flush applies the pending changes to the content that survives a power loss.
func (n *inode) flush() {
	for _, c := range n.pending {
		end := c.offset + int64(len(c.data))
		if c.data == nil {
			n.content = n.content[:min(c.offset, int64(len(n.content)))]
			continue
		}
		if grow := end - int64(len(n.content)); grow > 0 {
			n.content = append(n.content, make([]byte, grow)...)
		}
		copy(n.content[c.offset:], c.data)
	}
	n.pending = nil
}

// file is an open file of a disk.
type file struct {
	*os.File
	disk    *Disk
	inode   *inode
	appends bool
}

// take reserves room for a write and returns how many of its bytes fit.
func (d *Disk) take(bytes int) (int, error) {
	if d.room < 0 {
		return bytes, nil
	}
	taken := min(bytes, d.room)
	d.room -= taken
	if taken < bytes {
		return taken, syscall.ENOSPC
	}
	return taken, nil
}

// Write implements io.Writer.
func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	offset, err := f.position()
	if err != nil {
		return 0, err
	}
	return f.writeWith(data, offset, f.File.Write)
}

// WriteAt implements io.WriterAt.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.writeWith(data, offset, func(part []byte) (int, error) { return f.File.WriteAt(part, offset) })
}

// position returns the offset of the next Write.
func (f *file) position() (int64, error) {
	if !f.appends {
		return f.Seek(0, io.SeekCurrent)
	}
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// writeWith writes the part of data that fits.
func (f *file) writeWith(data []byte, offset int64, write func([]byte) (int, error)) (int, error) {
	fits, full := f.disk.take(len(data))
	if fits > 0 {
		if n, err := write(data[:fits]); err != nil {
			return n, err
		}
		f.inode.add(offset, data[:fits])
	}
	return fits, full
}

// Truncate implements durable.File.
func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failTruncates {
		return syscall.EIO
	}
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	f.inode.add(size, nil)
	return nil
}

// Sync implements durable.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failSyncs {
		f.inode.unsynced = true
		return syscall.EIO
	}
	if f.inode.unsynced {
		return nil
	}
	f.inode.flush()
	return nil
}
