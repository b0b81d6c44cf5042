// Package routing defines the configuration document: the routes, the services
// that serve them, and the workspaces that may use them. It validates a document
// and compiles it into an immutable table that the request path reads without
// locks.
package routing

import (
	"time"
)

// Kind is the kind of a route: whether its requests may be repeated, and how they
// are answered.
type Kind uint8

// The kinds of routes.
const (
	Idempotent    Kind = iota + 1 // a request may run more than once
	NonIdempotent                 // a request may run at most once
	Stream                        // the response is a stream of events
	Batch                         // jobs of many items that run asynchronously
)

// String returns the name of the kind as used in logs.
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

// Share is the weight with which a service receives a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route maps a host and a path prefix to weighted services.
type Route struct {
	Name     string
	Host     string // without port
	Prefix   string // of the path, with a slash at both ends
	Kind     Kind
	Shares   []Share
	Priority int // 0 is the highest

	Timeout      time.Duration // for the complete response
	Objective    time.Duration // latency objective of a response, or of a stream's first event
	GapObjective time.Duration // latency objective between two events of a stream
	MaxAttempts  int           // most attempts that may run, each at another target
	Public       bool          // requests need no API key
	Resumable    bool          // a broken stream may continue at another target after its last event

	CompletionTarget time.Duration // time in which a job should complete, from its first submission
	MaxWait          time.Duration // time after which a waiting item of a job may be abandoned
	MaxQueuedTokens  int64         // bound on the tokens of one workspace's waiting items; 0: no limit
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name            string
	HealthPath      string
	MaxConnections  int           // that one target accepts from all callers together
	ColdStart       time.Duration // how long a target is cold after a start
	WarmupPerSecond float64       // requests per second that a cold target can take
	Slots           int           // concurrent requests of a model engine; 0: not a model engine
	KVCapacity      int64         // capacity of a model engine's KV cache, in tokens
}

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name          string
	Keys          []string
	Priority      int     // compared before the route's priority
	RatePerSecond float64 // over all gateways together; 0: no limit
	Burst         float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the complete configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
