package jobhost

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/archive"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

const (
	// archiveDir is the directory of result texts inside the data directory.
	archiveDir = "texts"
	// archiveInterval is the interval at which texts are moved to disk, and so
	// how long the texts of a finished job stay in memory.
	archiveInterval = 1 * time.Second
	// cleanupInterval is the interval at which files of unknown jobs are removed.
	// A host whose state came from a snapshot has missed the drops before it.
	cleanupInterval = 10 * time.Second
	// fetchTimeout bounds one request to another host for texts of a job, at most
	// maxReadBytes and one text.
	fetchTimeout = 2 * time.Second
)

// archiver moves the result texts of finished jobs to disk, because memory and
// snapshots would otherwise grow with every result. Each host stores all texts. A
// host whose state comes from a snapshot lacks texts and fetches them from the
// other hosts; it gets no vote until it has them all.
type archiver struct {
	server  *Server
	files   *archive.Archive
	pool    *wire.Pool
	missing metrics.Gauge // jobs whose texts this host lacks
}

func newArchiver(s *Server) (*archiver, error) {
	files, err := archive.Open(filepath.Join(s.cfg.DataDir, archiveDir), s.cfg.FS)
	if err != nil {
		return nil, err
	}
	return &archiver{server: s, files: files, pool: wire.NewPool(s.cfg.ClientTLS),
		missing: metrics.GetOrRegisterGauge("jobhost.texts.missing", s.cfg.Metrics)}, nil
}

// run archives, fetches and removes texts until ctx ends.
func (a *archiver) run(ctx context.Context) {
	defer a.pool.Close()
	lastCleanup := time.Now()
	for ctx.Err() == nil {
		// Before archiving, because a new job may have reused a dropped id.
		if err := a.files.Drop(a.server.state.takeDropped()); err != nil {
			a.server.log.Warn("texts_not_dropped", "error", err)
		}
		if err := a.archiveFinished(); err != nil {
			a.server.log.Warn("texts_not_stored", "error", err)
		}
		a.fetchMissing(ctx)
		if now := time.Now(); now.Sub(lastCleanup) >= cleanupInterval {
			lastCleanup = now
			a.removeOrphans()
		}
		pause.For(ctx, archiveInterval)
	}
}

// archiveFinished moves the texts of finished jobs to disk.
func (a *archiver) archiveFinished() error {
	var entries []archive.Entry
	var ids []string
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for _, job := range m.Jobs() {
			if !job.Unfinished() && !job.Archived {
				entries = append(entries, archive.Entry{Name: job.ID, Texts: job.Texts()})
				ids = append(ids, job.ID)
			}
		}
	})
	if len(ids) == 0 {
		return nil
	}
	if err := a.files.Put(entries); err != nil {
		return err
	}
	a.server.state.archive(ids)
	return nil
}

// fetchMissing fetches archived texts that this host lacks, as snapshots do not
// contain them.
func (a *archiver) fetchMissing(ctx context.Context) {
	if a.server.state.hasAllTexts.Load() {
		return
	}
	missing := a.missingTexts()
	fetched := 0
	for _, id := range missing {
		if a.fetch(ctx, id) {
			fetched++
		}
	}
	a.missing.Update(int64(len(missing) - fetched))
	if len(missing) > 0 {
		a.server.log.Info("texts_fetched", "jobs", fetched, "missing", len(missing)-fetched)
	}
	if fetched == len(missing) && len(a.missingTexts()) == 0 {
		a.server.state.hasAllTexts.Store(true)
	}
}

func (a *archiver) missingTexts() []string {
	var missing []string
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for _, job := range m.Jobs() {
			if job.Archived && !a.files.Has(job.ID) {
				missing = append(missing, job.ID)
			}
		}
	})
	return missing
}

// fetch tries the other storage hosts in turn until one returns the texts of a
// job.
func (a *archiver) fetch(ctx context.Context, id string) bool {
	ownID := a.server.group.Load().ID()
	for _, host := range a.server.cfg.Follower.StorageHosts() {
		addr, found := replicated.Addr(host.ID)
		if !found || host.ID == ownID {
			continue
		}
		texts, err := a.fetchFrom(ctx, addr, id)
		if err == nil {
			err = a.files.Put([]archive.Entry{{Name: id, Texts: texts}})
		}
		if err == nil {
			return true
		}
		a.server.log.Warn("texts_not_fetched", "job", id, "from", addr, "error", err)
	}
	return false
}

// fetchFrom returns all texts of a job that another storage host holds.
func (a *archiver) fetchFrom(ctx context.Context, addr, id string) ([]string, error) {
	var texts []string
	for {
		var page rpc.JobTextsResponse
		bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
		err := a.pool.Call(bounded, addr, rpc.MethodJobTexts, &rpc.JobTexts{Job: id, From: len(texts)}, &page)
		cancel()
		if err != nil {
			return nil, err
		}
		texts = append(texts, page.Texts...)
		if len(texts) >= page.Total {
			return texts, nil
		}
		if len(page.Texts) == 0 {
			return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "%d of %d texts of job %q", len(texts), page.Total, id)
		}
	}
}

// removeOrphans removes the files of jobs that the state does not contain.
func (a *archiver) removeOrphans() {
	var names []string
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for _, job := range m.Jobs() {
			names = append(names, job.ID)
		}
	})
	if err := a.files.RetainOnly(names); err != nil {
		a.server.log.Warn("texts_not_dropped", "error", err)
	}
}

// readTexts returns result texts of an archived job, starting at position from. A
// damaged file is dropped and fetched again from another host.
func (a *archiver) readTexts(job string, from int) ([]string, error) {
	texts, err := a.files.Get(job, from, maxReadBytes)
	if err == nil {
		return texts, nil
	}
	if errors.Is(err, archive.ErrDamaged) {
		a.server.log.Error("texts_damaged", "job", job, "error", err, "dropped", a.files.Drop([]string{job}))
		a.server.state.hasAllTexts.Store(false)
	}
	return nil, outcome.New(outcome.NoQuorum, outcome.NotRun, "the results of job %q are not on this host: %v", job, err)
}

// serveTexts returns texts of a job to another storage host, about as many bytes as one
// response to a gateway has.
func (a *archiver) serveTexts(_ context.Context, r *rpc.JobTexts) (*rpc.JobTextsResponse, error) {
	var page rpc.JobTextsResponse
	found, archived := false, false
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Unfinished() {
			return
		}
		found, archived = true, job.Archived
		page.Total = len(job.Results)
		if !archived {
			page.Texts = firstTexts(job.Results[min(max(0, r.From), page.Total):])
		}
	})
	if !found {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "no finished job %q", r.Job)
	}
	if !archived {
		return &page, nil
	}
	var err error
	if page.Texts, err = a.files.Get(r.Job, max(0, r.From), maxReadBytes); err != nil {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "texts of job %q: %v", r.Job, err)
	}
	return &page, nil
}

// firstTexts returns the texts of the first results, up to the one with which they reach
// maxReadBytes.
func firstTexts(results []jobs.Result) []string {
	var texts []string
	for i, size := 0, 0; i < len(results) && size < maxReadBytes; i++ {
		texts = append(texts, results[i].Text)
		size += len(results[i].Text)
	}
	return texts
}
