// Package fleet defines the shared state of the fleet as every process sees
// it: the bundle in force, out-of-service marks, targets and quarantine verdicts.
package fleet

import (
	"banyanwalk/core/bundle"
	"banyanwalk/core/quarantine"
)

// TargetID names a target: the agent's host and the target's announced name,
// joined by a slash. It is unique over the fleet.
type TargetID string

// Target is one back end that its agent has announced.
type Target struct {
	ID               TargetID    `msgpack:"i" json:"id"`
	AgentAddr        string      `msgpack:"a" json:"agent_addr"` // host:port of the agent's wire listener
	AgentIncarnation uint64      `msgpack:"g" json:"agent_incarnation"`
	DataCentre       string      `msgpack:"d" json:"data_centre"`
	Model            string      `msgpack:"m" json:"model"`
	Kind             bundle.Kind `msgpack:"k" json:"kind"`
	Incarnation      uint64      `msgpack:"n" json:"incarnation"`   // of the target process
	WarmCapacity     int         `msgpack:"w" json:"warm_capacity"` // concurrent requests it can serve when warm
	ColdCapacity     int         `msgpack:"c" json:"cold_capacity"` // concurrent requests it can serve right after a start
	Leaving          bool        `msgpack:"l" json:"leaving"`       // draining: gets no new work
	Revision         uint64      `msgpack:"r" json:"revision"`      // log index of the last change
}

// Marks are the operators' out-of-service marks.
type Marks struct {
	DataCentresOut []string   `msgpack:"d" json:"data_centres_out"` // sorted
	TargetsOut     []TargetID `msgpack:"t" json:"targets_out"`      // sorted
}

// Update carries the changes since a subscriber's revision. A full update
// replaces the whole view; in a delta, nil sections are unchanged.
type Update struct {
	Revision uint64               `msgpack:"r"`
	Full     bool                 `msgpack:"f"`
	Bundle   *bundle.Signed       `msgpack:"b"`
	Marks    *Marks               `msgpack:"m"`
	Targets  []Target             `msgpack:"t"` // added or changed
	Removed  []TargetID           `msgpack:"x"`
	Verdicts []quarantine.Verdict `msgpack:"v"` // added or changed; Cleared removes one
}
