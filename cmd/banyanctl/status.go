package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"banyanwalk/core/outcome"
	"banyanwalk/services/control"
)

func statusCommands() []command {
	return []command{{path: []string{"status"}, summary: "show control hosts, bundle, marks, targets and verdicts", needsControl: true, run: showStatus}}
}

// hostStatus is the state of a control host, or the error of the call to it.
type hostStatus struct {
	Addr   string          `json:"addr"`
	Error  string          `json:"error,omitempty"`
	Status *control.Status `json:"status,omitempty"`
}

// showStatus asks every control host for its state and prints, besides the hosts,
// the fleet state of the highest revision among the answers.
func showStatus(c *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var hosts []hostStatus
	var newest *control.FleetStatus
	var lastErr error
	for _, addr := range client.Addrs() {
		host := hostStatus{Addr: addr, Status: &control.Status{}}
		if err := client.GetFrom(addr, "/status", host.Status); err != nil {
			host.Status, host.Error, lastErr = nil, err.Error(), err
		} else if f := host.Status.Fleet; f != nil && (newest == nil || f.Revision >= newest.Revision) {
			newest = f
		}
		hosts = append(hosts, host)
	}
	if err := c.print(hosts, func(out io.Writer) { printStatus(out, hosts, newest) }); err != nil {
		return err
	}
	if newest == nil && lastErr != nil {
		return lastErr
	}
	if newest == nil {
		return outcome.New(outcome.NoQuorum, outcome.NotRun, "no host could confirm the state with a quorum")
	}
	return nil
}

func printStatus(out io.Writer, hosts []hostStatus, newest *control.FleetStatus) {
	table := newTable(out, "HOST", "GROUP", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS", "LEARNERS", "CHANGING")
	for _, h := range hosts {
		if h.Status == nil {
			table.row(h.Addr, h.Error)
			continue
		}
		for _, r := range h.Status.Replicas {
			table.row(h.Status.Host, r.Group, r.Leader, r.Term, r.Commit, r.Applied, len(r.Voters), len(r.Learners), len(r.Outgoing) > 0)
		}
		if h.Status.Error != "" {
			table.row(h.Status.Host, h.Status.Error)
		}
	}
	table.flush()
	if newest == nil {
		return
	}
	printFleet(out, newest)
	printLeases(out, hosts)
}

func printFleet(out io.Writer, f *control.FleetStatus) {
	fmt.Fprintf(out, "\nrevision %d\n", f.Revision)
	if f.Bundle != nil {
		fmt.Fprintf(out, "bundle version %d, digest %s\n", f.Bundle.Version, f.Bundle.Digest)
	}
	fmt.Fprintf(out, "data centres out: %s\n\n", orDash(strings.Join(f.Marks.DataCentresOut, ", ")))
	targets := newTable(out, "TARGET", "MODEL", "KIND", "DATA CENTRE", "WARM", "COLD", "IN SERVICE")
	for _, t := range f.Targets {
		targets.row(t.ID, t.Model, t.Kind, t.DataCentre, t.WarmCapacity, t.ColdCapacity, t.InService)
	}
	targets.flush()
	if len(f.Verdicts) == 0 {
		return
	}
	fmt.Fprintln(out)
	verdicts := newTable(out, "WORKSPACE", "REQUEST", "CONVICT", "CRASHES")
	for _, v := range f.Verdicts {
		verdicts.row(v.Workspace, v.Digest, v.Quarantined, v.Crashes)
	}
	verdicts.flush()
}

// printLeases prints the agents' leases from the first host that reports any.
func printLeases(out io.Writer, hosts []hostStatus) {
	for _, h := range hosts {
		if h.Status == nil || len(h.Status.Leases) == 0 {
			continue
		}
		fmt.Fprintln(out)
		leases := newTable(out, "AGENT", "INCARNATION", "LEASE LEFT MS")
		for _, l := range h.Status.Leases {
			leases.row(l.Agent, l.Incarnation, l.RemainingMS)
		}
		leases.flush()
		return
	}
}

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

const columnPadding = 2 // spaces

func newTable(out io.Writer, headings ...string) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(headings, "\t"))
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }
