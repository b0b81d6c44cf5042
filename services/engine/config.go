// Package engine is a simulated target for tests and demos: either a model
// engine with an OpenAI-compatible HTTP interface or a plain service that
// echoes its request. Responses are a deterministic function of the request,
// so that a test can tell a complete, correct response from a truncated one or
// one that belongs to another request. The engine counts the requests it
// served and can inject the faults that real targets have.
package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/bundle"
)

// OverloadReaction selects what a cold engine does when its concurrent requests
// exceed its current capacity.
type OverloadReaction string

// Reactions to overload while cold.
const (
	OverloadRecord OverloadReaction = "record" // counts it and serves on
	OverloadFail   OverloadReaction = "fail"   // fails every request for FailDuration
	OverloadExit   OverloadReaction = "exit"   // crashes
)

// ErrCrashed is returned by Run after a crash. The engine program then exits
// with status 3; tests and demos may call Run again to start a new incarnation.
var ErrCrashed = errors.New("engine crashed")

const (
	defaultFailDuration = 2 * time.Second
	defaultPoisonMarker = "POISON"
	defaultTokens       = 64
	maxTokens           = 1 << 16
	maxRequestBytes     = 16 << 20
)

// Config describes one engine.
type Config struct {
	Name               string
	Kind               bundle.Kind
	Model              string
	AgentURL           string        // URL of the agent's announcement endpoint; empty disables announcements
	AdvertiseAddress   string        // host:port to announce; empty means the listener's address
	PrefillTime        time.Duration // delay before the first token
	TokenTime          time.Duration // time per token at a load within the current capacity
	WarmCapacity       int           // concurrent requests at full speed once warm
	ColdCapacity       int           // concurrent requests tolerated right after a start
	WarmupRequests     int           // completed requests until warm; 0 means always warm
	Overload           OverloadReaction
	FailDuration       time.Duration // how long requests fail after an overload, with OverloadFail
	LoadSampleInterval time.Duration // sampling interval of the reported load; 0 reports the current load
	CheckFencing       bool          // reject orders whose fencing number is older than the newest one seen
	PoisonMarker       string        // a request body that contains it crashes the engine; "-" disables this
	Seed               uint64        // mixed into the seed of every generation
	AnnounceInterval   time.Duration // used until the agent sends an interval
}

func (c Config) withDefaults() Config {
	if c.Kind == "" {
		c.Kind = bundle.KindModel
	}
	c.WarmCapacity = max(1, c.WarmCapacity)
	if c.ColdCapacity < 1 || c.ColdCapacity > c.WarmCapacity {
		c.ColdCapacity = c.WarmCapacity
	}
	if c.Overload == "" {
		c.Overload = OverloadFail
	}
	if c.FailDuration == 0 {
		c.FailDuration = defaultFailDuration
	}
	if c.PoisonMarker == "" {
		c.PoisonMarker = defaultPoisonMarker
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = 500 * time.Millisecond
	}
	return c
}
