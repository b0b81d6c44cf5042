package capacity

import "gonum.org/v1/gonum/stat"

// Line is a least-squares linear fit y = Base + Slope*x with its coefficient of
// determination.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
}

// At returns the fitted value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// fitLine fits ys as a linear function of xs.
func fitLine(xs, ys []float64) Line {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Base: intercept, Slope: slope, R2: stat.RSquared(xs, ys, nil, intercept, slope)}
}

// Point is the sample of one load step: the mean resource use per process of each
// role at X.
type Point struct {
	X     float64         `json:"x"`
	Costs map[string]Cost `json:"costs"` // by role
}

// Series is the resource use of the fleet's roles as one load quantity grows.
type Series struct {
	Name   string          `json:"name"`
	Unit   string          `json:"unit"`   // unit of X
	Target float64         `json:"target"` // X at the design size, to which the fits are extrapolated
	Points []Point         `json:"points"`
	CPU    map[string]Line `json:"cpu_percent"`
	Bytes  map[string]Line `json:"bytes_per_second"`
	Memory map[string]Line `json:"memory_mb"`
}

// fitRoles fits processor, I/O and memory use of each role as linear functions of
// X.
func (s *Series) fitRoles() {
	s.CPU, s.Bytes, s.Memory = make(map[string]Line), make(map[string]Line), make(map[string]Line)
	if len(s.Points) == 0 {
		return
	}
	xs := make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i] = p.X
	}
	for role := range s.Points[0].Costs {
		s.CPU[role] = fitLine(xs, s.roleValues(role, func(c Cost) float64 { return c.CPUPercent }))
		s.Bytes[role] = fitLine(xs, s.roleValues(role, func(c Cost) float64 { return c.BytesPerSecond }))
		s.Memory[role] = fitLine(xs, s.roleValues(role, func(c Cost) float64 { return c.MemoryMB }))
	}
}

// roleValues returns one resource of a role at every point.
func (s *Series) roleValues(role string, value func(Cost) float64) []float64 {
	ys := make([]float64, len(s.Points))
	for i, p := range s.Points {
		ys[i] = value(p.Costs[role])
	}
	return ys
}
