// Package rpc defines the methods and messages between banyanwalk's own processes,
// which package wire transports. Method numbers: 1 to 19 agent, 20 to 49 control,
// 50 to 59 operators, 60 to 99 between control hosts, 100 and above processes of a
// site.
package rpc

import (
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/wire"
)

// Methods of the agent.
const (
	MethodExecute wire.Method = 1 // stream: ExecuteOpen, then body Chunks -> ExecuteEvent
	MethodOrder   wire.Method = 2 // unary: OrderRequest -> OrderResponse
)

// Methods of control. A replica that is not the leader forwards unary calls to it.
const (
	MethodSubscribe       wire.Method = 20 // stream: SubscribePing -> SubscribePong
	MethodAgentHeartbeat  wire.Method = 21 // unary: AgentHeartbeat -> AgentHeartbeatAck
	MethodLimitAcquire    wire.Method = 22 // unary: LimitRequest -> LimitResponse
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

// Methods between control replicas; batch.go defines more.
const (
	MethodRaft       wire.Method = 60 // stream of RaftBatch, one direction
	MethodPayloadPut wire.Method = 61 // stream
	MethodPayloadGet wire.Method = 62 // stream
	MethodForward    wire.Method = 63 // unary: ForwardRequest -> ForwardResponse, to the leader
)

// Ack is the empty response.
type Ack struct{}

// Class is the service class of a request.
type Class uint8

// The service classes. Online requests always have priority over batch.
const (
	ClassOnline Class = iota
	ClassBatch
)

// Header is one HTTP header. Only allow-listed headers are passed on.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// AttemptID identifies one attempt at one request. AgentIncarnation is that of the
// agent process the attempt is addressed to, so that a restarted agent refuses it.
type AttemptID struct {
	RequestID        string         `msgpack:"r"`
	Attempt          int            `msgpack:"a"` // starts at 1
	Target           fleet.TargetID `msgpack:"t"`
	AgentIncarnation uint64         `msgpack:"i"`
}

// ExecuteOpen requests that an agent run one request on its target. It carries no API
// key and no caller identity except the workspace.
type ExecuteOpen struct {
	ID         AttemptID         `msgpack:"i"`
	Workspace  string            `msgpack:"w"`
	Model      string            `msgpack:"m"`
	Class      Class             `msgpack:"c"`
	Idempotent bool              `msgpack:"p"`
	Suspect    bool              `msgpack:"s"` // may have crashed a target: run it alone on the target
	Digest     quarantine.Digest `msgpack:"d"`
	HTTPMethod string            `msgpack:"h"`
	Path       string            `msgpack:"u"` // path and query to send to the target
	Headers    []Header          `msgpack:"e"`
	Body       []byte            `msgpack:"b"`
	TimeoutMS  int64             `msgpack:"o"` // time left until the caller's deadline, milliseconds
	Revision   uint64            `msgpack:"v"` // state revision at which the gateway admitted the request
}

// EventKind is the kind of an ExecuteEvent.
type EventKind uint8

// A response is the sequence EventHead, EventData..., EventEnd. A failure is sent as a
// wire error at any point.
const (
	EventSent EventKind = iota + 1 // the request is about to be sent to the target: failures from here on are MayHaveRun
	EventHead
	EventData
	EventEnd
)

// ExecuteEvent is one part of a response. Seq starts at 0 and has no gaps.
type ExecuteEvent struct {
	ID      AttemptID `msgpack:"i"`
	Seq     uint64    `msgpack:"s"`
	Kind    EventKind `msgpack:"k"`
	Status  int       `msgpack:"t,omitempty"` // EventHead
	Headers []Header  `msgpack:"h,omitempty"` // EventHead
	Data    []byte    `msgpack:"d,omitempty"` // EventData
}

// SubscribePing keeps a subscription alive and requests the current revision.
// SentAt is an opaque reading of the subscriber's monotonic clock.
type SubscribePing struct {
	Subscriber string `msgpack:"n"`
	SentAt     int64  `msgpack:"t"` // nanoseconds
	Revision   uint64 `msgpack:"r"` // newest revision that the subscriber holds; 0 requests the full state
}

// SubscribePong carries a state update. Confirmed means that a quorum confirmed
// Update.Revision as the newest committed revision at or after the moment the ping
// with SentAt was received.
type SubscribePong struct {
	SentAt    int64        `msgpack:"t"`
	Confirmed bool         `msgpack:"c"`
	Revision  uint64       `msgpack:"r"` // revision after the update
	Update    fleet.Update `msgpack:"u"` // empty if nothing changed
}

// AgentHeartbeat renews an agent's membership lease and lists its targets.
type AgentHeartbeat struct {
	Agent       string         `msgpack:"a"` // host name
	Incarnation uint64         `msgpack:"i"`
	Targets     []fleet.Target `msgpack:"t"`
	Leaving     bool           `msgpack:"l"` // the agent is shutting down
}

// AgentHeartbeatAck grants or renews the agent's membership lease.
type AgentHeartbeatAck struct {
	LeaseMS int64 `msgpack:"l"` // milliseconds from receipt of the heartbeat
}

// CrashReport lists the requests that were in flight when a target crashed.
type CrashReport struct {
	Agent       string         `msgpack:"a"`
	Target      fleet.TargetID `msgpack:"t"`
	Incarnation uint64         `msgpack:"i"` // of the crashed target process
	Suspects    []SuspectRef   `msgpack:"s"`
	Isolated    bool           `msgpack:"o"` // the only request in flight was a known suspect
}

// SuspectRef identifies one request in a crash report.
type SuspectRef struct {
	Workspace string            `msgpack:"w"`
	Digest    quarantine.Digest `msgpack:"d"`
}

// OrderKind is the kind of an order to a target.
type OrderKind string

// The order kinds.
const (
	OrderLoad OrderKind = "load"
	OrderRole OrderKind = "role"
)

// OrderRequest is an order to a target of an agent. Its fencing number protects
// against delayed older orders.
type OrderRequest struct {
	Target fleet.TargetID `msgpack:"t"`
	Kind   OrderKind      `msgpack:"k"`
	Fence  uint64         `msgpack:"f"` // fencing number: log index of the order; lower ones are refused
	Value  string         `msgpack:"v"` // model, adapter, version or role
}

// OrderResponse holds the error with which the target refused the order, if any.
type OrderResponse struct {
	Error *outcome.Error `msgpack:"e"`
}
