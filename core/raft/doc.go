// Package raft implements the consensus of one replicated log as a
// deterministic state machine: it opens no file or socket, starts no goroutine
// and reads no clock. Time, randomness and messages are passed in as arguments;
// the resulting writes, messages and commits are returned by Ready.
//
// It follows the Raft paper with pre-vote, check-quorum, a leader lease,
// read-index, snapshots and voter changes through a joint configuration.
//
// # What the caller must guarantee
//
//   - The incarnation of a data directory is synced before the first message is
//     sent, is never reused, and belongs to the directory: a directory that has
//     lost any synced part of its contents must be emptied and gets a new
//     incarnation.
//   - Ready.Snapshot, Ready.Entries and Ready.HardState are synced, taking
//     effect in this order, before Ready.Messages are sent: votes and
//     acknowledgements are promises that must survive a restart.
//   - Ready.MessagesBeforeSync may be sent before the sync. It holds only what
//     the leader of an already synced term sends to replicate its log; the leader
//     counts its own copy only after Advance.
//   - Advance is called for each Ready once it is saved. In between only
//     TickWhileSaving, TransferLeadership, Status and MessagesWhileSaving may be
//     called, and Step with the types that MayStepWhileSaving allows. The result
//     of MessagesWhileSaving may be sent at once.
//   - Step gets a now that was read after the message had arrived. now never
//     decreases and follows the host's monotonic clock. The clock rates of all
//     hosts differ by at most leaseMarginPercent.
//
// # What this package guarantees
//
//   - A replica handles only messages addressed to its own incarnation, so it
//     is never counted for a promise made by an earlier incarnation. Probes are
//     the exception, as they address a host before its incarnation is known.
//   - A blank replica, one whose log has never held an entry, bootstraps a group
//     only if it has the lowest ID of the configured peers, and only after every
//     configured peer has told this incarnation that it is blank too.
//   - A voter grants no vote within ElectionTimeout of the last contact with a
//     leader, nor within ElectionTimeout of its own restart. The leader lease is
//     shorter; it starts when a heartbeat round is sent that a quorum then
//     answers. Only a leadership transfer lifts that wait: the old leader has
//     given up its lease, and the exception covers only the next term.
//     Config.NoLease drops the wait after a restart.
//   - A membership change starts only when the previous one is committed and the
//     leader has committed an entry of its own term.
//   - A learner becomes a voter only after it has acknowledged, as synced, all
//     committed entries; the incarnation that it replaces is removed after that.
package raft
