package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Report holds the measured series of one run.
type Report struct {
	Started time.Time `json:"started"`
	Series  []Series  `json:"series"`
}

// WriteTable writes the fits of every series and their values at the design size.
func (r *Report) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, s := range r.Series {
		fmt.Fprintf(w, "\n%s: x = %s, measured %.4g to %.4g, extrapolated to %.4g\n", s.Name, s.Unit, s.minX(), s.maxX(), s.DesignValue)
		fmt.Fprintln(w, "role\tresource\tbase\tslope per x\tR2\tat the target")
		for _, role := range slices.Sorted(maps.Keys(s.CPU)) {
			writeFit(w, role, "% of a core", s.CPU[role], s.DesignValue)
			writeFit(w, role, "bytes/s", s.Bytes[role], s.DesignValue)
			writeFit(w, role, "MB", s.Memory[role], s.DesignValue)
		}
	}
	_ = w.Flush()
}

func (s *Series) minX() float64 { return s.Points[0].X }

func (s *Series) maxX() float64 { return s.Points[len(s.Points)-1].X }

func writeFit(w io.Writer, role, resource string, l LinearFit, target float64) {
	fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t%.4g\n", role, resource, l.Intercept, l.Slope, l.R2, l.At(target))
}

func (m *Measurer) printProgress(what string, x float64) {
	fmt.Fprintf(m.cfg.Progress, "measuring at %.4g %s\n", x, what)
}
