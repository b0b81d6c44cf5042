package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// drainAcceptPeriod is how long a draining gateway still accepts requests.
	// Requests accepted earlier can finish within the grace period; later ones
	// are refused immediately.
	drainAcceptPeriod = 3 * time.Second
	// The grace period in parts: requests run for serveParts, are then ended with an
	// answer, and after answerParts the process exits.
	graceParts  = 32
	serveParts  = 30
	answerParts = 31
)

// DefaultReadinessDelay is how long the load balancer needs to notice that a
// gateway is no longer ready: two health checks one second apart.
const DefaultReadinessDelay = 2500 * time.Millisecond

// errGatewayStops is the cause with which requests end that outlast the grace period.
var errGatewayStops = errors.New("this gateway stops")

// serveCallers serves callers on l until ctx ends and the gateway has drained.
func (s *Server) serveCallers(ctx context.Context, server *fasthttp.Server, l net.Listener) error {
	ended := make(chan error, 1)
	var serving conc.WaitGroup
	serving.Go(func() { ended <- server.Serve(l) })
	defer serving.Wait()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	s.drain(server)
	_ = l.Close() // the server does not know a listener that it does not serve yet
	return errors.Wrap(<-ended, "serve callers")
}

// drain reports the gateway as not ready, keeps serving until the load balancer has
// noticed, and closes the listener once no request runs. It returns when all connections
// are closed, or the grace period is nearly over. A request that is being read is not seen by
// openRequests, and a response that is being written is not any more: only the end
// of their connections tells that both are served.
func (s *Server) drain(server *fasthttp.Server) {
	startedAt := time.Now()
	serveUntil := startedAt.Add(s.cfg.Grace * serveParts / graceParts)
	s.draining.Store(true)
	s.log.Info("gateway_draining", "open", s.openRequests.Load(), "connections", s.openConns.Load())
	defer time.AfterFunc(drainAcceptPeriod, func() { s.rejecting.Store(true) }).Stop()
	for time.Since(startedAt) < s.cfg.ReadinessDelay || s.openRequests.Load() > 0 {
		left := time.Until(serveUntil)
		if left <= 0 {
			break
		}
		time.Sleep(min(left, drainPollInterval))
	}
	if time.Now().Before(serveUntil) {
		defer time.AfterFunc(time.Until(serveUntil), s.abortRequests).Stop()
	} else {
		s.abortRequests()
	}
	bounded, cancel := context.WithDeadline(context.Background(), startedAt.Add(s.cfg.Grace*answerParts/graceParts))
	defer cancel()
	err := server.ShutdownWithContext(bounded)
	s.log.Info("gateway_drained", "open", s.openRequests.Load(), "connections", s.openConns.Load(), "after_ms", time.Since(startedAt).Milliseconds(), "error", err)
}

// abortRequests ends all requests that run. Their callers get an answer that tells whether
// the request may have run.
func (s *Server) abortRequests() {
	s.rejecting.Store(true)
	s.log.Warn("requests_ended", "open", s.openRequests.Load(), "reason", errGatewayStops)
	s.endLifetime(errGatewayStops)
}
