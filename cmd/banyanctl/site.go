package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/infra/wire"
)

const (
	// hostCallTimeout bounds the call to one host.
	hostCallTimeout = 3 * time.Second
	msPerSecond     = 1000
)

func siteCommands() []command {
	return []command{{path: []string{"site"}, summary: "show a site: replicas, members, targets and jobs", run: showSite, registerFlags: registerSiteFlags}}
}

// siteReport is the state of a site as reported by one control host, and the
// state of each of its storage hosts.
type siteReport struct {
	Site   rpc.SiteStatus `json:"site"`
	Stores []storeReport  `json:"stores"`
}

// storeReport is the state of a storage host, or the error of the call to it.
type storeReport struct {
	Addr   string          `json:"addr"`
	Error  string          `json:"error,omitempty"`
	Status *rpc.JobsStatus `json:"status,omitempty"`
}

// newControlPool returns a pool for calls of control hosts, and the addresses of these
// hosts, from the flags of registerSiteFlags. The caller closes the pool.
func newControlPool(c *invocation) (pool *wire.Pool, controls []string, err error) {
	controls = settings.SplitList(c.addrs)
	if len(controls) == 0 {
		return nil, nil, usageErrorf("-control contains no control host address")
	}
	tlsConfig, err := tlsconf.ClientConfig(c.caFile)
	if err != nil {
		return nil, nil, usageErrorf("-tls-ca: %v", err)
	}
	return wire.NewPool(tlsConfig), controls, nil
}

func showSite(c *invocation) error {
	pool, controls, err := newControlPool(c)
	if err != nil {
		return err
	}
	defer pool.Close()
	var report siteReport
	if err := fetchSiteStatus(pool, controls, &report.Site); err != nil {
		return err
	}
	for _, m := range report.Site.Members {
		if m.Addr == "" {
			continue
		}
		store := storeReport{Addr: m.Addr, Status: &rpc.JobsStatus{}}
		if err := callHost(pool, m.Addr, rpc.MethodJobsStatus, store.Status); err != nil {
			store.Status, store.Error = nil, err.Error()
		}
		report.Stores = append(report.Stores, store)
	}
	return c.print(report, func(out io.Writer) { printSite(out, &report) })
}

// fetchSiteStatus calls the control hosts in order until one answers.
func fetchSiteStatus(pool *wire.Pool, addrs []string, site *rpc.SiteStatus) error {
	var lastErr error
	for _, addr := range addrs {
		if lastErr = callHost(pool, addr, rpc.MethodSiteStatus, site); lastErr == nil {
			return nil
		}
	}
	return outcome.New(outcome.Unreachable, outcome.NotRun, "no control host answered: %v", lastErr)
}

func callHost(pool *wire.Pool, addr string, method wire.Method, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), hostCallTimeout)
	defer cancel()
	return pool.Call(ctx, addr, method, &rpc.StatusRequest{}, response)
}

func printSite(out io.Writer, report *siteReport) {
	s := &report.Site
	fmt.Fprintf(out, "as %s sees it: document version %d, confirmed since its start: %t\n", s.Host, s.Version, s.CatalogConfirmed)
	fmt.Fprintf(out, "data centres out: %s\n", orDash(strings.Join(s.DataCentresOut, ", ")))
	for _, r := range s.Retired {
		fmt.Fprintf(out, "storage host %s is to be emptied, done: %t\n", r.Name, r.Done)
	}
	fmt.Fprintln(out)
	groups := newTable(out, "GROUP", "HOST", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS", "LEARNERS", "CHANGING")
	addGroupRow(groups, "catalog", s.Host, &s.Replica)
	for _, store := range report.Stores {
		if store.Status == nil {
			groups.row("jobs", store.Addr, store.Error)
			continue
		}
		addGroupRow(groups, "jobs", store.Status.Host, &store.Status.Replica)
	}
	groups.flush()
	fmt.Fprintln(out)
	stores := newTable(out, "STORAGE HOST", "JOBS", "ARCHIVED", "OPEN ITEMS", "RUNNING", "COMPLETE")
	for _, store := range report.Stores {
		if j := store.Status; j != nil {
			stores.row(j.Host, j.Jobs, j.Archived, j.OpenItems, j.Running, j.ArchiveComplete)
		}
	}
	stores.flush()
	fmt.Fprintln(out)
	members := newTable(out, "MEMBER", "ROLE", "DATA CENTRE", "LEADS", "SILENT S")
	for _, m := range s.Members {
		members.row(m.Name, m.Role, m.DataCentre, m.Leads, formatSeconds(m.SilentMS))
	}
	members.flush()
	fmt.Fprintln(out)
	targets := newTable(out, "TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "VERSION", "STATE", "SLOTS", "ONLINE", "BATCH", "SILENT S")
	for _, t := range s.Targets {
		targets.row(t.ID, t.Service, t.Addr, t.DataCentre, orDash(t.Version), t.State, t.Slots, t.Online, t.Batch, formatSeconds(t.SilentMS))
	}
	targets.flush()
}

func addGroupRow(t *table, group, host string, r *rpc.ReplicaStatus) {
	t.row(group, host, orDash(r.Leader), r.Term, r.Commit, r.Applied, len(r.Voters), len(r.Learners), r.Changing)
}

func formatSeconds(ms int64) string { return fmt.Sprintf("%.1f", float64(ms)/msPerSecond) }
