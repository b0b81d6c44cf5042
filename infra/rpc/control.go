package rpc

import (
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/raft"
	"banyanwalk/infra/wire"
)

// Methods of the operators. Control replicas forward them to the leader.
const (
	MethodRoll   wire.Method = 50 // unary: RollRequest -> fleet.Result
	MethodMark   wire.Method = 51 // unary: MarkRequest -> fleet.Result
	MethodFenced wire.Method = 52 // unary: FencedOrderRequest -> FencedOrderResponse
	MethodLeases wire.Method = 53 // unary: LeasesRequest -> LeasesResponse
)

// RaftBatch carries messages of one group to its replica on the peer. A batch
// beyond the size of a frame travels as the Parts of its own encoding.
type RaftBatch struct {
	Group    uint32         `msgpack:"g"`
	Messages []raft.Message `msgpack:"m"`
	Part     []byte         `msgpack:"p,omitempty"`
	More     bool           `msgpack:"o,omitempty"` // a further part follows
}

// ForwardRequest carries a unary call to the leader of a group. A replica that
// does not lead refuses it instead of forwarding again.
type ForwardRequest struct {
	Method wire.Method `msgpack:"m"`
	Group  uint32      `msgpack:"g"`
	Body   []byte      `msgpack:"b"` // encoded request
}

// ForwardResponse carries the encoded answer.
type ForwardResponse struct {
	Body []byte `msgpack:"b"`
}

// RequestKey is the key of idempotence of an operator's command.
type RequestKey struct {
	Client    string `msgpack:"c"` // the operator, never its token
	RequestID string `msgpack:"r"`
}

// RollRequest asks to put a bundle in force.
type RollRequest struct {
	Key    RequestKey    `msgpack:"k"`
	Signed bundle.Signed `msgpack:"s"`
}

// MarkRequest asks to take a data centre or a target out of service, or back.
type MarkRequest struct {
	Key  RequestKey    `msgpack:"k"`
	Mark fleet.SetMark `msgpack:"m"`
}

// FencedOrderRequest asks for an order to a target under a new fence.
type FencedOrderRequest struct {
	Key    RequestKey     `msgpack:"k"`
	Target fleet.TargetID `msgpack:"t"`
	Kind   OrderKind      `msgpack:"o"`
	Value  string         `msgpack:"v"`
}

// FencedOrderResponse tells the fence and how the target took the order.
type FencedOrderResponse struct {
	Fence uint64         `msgpack:"f" json:"fence"`
	Error *outcome.Error `msgpack:"e" json:"error,omitempty"` // from the agent
}

// LeasesRequest asks the leader for the membership leases.
type LeasesRequest struct{}

// LeasesResponse lists the leases that the leader has granted.
type LeasesResponse struct {
	Leases []AgentLease `msgpack:"l"`
}

// AgentLease is the membership lease of one agent.
type AgentLease struct {
	Agent       string `msgpack:"a" json:"agent"`
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	LeftMS      int64  `msgpack:"l" json:"left_ms"` // milliseconds
}
