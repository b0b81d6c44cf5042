// Package wal implements the write-ahead log of one Raft replica: segment files
// of checksummed frames, snapshot files, and the incarnation, a random number that
// identifies the log directory.
//
// Layout of the directory:
//
//	log/incarnation          incarnation as text with a checksum
//	log/<sequence>.wal       segments, named after the sequence of their first frame
//	log/<index>-<term>.snap  snapshots; the log refers to the current one
//	log/lock                 lock file, held while the directory is open
//
// One Save writes one frame and calls fsync once, so frame n+1 is written only
// after frame n is synced. An incomplete frame with no valid frame after it is
// therefore the torn tail of a write that was never acknowledged, and Open
// truncates it. Any other unreadable byte in a segment means that synced data is
// lost: Open returns ErrDamaged, and the directory has to be emptied, which gives it a
// new incarnation. If the last frame is corrupted on disk after its sync, it cannot be
// told from a torn one and is truncated too.
//
// A power loss keeps any subset of the names that changed since the last sync of the
// directory. Segments are therefore removed one at a time, the oldest first, each only
// once the removal before it is durable. Where segments are missing all the same, Open
// uses those after the last gap if they supersede all older ones, and returns
// ErrDamaged if an entry that the snapshot does not cover may be missing.
package wal
