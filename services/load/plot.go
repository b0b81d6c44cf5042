package load

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a chart of the p99 online latency over time, with one line per
// variant and a vertical line per operator action. The file extension selects
// the format (.png or .svg).
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Plan
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "online p99, ms"
	p.Legend.Top = true
	for i := range r.Variants {
		if err := addVariant(p, &r.Variants[i], i); err != nil {
			return err
		}
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

func addVariant(p *plot.Plot, v *VariantReport, index int) error {
	points := make(plotter.XYs, 0, len(v.Timeline))
	maxY := 0.0
	for _, t := range v.Timeline {
		if t.Correct == 0 {
			continue
		}
		points = append(points, plotter.XY{X: float64(t.AtMS) / 1000, Y: t.P99MS})
		maxY = max(maxY, t.P99MS)
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "create latency line")
	}
	line.Color = plotutil.Color(index)
	p.Add(line)
	p.Legend.Add(v.Name, line)
	for _, e := range v.EventsPerformed {
		x := float64(e.AtMS) / 1000
		eventLine, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: maxY}})
		if err != nil {
			return errors.Wrap(err, "create event line")
		}
		eventLine.Color = color.Gray{Y: 160}
		p.Add(eventLine)
	}
	return nil
}
