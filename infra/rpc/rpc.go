// Package rpc defines the typed messages between banyanwalk's own processes.
// It holds shapes only; package wire carries them. Method numbers: 1 to 19
// agent, 20 to 49 control, 50 to 59 operators, 60 to 99 between control hosts.
package rpc

import (
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/wire"
)

// Methods of the agent.
const (
	MethodExecute wire.Method = 1 // stream: ExecuteOpen, then body Chunks; answers ExecuteEvent
	MethodOrder   wire.Method = 2 // unary: OrderRequest -> OrderResponse
)

// Methods of control. A replica that does not lead forwards unary calls.
const (
	MethodSubscribe       wire.Method = 20 // stream: SubscribePing -> SubscribePong
	MethodAgentHeartbeat  wire.Method = 21 // unary: AgentHeartbeat -> AgentHeartbeatAck
	MethodLimitAcquire    wire.Method = 22 // unary: limit exchange of one gateway for all workspaces
	MethodReportCrash     wire.Method = 23 // unary: CrashReport -> Ack
	MethodIdempotentBegin wire.Method = 24 // unary
	MethodIdempotentEnd   wire.Method = 25 // unary
	MethodFilePut         wire.Method = 30 // stream
	MethodFileGet         wire.Method = 31 // stream
	MethodFileInfo        wire.Method = 32 // unary
	MethodFileDelete      wire.Method = 33 // unary
	MethodJobCreate       wire.Method = 34 // unary
	MethodJobGet          wire.Method = 35 // unary
	MethodJobList         wire.Method = 36 // unary
	MethodJobCancel       wire.Method = 37 // unary
	MethodItemsPull       wire.Method = 38 // unary
	MethodItemsCommit     wire.Method = 39 // unary
	MethodFileList        wire.Method = 40 // unary
	MethodItemsRenew      wire.Method = 41 // unary
)

// Methods between control replicas; control.go and batch.go name further ones.
const (
	MethodRaft       wire.Method = 60 // stream of RaftBatch, one direction
	MethodPayloadPut wire.Method = 61 // stream
	MethodPayloadGet wire.Method = 62 // stream
	MethodForward    wire.Method = 63 // unary: a call for the leader
)

// Ack is the empty answer.
type Ack struct{}

// Class is the service class of a request.
type Class uint8

// The classes. Online always goes before batch.
const (
	ClassOnline Class = iota
	ClassBatch
)

// Header is one HTTP header of the allow-list.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// AttemptID identifies one attempt at one request. AgentIncarnation binds it
// to one life of one agent, so that a restarted agent refuses it.
type AttemptID struct {
	RequestID        string         `msgpack:"r"`
	Attempt          int            `msgpack:"a"` // from 1
	Target           fleet.TargetID `msgpack:"t"`
	AgentIncarnation uint64         `msgpack:"i"`
}

// ExecuteOpen asks an agent to run one request on its target. It carries no
// key and no caller identity beyond the workspace.
type ExecuteOpen struct {
	ID         AttemptID           `msgpack:"i"`
	Workspace  string              `msgpack:"w"`
	Model      string              `msgpack:"m"`
	Class      Class               `msgpack:"c"`
	Idempotent bool                `msgpack:"p"`
	Suspect    bool                `msgpack:"s"` // run alone on the target
	Digest     fleet.RequestDigest `msgpack:"d"`
	HTTPMethod string              `msgpack:"h"`
	Path       string              `msgpack:"u"` // path and query at the target
	Headers    []Header            `msgpack:"e"`
	Body       []byte              `msgpack:"b"`
	TimeoutMS  int64               `msgpack:"o"` // time left until the caller's deadline, milliseconds
	Revision   uint64              `msgpack:"v"` // state revision that the gateway admitted under
}

// EventKind tells the parts of an answer apart.
type EventKind uint8

// The answer is Head, Data..., End. A failure is a wire error at any point.
const (
	EventSent EventKind = iota + 1 // the request is about to reach the target: from here on MayHaveRun
	EventHead
	EventData
	EventEnd
)

// ExecuteEvent is one part of an answer. Seq counts from 0 without gaps.
type ExecuteEvent struct {
	ID      AttemptID `msgpack:"i"`
	Seq     uint64    `msgpack:"s"`
	Kind    EventKind `msgpack:"k"`
	Status  int       `msgpack:"t,omitempty"` // EventHead
	Headers []Header  `msgpack:"h,omitempty"` // EventHead
	Data    []byte    `msgpack:"d,omitempty"` // EventData
}

// SubscribePing keeps a subscription and asks for the current revision.
// SentAt is an opaque reading of the subscriber's monotonic clock.
type SubscribePing struct {
	Subscriber string `msgpack:"n"`
	SentAt     int64  `msgpack:"t"` // nanoseconds
	Revision   uint64 `msgpack:"r"` // newest revision held; 0 asks for everything
}

// SubscribePong carries state. With Confirmed set, Update.Revision was the
// newest committed revision at or after the moment the ping with SentAt was
// received, as a quorum confirmed.
type SubscribePong struct {
	SentAt    int64        `msgpack:"t"`
	Confirmed bool         `msgpack:"c"`
	Revision  uint64       `msgpack:"r"` // revision after the update
	Update    fleet.Update `msgpack:"u"` // empty when nothing changed
}

// AgentHeartbeat renews an agent's membership lease and lists its targets.
type AgentHeartbeat struct {
	Agent       string         `msgpack:"a"` // host name
	Incarnation uint64         `msgpack:"i"`
	Targets     []fleet.Target `msgpack:"t"`
	Leaving     bool           `msgpack:"l"` // the agent itself shuts down
}

// AgentHeartbeatAck grants the lease.
type AgentHeartbeatAck struct {
	LeaseMS int64 `msgpack:"l"` // milliseconds from receipt of the heartbeat
}

// CrashReport names the requests that were in flight when a target crashed.
type CrashReport struct {
	Agent       string         `msgpack:"a"`
	Target      fleet.TargetID `msgpack:"t"`
	Incarnation uint64         `msgpack:"i"` // of the crashed target process
	Suspects    []SuspectRef   `msgpack:"s"`
	Alone       bool           `msgpack:"o"` // the only request in flight was a known suspect
}

// SuspectRef names one request in a crash report.
type SuspectRef struct {
	Workspace string              `msgpack:"w"`
	Digest    fleet.RequestDigest `msgpack:"d"`
}

// OrderKind is an order to a target.
type OrderKind string

// The orders.
const (
	OrderLoad OrderKind = "load"
	OrderRole OrderKind = "role"
)

// OrderRequest is a fenced order to the target behind an agent.
type OrderRequest struct {
	Target fleet.TargetID `msgpack:"t"`
	Kind   OrderKind      `msgpack:"k"`
	Fence  uint64         `msgpack:"f"` // log index of the order; older ones are refused
	Value  string         `msgpack:"v"` // model, adapter, version or role
}

// OrderResponse tells how the target took the order.
type OrderResponse struct {
	Error *outcome.Error `msgpack:"e"`
}
