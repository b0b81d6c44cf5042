// Package routing holds the document that tells which requests are served, by
// which services, for which workspaces: it checks a document and compiles it
// into a table that the request path reads without locks.
package routing

import (
	"time"
)

// Kind tells what may be repeated and how an answer comes.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota + 1 // a request may run more than once
	NonIdempotent                 // a request may run once at most
	Stream                        // answered by a series of events
	Batch                         // jobs of many items that run later
)

// String returns the name of the kind as it stands in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Stream:
		return "stream"
	case Batch:
		return "batch"
	default:
		return "unknown"
	}
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string // without port
	Prefix   string // of the path, with a slash at both ends
	Kind     Kind
	Shares   []Share
	Priority int // 0 goes first

	Timeout      time.Duration // longest wait for the whole answer
	Objective    time.Duration // within which an answer, or a stream's first event, is on time
	GapObjective time.Duration // longest pause between two events that is on time
	MaxAttempts  int           // targets that may run one request
	Public       bool          // no key is needed
	Resumable    bool          // a stream may go on at another target after its last event

	CompletionTarget time.Duration // of a job, from its first submission
	MaxWait          time.Duration // after which an item of a job may be abandoned
	MaxQueuedTokens  int64         // of one workspace's waiting items; 0: no limit
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name            string
	HealthPath      string
	MaxConnections  int           // that one target accepts from all callers
	ColdStart       time.Duration // after a start
	WarmupPerSecond float64       // requests that a cold target bears
	Slots           int           // of a model engine; 0: not a model engine
	KVCapacity      int64         // tokens of a model engine's memory
}

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name          string
	Keys          []string
	Priority      int     // goes before the route's priority
	RatePerSecond float64 // over all gateways; 0: no limit
	Burst         float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the whole configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
