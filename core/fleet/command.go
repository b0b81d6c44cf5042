package fleet

import (
	"fmt"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// Command is one entry of the configuration log. Exactly one of the pointers
// is set.
type Command struct {
	Client         string           `msgpack:"c,omitempty"` // together with RequestID the idempotency key
	RequestID      string           `msgpack:"r,omitempty"` // empty: the command is idempotent by itself
	AtMS           int64            `msgpack:"a"`           // time of the proposer's group clock, milliseconds since 1970
	Roll           *RollBundle      `msgpack:"b,omitempty"`
	Mark           *SetMark         `msgpack:"m,omitempty"`
	Register       *RegisterTargets `msgpack:"t,omitempty"`
	Expire         *ExpireAgent     `msgpack:"e,omitempty"`
	Crash          *ReportCrash     `msgpack:"x,omitempty"`
	Fence          *IssueFence      `msgpack:"f,omitempty"`
	ExpireVerdicts *ExpireVerdicts  `msgpack:"g,omitempty"`
}

// RollBundle puts a bundle in force, by compare-and-set on its version.
//
// The proposer has validated the document. The command carries the version so
// that applying it parses nothing: a release with other validation rules
// replays the log to the same state.
type RollBundle struct {
	Version uint64        `msgpack:"v"`
	Signed  bundle.Signed `msgpack:"s"`
}

// SetMark takes a data centre or a target out of service or brings it back.
// One of DataCentre and Target is set.
type SetMark struct {
	DataCentre string   `msgpack:"d,omitempty"`
	Target     TargetID `msgpack:"t,omitempty"`
	Out        bool     `msgpack:"o"`
}

// RegisterTargets replaces the targets of one agent.
type RegisterTargets struct {
	Agent       string   `msgpack:"a"`
	Incarnation uint64   `msgpack:"i"`
	Targets     []Target `msgpack:"t"`
}

// ExpireAgent removes an agent whose membership lease has expired, unless it
// has registered again under another incarnation.
type ExpireAgent struct {
	Agent       string `msgpack:"a"`
	Incarnation uint64 `msgpack:"i"`
}

// ReportCrash names the requests that were in flight when a target crashed.
type ReportCrash struct {
	Target      TargetID         `msgpack:"t"`
	Incarnation uint64           `msgpack:"i"` // of the crashed target process
	Requests    []quarantine.Ref `msgpack:"s"`
	Isolated    bool             `msgpack:"o"` // the only request in flight was a known suspect
}

// IssueFence issues a fencing token for an order to a target.
type IssueFence struct {
	Target TargetID `msgpack:"t"`
	Order  string   `msgpack:"o"` // kind and value of the order
}

// ExpireVerdicts clears verdicts that are past their time to live.
type ExpireVerdicts struct{}

// Result is the result of a command. A resend with the same client and request
// id gets the result of the first one.
type Result struct {
	Error    *outcome.Error `msgpack:"e,omitempty"`
	Revision uint64         `msgpack:"r"` // revision at which the command took effect; 0 on an error
	Version  uint64         `msgpack:"v,omitempty"`
	Digest   string         `msgpack:"d,omitempty"` // of the bundle source
	Fence    uint64         `msgpack:"f,omitempty"`
}

// fingerprint identifies the content of a command, to detect that a request id
// is reused for another command.
func (c *Command) fingerprint() string {
	switch {
	case c.Roll != nil:
		return "roll " + bundle.Digest(c.Roll.Signed.Source)
	case c.Mark != nil:
		return fmt.Sprintf("mark %q %q %t", c.Mark.DataCentre, c.Mark.Target, c.Mark.Out)
	case c.Fence != nil:
		return fmt.Sprintf("fence %q %q", c.Fence.Target, c.Fence.Order)
	case c.Crash != nil:
		return fmt.Sprintf("crash %q %d", c.Crash.Target, c.Crash.Incarnation)
	default:
		return "membership"
	}
}
