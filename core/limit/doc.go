// Package limit is an exact distributed rate limiter: it keeps each workspace
// within its rate and burst across all gateways. A single owner holds the token
// buckets; gateways obtain leased tokens from it and spend each with one atomic
// operation.
//
// In every window [s, t] a workspace is admitted at most burst + rate*(t-s)
// times: the tokens in the bucket and those held by gateways together never
// exceed the burst, and tokens that may or may not have been spent count as
// spent.
//
// The package reads no clock and does no I/O. Times are nanoseconds on the
// monotonic clock of the calling process.
package limit

import "time"

const (
	// Lease is how long a gateway may spend its tokens, counted from when it sent
	// its last answered exchange. The owner counts it from when it received the
	// exchange, so its lease ends later.
	Lease = 500 * time.Millisecond
	// RebuildTimeout is how long a new owner waits for the gateways' reports.
	// It exceeds Lease, so that a gateway that has not reported can no longer
	// spend its tokens when the buckets open.
	RebuildTimeout = 600 * time.Millisecond
	// Heartbeat is the longest interval between two exchanges of a gateway.
	Heartbeat = 100 * time.Millisecond
	// CheckpointInterval is the interval between two checkpoints to one gateway.
	CheckpointInterval = 500 * time.Millisecond
	// ReportInterval is the interval at which a gateway reports spent tokens.
	ReportInterval = 25 * time.Millisecond
	// NearReportInterval replaces ReportInterval while requests wait for tokens.
	NearReportInterval = 2 * time.Millisecond
	// RecordInterval is the interval at which a gateway records its spending while
	// an exchange is in flight.
	RecordInterval = 10 * time.Millisecond
	// contentionDuration is how long after a refused request a bucket counts as
	// contended.
	contentionDuration = 2 * Heartbeat
)
