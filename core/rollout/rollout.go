// Package rollout moves the requests of a service to a new software version of its
// targets, or back. Until the new version has proved to be sound, it gets only as many
// requests as the control group has granted. The package does no I/O and takes the time
// as an argument.
package rollout

import "time"

// Phase is the phase of a rollout.
type Phase uint8

// The phases of a rollout. Completed and Reverted are final.
const (
	Canary    Phase = iota + 1 // the new version gets the granted requests only
	Finishing                  // all new requests go to the new version, those at the old one end
	Completed                  // the old targets may be stopped
	Reverted                   // the new version gets no requests
)

// String returns the name of the phase as used in logs.
func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Finishing:
		return "finishing"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "unknown"
	}
}

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// Rollout is the replicated record of the newest rollout of one service.
type Rollout struct {
	Service    string `msgpack:"s"`
	Version    string `msgpack:"v"` // of the targets' software that the requests move to
	Phase      Phase  `msgpack:"p"`
	StartedMS  int64  `msgpack:"a"`           // time of the proposer's group clock, milliseconds since 1970
	DurationMS int64  `msgpack:"d"`           // within which the rollout has to be completed or reverted
	Granted    uint64 `msgpack:"g"`           // requests to the new version that processes may have sent
	Requests   uint64 `msgpack:"n"`           // of the service since the start, as reported so far
	Bad        uint64 `msgpack:"b"`           // failed or slow responses of the new version
	Reason     string `msgpack:"r,omitempty"` // why the phase was entered, for operators
	New        Counts `msgpack:"w,omitempty"` // responses of the new version, as reported so far
	Old        Counts `msgpack:"o,omitempty"` // responses of the other versions since the start, as reported so far
	Again      bool   `msgpack:"e,omitempty"` // the service had a rollout before, so processes may have counted responses of the version already
}

// Answer is how one request at a target ended.
type Answer struct {
	Failed  bool
	Latency time.Duration // until the response, or until a stream's first event
	Gap     time.Duration // mean time between a stream's events; 0: unknown
}

// Evidence counts, for one service, version and route, what one process has seen since
// its start.
type Evidence struct {
	Service  string `msgpack:"s"`
	Version  string `msgpack:"v"`
	Route    string `msgpack:"r"`
	Requests uint64 `msgpack:"n"` // whose target the process has chosen; with an empty route
	Answers  uint64 `msgpack:"a"`
	Failed   uint64 `msgpack:"f"`
	Slow     uint64 `msgpack:"l"`
}
