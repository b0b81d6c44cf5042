package jobhost

import (
	"context"
	"math"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/archive"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/replicated"
)

const (
	// archiveFolder lies beside the log in the data folder.
	archiveFolder = "texts"
	// archiveEvery is the pause between two moves of texts to disk: texts of so
	// many seconds are in memory although they need not be.
	archiveEvery = 1 * time.Second
	// cleanEvery is the pause between two looks for files of jobs that this host no
	// longer knows, as its state came from a snapshot.
	cleanEvery = 10 * time.Second
	// fetchTimeout bounds one request for the texts of a job to another host;
	// they may be some megabytes.
	fetchTimeout = 2 * time.Second
)

// archiver keeps the texts of jobs whose results change no more on disk, as
// memory and snapshots would grow with every result otherwise. Each host keeps
// all of them. One whose state comes from a snapshot lacks texts and fetches
// them from the others; until then it gets no vote.
type archiver struct {
	server *Server
	files  *archive.Archive
	pool   *wire.Pool
}

func newArchiver(s *Server) (*archiver, error) {
	files, err := archive.Open(filepath.Join(s.cfg.DataDir, archiveFolder))
	if err != nil {
		return nil, err
	}
	return &archiver{server: s, files: files, pool: wire.NewPool(s.cfg.ClientTLS)}, nil
}

// run moves and fetches texts until ctx ends.
func (a *archiver) run(ctx context.Context) {
	defer a.pool.Close()
	cleaned := time.Now()
	for ctx.Err() == nil {
		// First, as a job of the same id may have been handed in since.
		if err := a.files.Drop(a.server.state.takeDropped()); err != nil {
			a.server.log.Warn("texts_not_dropped", "error", err)
		}
		if err := a.store(); err != nil {
			a.server.log.Warn("texts_not_stored", "error", err)
		}
		a.fetchMissing(ctx)
		if now := time.Now(); now.Sub(cleaned) >= cleanEvery {
			cleaned = now
			a.clean()
		}
		pause.For(ctx, archiveEvery)
	}
}

// store moves the texts of final jobs to disk.
func (a *archiver) store() error {
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

// fetchMissing fetches the texts that this host's snapshot left out.
func (a *archiver) fetchMissing(ctx context.Context) {
	if a.server.state.complete.Load() {
		return
	}
	missing := a.missing()
	fetched := 0
	for _, id := range missing {
		if a.fetch(ctx, id) {
			fetched++
		}
	}
	if len(missing) > 0 {
		a.server.log.Info("texts_fetched", "jobs", fetched, "missing", len(missing)-fetched)
	}
	if fetched == len(missing) && len(a.missing()) == 0 {
		a.server.state.complete.Store(true)
	}
}

func (a *archiver) missing() []string {
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

// fetch asks one storage host after another for the texts of a job.
func (a *archiver) fetch(ctx context.Context, id string) bool {
	own := a.server.group.Load().ID()
	for _, host := range a.server.cfg.Follower.StorageHosts() {
		addr, found := replicated.Addr(host.ID)
		if !found || host.ID == own {
			continue
		}
		var data rpc.JobTextsData
		bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
		err := a.pool.Call(bounded, addr, rpc.MethodJobTexts, &rpc.JobTexts{Job: id}, &data)
		cancel()
		if err == nil {
			err = a.files.Put([]archive.Entry{{Name: id, Texts: data.Texts}})
		}
		if err == nil {
			return true
		}
		a.server.log.Warn("texts_not_fetched", "job", id, "from", addr, "error", err)
	}
	return false
}

// clean drops the files of jobs that are not known.
func (a *archiver) clean() {
	var names []string
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		for _, job := range m.Jobs() {
			names = append(names, job.ID)
		}
	})
	if err := a.files.Keep(names); err != nil {
		a.server.log.Warn("texts_not_dropped", "error", err)
	}
}

// texts returns results of an archived job from a position on. Damaged ones are
// dropped and fetched from another host.
func (a *archiver) texts(job string, from int) ([]string, error) {
	texts, err := a.files.Get(job, from, maxReadBytes)
	if err == nil {
		return texts, nil
	}
	if errors.Is(err, archive.ErrDamaged) {
		a.server.log.Error("texts_damaged", "job", job, "error", err, "dropped", a.files.Drop([]string{job}))
		a.server.state.complete.Store(false)
	}
	return nil, outcome.New(outcome.NoQuorum, outcome.NotRun, "the results of job %q are not on this host: %v", job, err)
}

// serveTexts returns all texts of a job to another storage host.
func (a *archiver) serveTexts(_ context.Context, r *rpc.JobTexts) (*rpc.JobTextsData, error) {
	var texts []string
	found, archived := false, false
	a.server.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		job := m.Job(r.Job)
		if job == nil || job.Unfinished() {
			return
		}
		found, archived = true, job.Archived
		texts = job.Texts()
	})
	if !found {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "no finished job %q", r.Job)
	}
	if !archived {
		return &rpc.JobTextsData{Texts: texts}, nil
	}
	texts, err := a.files.Get(r.Job, 0, math.MaxInt)
	if err != nil {
		return nil, outcome.New(outcome.JobNotFound, outcome.NotRun, "texts of job %q: %v", r.Job, err)
	}
	return &rpc.JobTextsData{Texts: texts}, nil
}
