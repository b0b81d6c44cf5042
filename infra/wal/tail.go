package wal

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/durable"
)

// unsyncedMark is the name of a file that marks a last segment whose sync failed when the
// log was opened. It need not outlive a loss of power, after which the segment holds what
// is on disk.
const unsyncedMark = "tail-unsynced"

// tailState tells how the next frame is written.
type tailState int

const (
	tailAppendable tailState = iota
	// tailTorn: a failed write may have left a part of a frame, which is cut off.
	tailTorn
	// tailEnded: the next frame starts a new segment. After a failed sync the
	// operating system may drop the pages that it could not write and report the next
	// sync of the file as successful, so nothing is appended to that file any more.
	// Nor to a file that another process has written, whose last sync may have failed.
	tailEnded
)

// prepareTail makes the last segment ready for the next frame, or starts a new one.
func (l *Log) prepareTail() error {
	switch {
	case l.tailState == tailEnded || l.tailSize >= l.options.SegmentBytes:
		l.tailState = tailEnded
		if err := l.startSegment(); err != nil {
			return errors.CombineErrors(err, l.cutEndedTail())
		}
	case l.tailState == tailTorn:
		if err := l.cutTail(); err != nil {
			return err
		}
		l.tailState = tailAppendable
	}
	return nil
}

// cutEndedTail repeats the cut after a failed sync, which may have failed, too, as long
// as no new segment supersedes the frame.
func (l *Log) cutEndedTail() error {
	if l.tailFile == nil {
		return nil // the last segment was removed when the log was opened
	}
	return l.cutTail()
}

// cutTail removes what follows the last synced frame, so that a process that opens
// the log now does not take it for synced. A frame that is on disk all the same is
// superseded by the next segment, which starts with its sequence number.
func (l *Log) cutTail() error {
	return errors.Wrap(l.tailFile.Truncate(int64(l.tailSize)), "cut unsynced frame")
}

// syncOpenedTail syncs the last segment of a log that is being opened. If an earlier
// process failed to, the operating system may report the sync of the same file as
// successful though it has dropped pages, so a copy replaces it.
func (l *Log) syncOpenedTail(last segment) error {
	mark := filepath.Join(l.dir, unsyncedMark)
	if _, err := os.Stat(mark); err == nil {
		if err := l.copyTail(last); err != nil {
			return err
		}
		return errors.Wrap(l.options.FS.Remove(mark), "remove mark of unsynced segment")
	}
	err := l.tailFile.Sync()
	if err == nil {
		return nil
	}
	marked, markErr := l.options.FS.OpenFile(mark, os.O_CREATE|os.O_WRONLY, fileMode)
	if markErr == nil {
		markErr = marked.Close()
	}
	return errors.CombineErrors(errors.Wrap(err, "sync last segment"), errors.Wrap(markErr, "mark unsynced segment"))
}

// copyTail replaces the last segment by a synced copy of its frames.
func (l *Log) copyTail(last segment) error {
	frames, err := os.ReadFile(last.path)
	if err != nil {
		return errors.Wrap(err, "read last segment")
	}
	if err := durable.WriteFile(l.options.FS, last.path, frames[:l.tailSize]); err != nil {
		return errors.Wrap(err, "copy last segment")
	}
	copied, err := l.options.FS.OpenFile(last.path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, "open copy of last segment")
	}
	former := l.tailFile
	l.tailFile = copied
	return errors.Wrap(former.Close(), "close former last segment")
}
