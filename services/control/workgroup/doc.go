// Package workgroup runs the work groups of a control host. A work group is a Raft group
// that holds the batch files, jobs, items and idempotency records of its workspaces.
// The state machines are in core/batch and core/idempotency; this package replicates
// their commands, stores payloads and serves the calls of gateways and agents.
//
// All state of a workspace is in one group, so that an idempotency key identifies one
// job and the jobs of a workspace have a total order.
package workgroup
