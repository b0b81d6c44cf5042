package wal

import "github.com/cockroachdb/errors"

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
