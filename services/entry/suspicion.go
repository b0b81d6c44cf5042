package entry

import (
	"time"

	"banyanwalk/core/auth"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// contentRef identifies the request by workspace, host, path and body. The request
// id and the resume point differ between attempts and don't count.
func (f *forwarding) contentRef() quarantine.Ref {
	if f.ref == (quarantine.Ref{}) {
		workspace := f.call.workspaceName()
		f.ref = quarantine.Ref{Workspace: workspace, Digest: auth.RequestDigest(workspace, f.request.Host+f.request.URI, f.request.Body)}
	}
	return f.ref
}

// checkSuspicion returns the failure of a request that is known to crash targets,
// and notes the crashes known before the next run.
func (f *forwarding) checkSuspicion() *outcome.Error {
	s := f.server
	if s.suspects.empty() {
		f.knownCrashes = 0
		return nil
	}
	known := s.suspects.lookup(f.contentRef())
	f.knownCrashes = known.crashes
	if known.crashes == 0 {
		return nil
	}
	s.log.Info("suspect_checked", "request", f.call.id, "digest", f.ref.Digest.String(), "workspace", f.ref.Workspace, "suspicion", known.level.String(),
		"crashes", known.crashes, "source", known.source, "age_ms", known.age.Milliseconds(), "runs", f.executions, "after_ms", ms(time.Since(f.call.started)))
	if known.level < quarantine.Quarantined {
		return nil
	}
	return outcome.New(outcome.Quarantined, f.outcomeSoFar(), "this content has crashed %d targets", known.crashes)
}

// noteCompleted records a complete response to a request whose content is
// suspected.
func (f *forwarding) noteCompleted() {
	if s := f.server.suspects; !s.empty() && s.lookup(f.contentRef()).crashes > 0 {
		s.completed(f.ref)
	}
}
