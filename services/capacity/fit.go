package capacity

import "gonum.org/v1/gonum/stat"

// LinearFit is a least-squares fit y = Intercept + Slope*x. R2 is its coefficient
// of determination.
type LinearFit struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// At returns the fitted value at x.
func (l LinearFit) At(x float64) float64 { return l.Intercept + l.Slope*x }

// fitLine fits ys as a linear function of xs.
func fitLine(xs, ys []float64) LinearFit {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return LinearFit{Intercept: intercept, Slope: slope, R2: stat.RSquared(xs, ys, nil, intercept, slope)}
}

// Point is the sample of one load step: the mean resource use per process of each
// role at X.
type Point struct {
	X           float64                  `json:"x"`
	UsageByRole map[string]ResourceUsage `json:"costs"` // by role
}

// Series is the resource use of the fleet's roles as one load quantity grows.
type Series struct {
	Name        string               `json:"name"`
	Unit        string               `json:"unit"`   // unit of X
	DesignValue float64              `json:"target"` // X at the design size, to which the fits are extrapolated
	Points      []Point              `json:"points"`
	CPU         map[string]LinearFit `json:"cpu_percent"`
	Bytes       map[string]LinearFit `json:"bytes_per_second"`
	Memory      map[string]LinearFit `json:"memory_mb"`
}

// fitRoles fits processor, I/O and memory use of each role as linear functions of
// X.
func (s *Series) fitRoles() {
	s.CPU, s.Bytes, s.Memory = make(map[string]LinearFit), make(map[string]LinearFit), make(map[string]LinearFit)
	if len(s.Points) == 0 {
		return
	}
	xs := make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i] = p.X
	}
	for role := range s.Points[0].UsageByRole {
		s.CPU[role] = fitLine(xs, s.roleValues(role, func(c ResourceUsage) float64 { return c.CPUPercent }))
		s.Bytes[role] = fitLine(xs, s.roleValues(role, func(c ResourceUsage) float64 { return c.BytesPerSecond }))
		s.Memory[role] = fitLine(xs, s.roleValues(role, func(c ResourceUsage) float64 { return c.MemoryMB }))
	}
}

// roleValues returns one resource of a role at every point.
func (s *Series) roleValues(role string, value func(ResourceUsage) float64) []float64 {
	ys := make([]float64, len(s.Points))
	for i, p := range s.Points {
		ys[i] = value(p.UsageByRole[role])
	}
	return ys
}
