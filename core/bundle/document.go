// Package bundle defines the versioned configuration document that operators
// validate, sign and roll out. It parses and verifies documents; it does not store
// or distribute them.
package bundle

import (
	"strings"
	"time"
)

// Document is the content of a bundle.
type Document struct {
	Version     uint64       `yaml:"version" json:"version" msgpack:"v"`
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres" msgpack:"d"`
	Workspaces  []Workspace  `yaml:"workspaces" json:"workspaces" msgpack:"w"`
	Models      []Model      `yaml:"models" json:"models" msgpack:"m"`
	Routes      []Route      `yaml:"routes" json:"routes" msgpack:"r"`
	Limits      Limits       `yaml:"limits" json:"limits" msgpack:"l"`
}

// DataCentre is a location with hosts.
type DataCentre struct {
	Name   string `yaml:"name" json:"name" msgpack:"n"`
	Region string `yaml:"region" json:"region" msgpack:"r"`
}

// Workspace is one customer with its keys and its share of the fleet.
type Workspace struct {
	Name   string   `yaml:"name" json:"name" msgpack:"n"`
	Rate   float64  `yaml:"rate" json:"rate" msgpack:"r"`                         // online requests per second over the whole fleet
	Burst  int      `yaml:"burst" json:"burst" msgpack:"b"`                       // requests
	Weight int      `yaml:"weight" json:"weight" msgpack:"w"`                     // share of batch capacity, at least 1
	Models []string `yaml:"models,omitempty" json:"models,omitempty" msgpack:"m"` // empty allows all
	Keys   []Key    `yaml:"keys" json:"keys" msgpack:"k"`
}

// Key is a caller's key, stored only as its digest.
type Key struct {
	Digest string `yaml:"digest" json:"digest" msgpack:"d"` // SHA-256 of the key, lower-case hex
	Label  string `yaml:"label,omitempty" json:"label,omitempty" msgpack:"l"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of target.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Model is a model or a plain service that targets serve.
type Model struct {
	Name string `yaml:"name" json:"name" msgpack:"n"`
	Kind Kind   `yaml:"kind" json:"kind" msgpack:"k"`
}

// Route makes a path available to callers. The longest matching prefix applies.
type Route struct {
	Path       string   `yaml:"path" json:"path" msgpack:"p"`                                 // path prefix, such as /v1/chat/completions or /v1/services/dispatch
	Open       bool     `yaml:"open,omitempty" json:"open,omitempty" msgpack:"o"`             // needs no key
	Idempotent bool     `yaml:"idempotent,omitempty" json:"idempotent,omitempty" msgpack:"i"` // may run more than once
	Service    string   `yaml:"service,omitempty" json:"service,omitempty" msgpack:"s"`       // plain service behind the route; empty: the body names the model
	Timeout    Duration `yaml:"timeout,omitempty" json:"timeout,omitempty" msgpack:"t"`       // zero: Limits.RequestTimeout
}

// ServicesPrefix is the prefix of the paths of plain services at the gateway.
const ServicesPrefix = "/v1/services/"

// TargetPath returns the path at the target. For a plain service the gateway's
// prefix and the service name are removed.
func (r *Route) TargetPath(path string) string {
	rest, ok := strings.CutPrefix(path, ServicesPrefix+r.Service)
	if r.Service == "" || !ok {
		return path
	}
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// Limits holds the limits of requests, jobs and retries.
type Limits struct {
	MaxBodyBytes      int      `yaml:"max_body_bytes" json:"max_body_bytes" msgpack:"b"`
	MaxBatchFileBytes int      `yaml:"max_batch_file_bytes" json:"max_batch_file_bytes" msgpack:"f"`
	MaxBatchItems     int      `yaml:"max_batch_items" json:"max_batch_items" msgpack:"i"`
	MaxItemAttempts   int      `yaml:"max_item_attempts" json:"max_item_attempts" msgpack:"a"`
	MaxAttempts       int      `yaml:"max_attempts" json:"max_attempts" msgpack:"n"` // online attempts per request
	RetryRatio        float64  `yaml:"retry_ratio" json:"retry_ratio" msgpack:"r"`   // retries per request, over recent requests
	RequestTimeout    Duration `yaml:"request_timeout" json:"request_timeout" msgpack:"t"`
	OpenRate          float64  `yaml:"open_rate" json:"open_rate" msgpack:"o"` // requests per second on open routes, all callers together
	OpenBurst         int      `yaml:"open_burst" json:"open_burst" msgpack:"p"`
}

// Duration is a time.Duration written as text, such as "30s".
type Duration time.Duration

// Signed is a bundle as it is rolled out: the exact bytes and the signature over
// them.
type Signed struct {
	Source    []byte `json:"source" msgpack:"s"`              // YAML or JSON text of the document
	Signature []byte `json:"signature,omitempty" msgpack:"g"` // ed25519 over Source
	Operator  string `json:"operator,omitempty" msgpack:"o"`  // name of the signing operator
}
