// Package load is a load generator and experiment tool. It sends open-loop
// online requests and batch jobs to gateways, verifies that each response is
// complete and belongs to its request, performs operator actions at planned
// times and reports latency, throughput and rate-limiter correctness. It uses
// only the system's public HTTP interfaces.
package load

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"banyanwalk/core/bundle"
)

const (
	maxDuration        = 30 * time.Minute // limit on the traffic time of a variant
	maxInFlightLimit   = 20_000           // limit on Plan.MaxInFlight
	defaultMaxInFlight = 4_000
	defaultDrain       = 30 * time.Second
	defaultKeyPrefix   = "demo-key-"
	defaultMaxTokens   = 16
	batchPollInterval  = 100 * time.Millisecond
)

// Plan describes one experiment: the traffic and the variants to compare.
type Plan struct {
	Name        string          `yaml:"name"`
	Seed        uint64          `yaml:"seed"`
	EngineSeed  uint64          `yaml:"engine_seed"` // seed of the simulated engines, to compute the expected responses
	Bundle      string          `yaml:"bundle"`      // active bundle file, relative to the plan; source of the rate limits
	Gateways    []string        `yaml:"gateways"`    // base URLs
	Controls    []string        `yaml:"controls"`    // base URLs of the controls' operator API, for events
	Duration    time.Duration   `yaml:"duration"`    // of one variant's traffic
	Warmup      time.Duration   `yaml:"warmup"`      // initial part that is not measured
	Drain       time.Duration   `yaml:"drain"`       // longest wait for responses and batches after Duration
	MaxInFlight int             `yaml:"max_in_flight"`
	Idempotency bool            `yaml:"idempotency"` // send an Idempotency-Key and retry requests without a response
	Online      []OnlineTraffic `yaml:"online"`
	Batch       []BatchJob      `yaml:"batch"`
	Events      []Event         `yaml:"events"`
	Variants    []Variant       `yaml:"variants"`

	limits map[string]bundle.Workspace
}

// ArrivalProcess selects how the gaps between requests are distributed.
type ArrivalProcess string

// The arrival processes.
const (
	Poisson ArrivalProcess = "poisson" // exponentially distributed gaps
	Uniform ArrivalProcess = "uniform" // equal gaps
	Bursts  ArrivalProcess = "bursts"  // BurstSize requests at once, Poisson between bursts
)

// OnlineTraffic describes one source of online requests of a workspace.
type OnlineTraffic struct {
	Workspace string         `yaml:"workspace"`
	Key       string         `yaml:"key"` // empty means the workspace's demo key
	Model     string         `yaml:"model"`
	Service   string         `yaml:"service"` // plain service to call instead of a model
	Rate      float64        `yaml:"rate"`    // requests per second
	Arrivals  ArrivalProcess `yaml:"arrivals"`
	BurstSize int            `yaml:"burst_size"`
	MaxTokens int            `yaml:"max_tokens"`
	Stream    bool           `yaml:"stream"`
	Noisy     bool           `yaml:"noisy"` // exceeds its rate limit on purpose
}

// BatchJob describes one batch job to submit.
type BatchJob struct {
	Workspace string        `yaml:"workspace"`
	Key       string        `yaml:"key"`
	Model     string        `yaml:"model"`
	Items     int           `yaml:"items"`
	MaxTokens int           `yaml:"max_tokens"`
	Window    string        `yaml:"window"`
	At        time.Duration `yaml:"at"` // after the start of the traffic
}

// Action is an operator action during a run.
type Action string

// Operator actions: taking a data centre or a target out of service and back in.
const (
	DataCentreOut Action = "data_centre_out"
	DataCentreIn  Action = "data_centre_in"
	TargetOut     Action = "target_out"
	TargetIn      Action = "target_in"
)

// Event is an operator action at a planned time of the run.
type Event struct {
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	Name   string        `yaml:"name"`
}

// Variant selects the parts of the plan that one of the compared runs uses.
type Variant struct {
	Name     string   `yaml:"name"`
	NoOnline bool     `yaml:"no_online"`
	NoBatch  bool     `yaml:"no_batch"`
	NoEvents bool     `yaml:"no_events"`
	NoNoisy  bool     `yaml:"no_noisy"`
	Gateways []string `yaml:"gateways"` // empty means the plan's
}

// ReadPlan reads a plan file. Unknown fields are an error; Prepare checks the
// values.
func ReadPlan(path string) (*Plan, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	p := &Plan{}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(p); err != nil {
		return nil, errors.Wrap(err, "parse plan")
	}
	if p.Bundle != "" && !filepath.IsAbs(p.Bundle) {
		p.Bundle = filepath.Join(filepath.Dir(path), p.Bundle)
	}
	return p, nil
}

// Prepare sets defaults, loads the rate limits from the bundle and validates the
// plan. The error names every problem found.
func (p *Plan) Prepare() error {
	p.setDefaults()
	if err := p.loadLimits(); err != nil {
		return err
	}
	var problems []error
	addProblem := func(format string, args ...any) { problems = append(problems, errors.Newf(format, args...)) }
	if len(p.Gateways) == 0 {
		addProblem("no gateways")
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		addProblem("duration must be above 0 and at most %s", maxDuration)
	}
	if p.Warmup < 0 || p.Warmup >= p.Duration {
		addProblem("warmup must be shorter than duration")
	}
	if p.MaxInFlight > maxInFlightLimit {
		addProblem("max_in_flight must be at most %d", maxInFlightLimit)
	}
	if len(p.Events) > 0 && len(p.Controls) == 0 {
		addProblem("events need controls")
	}
	for i, o := range p.Online {
		if (o.Model == "") == (o.Service == "") {
			addProblem("online %d: exactly one of model and service must be set", i)
		}
		if o.Rate <= 0 {
			addProblem("online %d: rate must be above 0", i)
		}
	}
	for i, b := range p.Batch {
		if b.Items <= 0 || b.Model == "" {
			addProblem("batch %d: items must be above 0 and model must be set", i)
		}
	}
	return errors.Join(problems...)
}

func (p *Plan) setDefaults() {
	if p.MaxInFlight == 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if p.Drain == 0 {
		p.Drain = defaultDrain
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{{Name: "all"}}
	}
	for i := range p.Online {
		o := &p.Online[i]
		if o.Key == "" {
			o.Key = defaultKeyPrefix + o.Workspace
		}
		if o.MaxTokens == 0 {
			o.MaxTokens = defaultMaxTokens
		}
		if o.Arrivals == "" {
			o.Arrivals = Poisson
		}
		o.BurstSize = max(1, o.BurstSize)
	}
	for i := range p.Batch {
		b := &p.Batch[i]
		if b.Key == "" {
			b.Key = defaultKeyPrefix + b.Workspace
		}
		if b.MaxTokens == 0 {
			b.MaxTokens = defaultMaxTokens
		}
		if b.Window == "" {
			b.Window = "24h"
		}
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (p *Plan) loadLimits() error {
	p.limits = make(map[string]bundle.Workspace)
	if p.Bundle == "" {
		return nil
	}
	source, err := os.ReadFile(p.Bundle)
	if err != nil {
		return errors.Wrap(err, "read bundle")
	}
	index, err := bundle.Load(source)
	if err != nil {
		return errors.Wrap(err, "bundle")
	}
	for _, w := range index.Document().Workspaces {
		p.limits[w.Name] = w
	}
	return nil
}

// longestRefillTime returns the longest time that a rate limiter of the plan's
// workspaces takes to refill from empty.
func (p *Plan) longestRefillTime() time.Duration {
	longest := time.Duration(0)
	for _, o := range p.Online {
		if w, ok := p.limits[o.Workspace]; ok {
			longest = max(longest, time.Duration(float64(w.Burst)/w.Rate*float64(time.Second)))
		}
	}
	return longest
}
