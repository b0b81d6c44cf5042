// Package wal keeps the log of one replica on disk: segment files of checksummed
// frames, snapshot files and the incarnation of the folder.
//
// Layout of the folder:
//
//	log/incarnation          random number of the folder, as text with checksum
//	log/<sequence>.wal       segments, named after their first frame
//	log/<index>-<term>.snap  snapshots; the log names the one in force
//	log/lock                 held while the folder is open
//
// One Save is one frame and one fsync, so frame n+1 is written only after frame
// n is synced. A frame that is not whole and that no whole frame follows is
// therefore the torn tail of a write that was never acknowledged, and is cut.
// Anything else that cannot be read means that synced bytes are lost: Open
// returns ErrDamaged, and the folder has to be emptied, which gives it a new
// incarnation. A last frame that rots on disk after its sync cannot be told
// from a torn one.
package wal
