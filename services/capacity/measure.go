package capacity

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/services/load"
)

// The design* constants are the fleet size and load to which docs/CAPACITY.md
// extrapolates; the others configure the load steps.
const (
	designNodes       = 370
	designRequests    = 2600 // requests per second
	designItems       = 127  // batch items per second: 11 million a day
	tokensPerRequest  = 16
	settleTime        = 2 * time.Second
	measureTime       = 5 * time.Second
	batchPlanDuration = 1 * time.Second
)

// Config describes the fleet to measure, which scripts/fleet.sh has started.
type Config struct {
	Dir          string   // directory of the fleet's pid files
	ControlAddrs []string // RPC addresses of the control hosts
	Gateways     []string // base URLs of the gateways
	Bundle       string   // active bundle file
	DataCentre   string   // data centre of the synthetic agents, which receive no traffic
	Workspace    string
	Model        string
	Quick        bool // measure only two steps per series, as a trial run
	Progress     io.Writer
}

// Measurer measures the resource use of one fleet.
type Measurer struct {
	cfg       Config
	processes []process
}

// New returns a Measurer for the fleet whose pid files are in cfg.Dir.
func New(cfg Config) (*Measurer, error) {
	processes, err := findProcesses(cfg.Dir)
	return &Measurer{cfg: cfg, processes: processes}, err
}

// Run measures all series one after the other and fits them. On an error it
// returns the series measured so far.
func (m *Measurer) Run(ctx context.Context) (*Report, error) {
	report := &Report{Started: time.Now().UTC()}
	series := []func(context.Context) (Series, error){m.measureRequests, m.measureItems, m.measureNodes}
	for _, measure := range series {
		s, err := measure(ctx)
		if err != nil {
			return report, err
		}
		s.fitRoles()
		report.Series = append(report.Series, s)
	}
	return report, nil
}

// measureNodes measures a growing number of synthetic agents, up to the design
// size.
func (m *Measurer) measureNodes(ctx context.Context) (Series, error) {
	s := Series{Name: "nodes", Unit: "agents", DesignValue: designNodes}
	agents := newSyntheticAgents(ctx, m.cfg.ControlAddrs, m.cfg.DataCentre)
	defer agents.stop()
	for _, n := range m.steps(0, 50, 100, 200, designNodes) {
		m.printProgress("agents", n)
		agents.grow(int(n))
		point, err := m.measureDuring(ctx, n, func(ctx context.Context) error { return sleep(ctx, settleTime+measureTime) })
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, point)
	}
	return s, ctx.Err()
}

// measureRequests measures online traffic at increasing rates.
func (m *Measurer) measureRequests(ctx context.Context) (Series, error) {
	s := Series{Name: "requests", Unit: "requests/s over all gateways", DesignValue: designRequests}
	for _, rate := range m.steps(50, 100, 200, 400, 600) {
		m.printProgress("requests/s", rate)
		plan := m.basePlan()
		plan.Online = []load.OnlineTraffic{{Workspace: m.cfg.Workspace, Model: m.cfg.Model, Rate: rate, MaxTokens: tokensPerRequest, Stream: true}}
		point, err := m.measureDuring(ctx, rate, func(ctx context.Context) error { return m.runLoad(ctx, plan) })
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, point)
	}
	return s, nil
}

// measureItems measures batch jobs of increasing size. X is the item rate that the
// job reached.
func (m *Measurer) measureItems(ctx context.Context) (Series, error) {
	s := Series{Name: "items", Unit: "batch items/s", DesignValue: designItems}
	for _, items := range m.steps(200, 500, 1000, 2000) {
		m.printProgress("batch items", items)
		plan := m.basePlan()
		plan.Duration = batchPlanDuration
		plan.Batch = []load.BatchJob{{Workspace: m.cfg.Workspace, Model: m.cfg.Model, Items: int(items), MaxTokens: tokensPerRequest}}
		started := time.Now()
		point, err := m.measureDuring(ctx, 0, func(ctx context.Context) error { return m.runLoad(ctx, plan) })
		if err != nil {
			return s, err
		}
		point.X = items / time.Since(started).Seconds()
		s.Points = append(s.Points, point)
	}
	return s, nil
}

// basePlan returns a load plan without traffic, for the steps to fill in.
func (m *Measurer) basePlan() *load.Plan {
	return &load.Plan{
		Name:     "capacity",
		Seed:     1,
		Bundle:   m.cfg.Bundle,
		Gateways: m.cfg.Gateways,
		Duration: settleTime + measureTime,
		Drain:    time.Minute,
	}
}

// runLoad runs a plan and fails unless every online request got a correct
// response and the run had no problems.
func (m *Measurer) runLoad(ctx context.Context, plan *load.Plan) error {
	if err := plan.Prepare(); err != nil {
		return err
	}
	report := load.NewRunner(plan, "", io.Discard).Run(ctx)
	v := report.Variants[0]
	if v.Correct < v.Offered || len(v.Problems) > 0 {
		return errors.Newf("incomplete load: %d of %d requests correct, problems: %s, failure codes: %v", v.Correct, v.Offered, strings.Join(v.Problems, "; "), v.Codes)
	}
	return nil
}

// measureDuring samples all processes before and after an activity and returns
// the mean resource use per role over that interval.
func (m *Measurer) measureDuring(ctx context.Context, loadValue float64, activity func(context.Context) error) (Point, error) {
	before, err := m.sampleProcesses()
	if err != nil {
		return Point{}, err
	}
	if err := activity(ctx); err != nil {
		return Point{}, err
	}
	after, err := m.sampleProcesses()
	if err != nil {
		return Point{}, err
	}
	return Point{X: loadValue, UsageByRole: m.meanByRole(before, after)}, nil
}

// sampleProcesses samples every process of the fleet.
func (m *Measurer) sampleProcesses() ([]processSample, error) {
	all := make([]processSample, len(m.processes))
	for i, p := range m.processes {
		sample, err := p.sample()
		if err != nil {
			return nil, err
		}
		all[i] = sample
	}
	return all, nil
}

// meanByRole averages the resource use over the processes of each role, such as
// gateway. For control it also returns the maximum over its processes, as the
// leader does most of the work.
func (m *Measurer) meanByRole(before, after []processSample) map[string]ResourceUsage {
	sums, counts := make(map[string]ResourceUsage), make(map[string]float64)
	for i, p := range m.processes {
		usage := usageBetween(before[i], after[i])
		role, _, _ := strings.Cut(p.name, "-")
		if role == "control" {
			sums["control, dearest"] = maxUsage(sums["control, dearest"], usage)
			counts["control, dearest"] = 1
		}
		sums[role] = sumUsage(sums[role], usage)
		counts[role]++
	}
	for role, n := range counts {
		c := sums[role]
		sums[role] = ResourceUsage{CPUPercent: c.CPUPercent / n, BytesPerSecond: c.BytesPerSecond / n, MemoryMB: c.MemoryMB / n}
	}
	return sums
}

func sumUsage(a, b ResourceUsage) ResourceUsage {
	return ResourceUsage{a.CPUPercent + b.CPUPercent, a.BytesPerSecond + b.BytesPerSecond, a.MemoryMB + b.MemoryMB}
}

func maxUsage(a, b ResourceUsage) ResourceUsage {
	return ResourceUsage{max(a.CPUPercent, b.CPUPercent), max(a.BytesPerSecond, b.BytesPerSecond), max(a.MemoryMB, b.MemoryMB)}
}

// steps returns the values of a series' load steps, or the first two in a quick run.
func (m *Measurer) steps(values ...float64) []float64 {
	if m.cfg.Quick {
		return values[:2]
	}
	return values
}

// sleep waits for d or until ctx ends, whose error it then returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
