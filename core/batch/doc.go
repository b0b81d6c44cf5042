// Package batch implements the replicated state machine of one work group: its
// input files, batch jobs, the leases under which agents run items, and the
// results. It is deterministic: commands carry the time of their group's clock, and the same
// commands in the same order lead to the same state on every replica. It opens
// no file or socket, starts no goroutine and reads no clock.
//
// An item is leased to one agent at a time, under an attempt number. A result
// is accepted only from the attempt that holds the lease, so each item
// completes exactly once. The contents of files and results are stored outside
// the machine, which holds references to payload records.
package batch
