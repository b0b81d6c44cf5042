package rpc

import (
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/wire"
)

// Methods called by operators. Control replicas forward them to the leader.
const (
	MethodRoll   wire.Method = 50 // unary: RollRequest -> fleet.Result
	MethodMark   wire.Method = 51 // unary: MarkRequest -> fleet.Result
	MethodFenced wire.Method = 52 // unary: FencedOrderRequest -> FencedOrderResponse
	MethodLeases wire.Method = 53 // unary: LeasesRequest -> LeasesResponse
)

// RaftBatch carries messages of one group to its replica on the peer. A large batch
// is encoded, and the encoding is sent as the Part fields of several RaftBatches,
// because it may exceed the frame size.
type RaftBatch struct {
	Group    uint32         `msgpack:"g"`
	Messages []raft.Message `msgpack:"m"`
	Part     []byte         `msgpack:"p,omitempty"`
	More     bool           `msgpack:"o,omitempty"` // another part follows
}

// ForwardRequest carries a unary call to the leader of a group. A replica that is not
// the leader refuses it instead of forwarding it again.
type ForwardRequest struct {
	Method wire.Method `msgpack:"m"`
	Group  uint32      `msgpack:"g"`
	Body   []byte      `msgpack:"b"` // encoded request
}

// ForwardResponse carries the encoded response.
type ForwardResponse struct {
	Body []byte `msgpack:"b"`
}

// RequestKey is the idempotency key of an operator's command.
type RequestKey struct {
	Client    string `msgpack:"c"` // name of the operator, never its token
	RequestID string `msgpack:"r"`
}

// RollRequest rolls out a configuration bundle, which replaces the one in force.
type RollRequest struct {
	Key    RequestKey    `msgpack:"k"`
	Signed bundle.Signed `msgpack:"s"`
}

// MarkRequest takes a data centre or a target out of service or brings it back.
type MarkRequest struct {
	Key  RequestKey    `msgpack:"k"`
	Mark fleet.SetMark `msgpack:"m"`
}

// FencedOrderRequest sends an order to a target under a new fencing number.
type FencedOrderRequest struct {
	Key    RequestKey     `msgpack:"k"`
	Target fleet.TargetID `msgpack:"t"`
	Kind   OrderKind      `msgpack:"o"`
	Value  string         `msgpack:"v"`
}

// FencedOrderResponse holds the fencing number of the order and the target's error,
// if any.
type FencedOrderResponse struct {
	Fence uint64         `msgpack:"f" json:"fence"`
	Error *outcome.Error `msgpack:"e" json:"error,omitempty"` // reported by the agent
}

// LeasesRequest requests the membership leases from the leader.
type LeasesRequest struct{}

// LeasesResponse lists the leases that the leader has granted.
type LeasesResponse struct {
	Leases []AgentLease `msgpack:"l"`
}

// AgentLease is the membership lease of one agent.
type AgentLease struct {
	Agent       string `msgpack:"a" json:"agent"`
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	RemainingMS int64  `msgpack:"l" json:"left_ms"` // milliseconds
}
