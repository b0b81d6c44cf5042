package director

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/roster"
	"banyanwalk/infra/pause"
	"banyanwalk/infra/targetconn"
)

const (
	// probeTimeout bounds one question to a target about its health.
	probeTimeout = 500 * time.Millisecond
	// probesAtOnce bounds the connections opened to ask targets.
	probesAtOnce = 64
	// recallWindow is how long after its start a control host recalls targets: by
	// then those that live have reported by themselves.
	recallWindow = 3 * time.Second
	// documentPollInterval is the time between two looks for the document.
	documentPollInterval = 5 * time.Millisecond
)

// HealthHeaders names the headers in the responses of targets about their health.
type HealthHeaders struct {
	Target  string // id of the target
	ColdFor string // milliseconds for which it stays cold; absent: it is warm
	Leaving string // "1": the target leaves
}

// recallTargets asks the targets that this host knew before it stopped whether they
// are still there. Their own reports arrive only once per report interval, and after
// a power loss of the whole site no other process knows them.
func (s *Server) recallTargets(ctx context.Context) {
	reports, err := s.targetFile.load()
	if err != nil {
		s.log.Warn("targets_unreadable", "error", err)
		return
	}
	if len(reports) == 0 || s.cfg.Health.Target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recallWindow)
	defer cancel()
	paths := s.healthPaths(ctx)
	probes := pool.New().WithMaxGoroutines(probesAtOnce)
	for _, report := range reports {
		if err := report.Validate(); err != nil {
			s.log.Warn("target_report_refused", "target", report.ID, "error", err)
			continue
		}
		path := paths[report.Service]
		if path == "" {
			continue
		}
		probes.Go(func() { s.recall(report, path) })
	}
	probes.Wait()
}

// recall merges the last report of a target if the target confirms that it runs.
func (s *Server) recall(report roster.Report, path string) {
	coldFor, err := probe(report.Addr, path, report.ID, s.cfg.Health)
	if errors.Is(err, errDraining) {
		report.State, err = roster.Draining, nil
	}
	s.log.Info("target_recalled", "target", report.ID, "addr", report.Addr, "cold_ms", coldFor.Milliseconds(),
		"after_ms", time.Since(s.startedAt).Milliseconds(), "error", err)
	if err != nil {
		return
	}
	report.ColdFor = coldFor
	s.mergeReport(report)
}

// errDraining means that a target answered that it takes no requests.
var errDraining = errors.New("the target drains")

// healthPaths returns the health path of each service of the document, as soon as
// the log has been replayed that far.
func (s *Server) healthPaths(ctx context.Context) map[string]string {
	paths := make(map[string]string)
	for s.state.state().Version == 0 {
		if ctx.Err() != nil {
			return paths
		}
		pause.For(ctx, documentPollInterval)
	}
	document, err := s.cfg.Decode(s.state.state().Body)
	if err != nil {
		s.log.Error("document_unreadable", "version", s.state.state().Version, "error", err)
		return paths
	}
	for _, service := range document.Services {
		paths[service.Name] = service.HealthPath
	}
	return paths
}

// probe asks the target at an address about its health. It returns how long the
// target stays cold, or an error unless the target is healthy and has the id.
func probe(addr, path, id string, headers HealthHeaders) (coldFor time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, header, err := askHealth(ctx, addr, path)
	if err != nil {
		return 0, errors.Wrap(err, "ask target")
	}
	draining := status == http.StatusServiceUnavailable || headers.Leaving != "" && header.Get(headers.Leaving) == "1"
	if status != http.StatusOK && !draining {
		return 0, errors.Newf("status %d", status)
	}
	if found := header.Get(headers.Target); found != id {
		return 0, errors.Newf("target %q has the address", found)
	}
	if draining {
		return 0, errDraining
	}
	value := header.Get(headers.ColdFor)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errors.Wrap(err, "cold time")
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// askHealth asks the target at an address about its health and returns the status and the
// header of its response, whose size is bounded. The body, which may have no end, is not read.
func askHealth(ctx context.Context, addr, path string) (status int, header http.Header, err error) {
	conn, err := targetconn.NewPool(addr, 1).Get(ctx)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return 0, nil, err
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return 0, nil, err
	}
	response, err := conn.ReadResponse(request) //nolint:bodyclose // Close would read the body; it ends with the connection
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, response.Header, nil
}
