// Package workgroup runs the work groups of a control host. A work group is a
// Raft group that holds the state of a set of workspaces: batch files, jobs and
// items, and the idempotency records. What the commands do is decided in
// core/batch and core/idempotency; this package replicates them, keeps their
// payloads and answers the calls of gateways and agents.
//
// All state of a workspace is in one group, so that an idempotency key identifies
// one job and the jobs of a workspace have a total order.
package workgroup
