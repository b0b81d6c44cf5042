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
	// siteTimeout bounds the call to one host.
	siteTimeout = 3 * time.Second
	msPerSecond = 1000
)

func siteCommands() []command {
	return []command{{path: []string{"site"}, summary: "show a site: replicas, members, targets and jobs", run: showSite, flags: func(c *invocation) {
		c.set.StringVar(&c.addrs, "control", "", "wire addresses of control hosts, comma-separated; the first that answers tells")
		c.set.StringVar(&c.caFile, "tls-ca", "", "PEM certificates to trust; empty talks in the clear")
	}}}
}

// siteAnswer is a site as one control host sees it, with its storage hosts.
type siteAnswer struct {
	Site   rpc.SiteStatus `json:"site"`
	Stores []storeAnswer  `json:"stores"`
}

// storeAnswer is the answer of one storage host.
type storeAnswer struct {
	Addr   string          `json:"addr"`
	Error  string          `json:"error,omitempty"`
	Status *rpc.JobsStatus `json:"status,omitempty"`
}

func showSite(c *invocation) error {
	controls := settings.SplitList(c.addrs)
	if len(controls) == 0 {
		return usage("-control names no control host")
	}
	tlsConfig, err := tlsconf.ClientConfig(c.caFile)
	if err != nil {
		return usage("-tls-ca: %v", err)
	}
	pool := wire.NewPool(tlsConfig)
	defer pool.Close()
	var answer siteAnswer
	if err := askControlHosts(pool, controls, &answer.Site); err != nil {
		return err
	}
	for _, m := range answer.Site.Members {
		if m.Addr == "" {
			continue
		}
		store := storeAnswer{Addr: m.Addr, Status: &rpc.JobsStatus{}}
		if err := askHost(pool, m.Addr, rpc.MethodJobsStatus, store.Status); err != nil {
			store.Status, store.Error = nil, err.Error()
		}
		answer.Stores = append(answer.Stores, store)
	}
	return c.print(answer, func(out io.Writer) { printSite(out, &answer) })
}

// askControlHosts asks one control host after another.
func askControlHosts(pool *wire.Pool, addrs []string, site *rpc.SiteStatus) error {
	var last error
	for _, addr := range addrs {
		if last = askHost(pool, addr, rpc.MethodSiteStatus, site); last == nil {
			return nil
		}
	}
	return outcome.New(outcome.Unreachable, outcome.NotRun, "no control host answered: %v", last)
}

func askHost(pool *wire.Pool, addr string, method wire.Method, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), siteTimeout)
	defer cancel()
	return pool.Call(ctx, addr, method, &rpc.StatusRequest{}, answer)
}

func printSite(out io.Writer, a *siteAnswer) {
	s := &a.Site
	fmt.Fprintf(out, "as %s sees it: document version %d, confirmed since its start: %t\n", s.Host, s.Version, s.CatalogConfirmed)
	fmt.Fprintf(out, "data centres out: %s\n", orNone(strings.Join(s.DataCentresOut, ", ")))
	for _, r := range s.Retired {
		fmt.Fprintf(out, "storage host %s is to be emptied, done: %t\n", r.Name, r.Done)
	}
	fmt.Fprintln(out)
	groups := newTable(out, "GROUP", "HOST", "LEADER", "TERM", "COMMIT", "APPLIED", "VOTERS", "LEARNERS", "CHANGING")
	groupRow(groups, "catalog", s.Host, &s.Replica)
	for _, store := range a.Stores {
		if store.Status == nil {
			groups.row("jobs", store.Addr, store.Error)
			continue
		}
		groupRow(groups, "jobs", store.Status.Host, &store.Status.Replica)
	}
	groups.flush()
	fmt.Fprintln(out)
	stores := newTable(out, "STORAGE HOST", "JOBS", "ARCHIVED", "OPEN ITEMS", "RUNNING", "COMPLETE")
	for _, store := range a.Stores {
		if j := store.Status; j != nil {
			stores.row(j.Host, j.Jobs, j.Archived, j.OpenItems, j.Running, j.ArchiveComplete)
		}
	}
	stores.flush()
	fmt.Fprintln(out)
	members := newTable(out, "MEMBER", "ROLE", "DATA CENTRE", "LEADS", "SILENT S")
	for _, m := range s.Members {
		members.row(m.Name, m.Role, m.DataCentre, m.Leads, inSeconds(m.SilentMS))
	}
	members.flush()
	fmt.Fprintln(out)
	targets := newTable(out, "TARGET", "SERVICE", "ADDRESS", "DATA CENTRE", "STATE", "SLOTS", "ONLINE", "BATCH", "SILENT S")
	for _, t := range s.Targets {
		targets.row(t.ID, t.Service, t.Addr, t.DataCentre, t.State, t.Slots, t.Online, t.Batch, inSeconds(t.SilentMS))
	}
	targets.flush()
}

func groupRow(t *table, group, host string, r *rpc.ReplicaStatus) {
	t.row(group, host, orNone(r.Leader), r.Term, r.Commit, r.Applied, len(r.Voters), len(r.Learners), r.Changing)
}

func inSeconds(ms int64) string { return fmt.Sprintf("%.1f", float64(ms)/msPerSecond) }
