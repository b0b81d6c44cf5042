package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the results of all variants side by side, then the
// workspaces, batches and failures of each variant.
func (r *Report) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s\n\n", r.Plan)
	row := func(name string, value func(v *VariantReport) string) {
		fmt.Fprint(w, name)
		for i := range r.Variants {
			fmt.Fprintf(w, "\t%s", value(&r.Variants[i]))
		}
		fmt.Fprintln(w)
	}
	row("measure", func(v *VariantReport) string { return v.Name })
	row("offered", func(v *VariantReport) string { return fmt.Sprint(v.Offered) })
	row("whole", func(v *VariantReport) string { return fmt.Sprint(v.Correct) })
	row("wrong answers", func(v *VariantReport) string { return fmt.Sprint(v.Wrong) })
	row("wrongful refusals", func(v *VariantReport) string { return fmt.Sprint(v.WrongRefusals) })
	row("latency p50/p99 ms", func(v *VariantReport) string { return formatP50P99(v.Latency) })
	row("first token p95 ms", func(v *VariantReport) string { return fmt.Sprintf("%.2f", v.FirstToken.P95) })
	row("token gap p95 ms", func(v *VariantReport) string { return fmt.Sprintf("%.2f", v.TokenGap.P95) })
	row("worst workspace", func(v *VariantReport) string { return fmt.Sprintf("%.3f %s", v.WorstServedRatio, v.WorstWorkspace) })
	row("batch items/s", func(v *VariantReport) string { return fmt.Sprintf("%.1f", v.BatchPerSecond) })
	row("resends", func(v *VariantReport) string { return fmt.Sprint(v.Retries) })
	_ = w.Flush()
	for i := range r.Variants {
		r.Variants[i].writeDetails(out)
	}
}

func formatP50P99(q Quantiles) string { return fmt.Sprintf("%.2f / %.2f", q.P50, q.P99) }

func (v *VariantReport) writeDetails(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s\nworkspace\toffered\twhole\tlimited\tfailed\twrongful\tp50/p99 ms\n", v.Name)
	for _, ws := range v.Workspaces {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", ws.Name, ws.Offered, ws.Correct, ws.RateLimited, ws.Failed, ws.WrongRefusals, formatP50P99(ws.Latency))
	}
	for _, b := range v.Batches {
		fmt.Fprintf(w, "batch %s\t%s\t%d of %d correct\t%d failed\t%d wrong\t%d duplicate\t%d missing\t%.1fs\n",
			b.Workspace, b.Status, b.Completed, b.Items, b.Failed, b.Wrong, b.Duplicates, b.Missing, b.Took.Seconds())
	}
	for _, c := range v.Codes {
		fmt.Fprintf(w, "code %s\t%s\t%d\n", c.Code, c.Outcome, c.Count)
	}
	for _, f := range v.Problems {
		fmt.Fprintf(w, "problem: %s\n", f)
	}
	_ = w.Flush()
}
