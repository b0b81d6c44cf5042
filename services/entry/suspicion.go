package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"banyanwalk/core/auth"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
)

// probableCrashes is the number of crashes from which on something that requests
// share probably causes them: a request with it is isolated, and not sent again after
// a failure.
const probableCrashes = 2

const (
	// trialRetryAfter is the Retry-After of a suspect that may not run now.
	trialRetryAfter = 300 * time.Millisecond
	// maxInnocentBody bounds the bodies, in bytes, that are digested at each complete
	// response.
	maxInnocentBody = 64 << 10
)

// subjects identifies what a request may be suspected for.
type subjects struct {
	content quarantine.Ref
	parts   []quarantine.Ref // what it shares with other requests
}

// identify returns the subjects of the request: its content by workspace, host, path,
// query and body, and what it shares with others. The method, the request id, other
// headers and the resume point may differ between attempts and don't count.
func (f *forwarding) identify() *subjects {
	if f.subjects == nil {
		workspace := f.call.workspaceName()
		f.subjects = &subjects{
			content: quarantine.Ref{Workspace: workspace, Digest: auth.RequestDigest(workspace, f.call.route.Host+f.request.URI, f.request.Body)},
			parts:   f.shared(),
		}
	}
	return f.subjects
}

// shared identifies what the request shares with others: parts of its prompt, and all
// but its query if it has one. Unlike the content, this is needed for each complete
// response.
func (f *forwarding) shared() []quarantine.Ref {
	if f.parts != nil {
		return f.parts
	}
	workspace := f.call.workspaceName()
	f.parts = auth.PromptPartRefs(workspace, f.call.parts)
	if path, _, found := strings.Cut(f.request.URI, "?"); found {
		f.parts = append(f.parts, quarantine.Ref{Workspace: workspace, Kind: quarantine.Variants,
			Digest: auth.RequestDigest(workspace, f.call.route.Host+path, f.request.Body)})
	}
	return f.parts
}

// assessment is what is known of a request before it is sent.
type assessment struct {
	content     suspicion
	parts       []suspicion    // in the order of subjects.parts
	shares      bool           // something that it shares with others probably crashes targets
	subject     quarantine.Ref // that decides: quarantined, else the one with the most crashes
	deciding    suspicion      // on subject
	quarantined bool
}

// isolate reports whether the request should not share its target with another
// suspect.
func (a *assessment) isolate() bool {
	return a.content.crashes > 0 || a.probable()
}

// probable reports whether something that the request shares with others probably
// crashes targets.
func (a *assessment) probable() bool { return a.shares }

// run returns the run that a crash of the target is recorded with, without what is
// innocent. trialCrashes is the number of crashes that were known when its trial began.
func (a *assessment) run(s *subjects, onTrial bool, trialCrashes int, innocent func(part quarantine.Ref) bool) quarantine.Run {
	run := quarantine.Run{Ref: s.content, KnownCrashes: max(trialCrashes, a.content.crashes), Trial: onTrial}
	for i, ref := range s.parts {
		if innocent(ref) {
			continue
		}
		part := quarantine.RunPart{Digest: ref.Digest, Kind: ref.Kind}
		if i < len(a.parts) {
			part.KnownCrashes = a.parts[i].crashes
		}
		if ref.Kind == quarantine.Variants {
			part.KnownCrashes = max(trialCrashes, part.KnownCrashes)
		}
		run.Parts = append(run.Parts, part)
	}
	return run
}

// assess looks up what is known of a request.
func (s *suspects) assess(of *subjects) assessment {
	a := assessment{content: s.lookup(of.content), subject: of.content}
	a.deciding = a.content
	a.quarantined = a.content.level == quarantine.Quarantined
	has := func(part quarantine.Ref) bool { return slices.Contains(of.parts, part) }
	suspected := func(part quarantine.Ref) bool { return s.lookup(part).level > quarantine.Cleared }
	for _, ref := range of.parts {
		known := s.lookup(ref)
		if known.crashes > 0 && s.innocent.has(ref) {
			s.completed([]quarantine.Ref{ref})
			known = suspicion{}
		}
		a.parts = append(a.parts, known)
		if !known.verdict(ref).Confirmed() {
			continue
		}
		a.shares = a.shares || known.crashes >= probableCrashes
		quarantined := known.level == quarantine.Quarantined && known.verdict(ref).Covers(has, suspected)
		if quarantined && !a.quarantined || quarantined == a.quarantined && known.crashes > a.deciding.crashes {
			a.subject, a.deciding, a.quarantined = ref, known, quarantined
		}
	}
	return a
}

// checkSuspicion returns the failure of a request that is known to crash targets,
// and notes what is known before the next run.
func (f *forwarding) checkSuspicion() *outcome.Error {
	s := f.server
	if s.suspects.empty() {
		f.known = assessment{}
		return nil
	}
	f.known = s.suspects.assess(f.identify())
	known := &f.known
	if known.deciding.crashes == 0 {
		return nil
	}
	s.log.Info("suspect_checked", "request", f.call.id, "subject", known.subject.Kind.String(), "digest", known.subject.Digest.String(),
		"workspace", known.subject.Workspace, "suspicion", known.deciding.level.String(), "refused", known.quarantined, "crashes", known.deciding.crashes,
		"source", known.deciding.source, "age_ms", known.deciding.age.Milliseconds(), "runs", f.executions, "after_ms", ms(time.Since(f.call.started)))
	switch {
	case known.quarantined:
		return outcome.New(outcome.Quarantined, f.outcomeSoFar(), "this request crashes targets: its %s %s has crashed %d",
			known.subject.Kind, known.subject.Digest, known.deciding.crashes)
	case known.probable() && f.executions > 0:
		return outcome.New(outcome.TargetFailed, outcome.MayHaveRun, "the target broke off, and the request may crash another one")
	default:
		return nil
	}
}

// trialSubject returns the subject whose next run must be a trial, if any. Prompt parts
// are left out: sound requests have them too. So is the first retry after a crash, as
// most requests that were at a crashed target are sound, and content that completed
// lately.
//
// A target that broke off and may still turn out to have crashed counts as well.
func (f *forwarding) trialSubject() (ref quarantine.Ref, needed bool) {
	s := f.server
	minTargets := quarantine.TrialTargets
	if f.executions == 0 {
		minTargets = 1
	}
	of := f.identify()
	if f.suspectTargets(of.content, &f.known.content) >= minTargets && !s.suspects.innocent.has(of.content) {
		return of.content, true
	}
	for i, part := range of.parts {
		if part.Kind != quarantine.Variants || s.suspects.innocent.has(part) {
			continue
		}
		known := suspicion{}
		if i < len(f.known.parts) {
			known = f.known.parts[i]
		}
		if f.suspectTargets(part, &known) >= minTargets {
			return part, true
		}
	}
	return quarantine.Ref{}, false
}

// suspectTargets returns the number of targets that have crashed, or may have, under a
// subject. A trial of it elsewhere means one at least.
func (f *forwarding) suspectTargets(ref quarantine.Ref, known *suspicion) int {
	targets := max(known.targets, f.server.crashes.undecided(ref))
	if known.level > quarantine.Cleared {
		targets = max(1, targets)
	}
	return targets
}

// beginTrial asks control for the only run of a request under which several targets
// have crashed, and returns the failure if it may not run now.
func (f *forwarding) beginTrial() *outcome.Error {
	f.onTrial, f.trialCrashes = false, 0
	if f.server.suspects.empty() && f.server.crashes.empty() {
		return nil
	}
	subject, needed := f.trialSubject()
	if !needed {
		return nil
	}
	lasts := time.Until(f.call.deadline) + replacedWait // a crash may show only when the target is back
	holder := fmt.Sprintf("%s/%d", f.call.id, f.executions)
	request := &rpc.TrialRequest{Ref: subject, Holder: holder, Service: f.service, RemainingMS: lasts.Milliseconds()}
	grant, err := f.server.reporter.BeginTrial(f.ctx, request)
	if err != nil {
		grant = f.server.suspects.beginTrial(request)
		f.server.log.Warn("trial_decided_locally", "request", f.call.id, "digest", subject.Digest.String(), "allowed", grant.Allowed, "error", err)
	}
	if !grant.Allowed {
		return outcome.New(outcome.SuspectHeld, f.outcomeSoFar(),
			"this request may crash targets: another run of it is on trial, or too few targets are up").WithRetryAfter(trialRetryAfter)
	}
	f.trial, f.onTrial, f.trialCrashes = request, true, grant.Crashes
	return nil
}

// endTrial ends the trial of this request, if there is one: it showed nothing.
func (f *forwarding) endTrial() {
	if f.trial == nil {
		return
	}
	f.server.suspects.endTrial(f.trial)
	f.trial = nil
}

// noteCompleted records a complete response, which clears what is suspected of the
// request and of what it shares with others.
func (f *forwarding) noteCompleted() {
	s := f.server.suspects
	s.innocent.add(f.call.started, f.shared())
	if len(f.request.Body) <= maxInnocentBody {
		s.innocent.add(f.call.started, []quarantine.Ref{f.identify().content})
	}
	if s.empty() {
		return
	}
	subjects := f.identify()
	var suspected []quarantine.Ref
	for _, ref := range append(slices.Clone(subjects.parts), subjects.content) {
		if known := s.lookup(ref); known.crashes > 0 || known.level > quarantine.Cleared {
			suspected = append(suspected, ref)
		}
	}
	if len(suspected) > 0 {
		s.completed(suspected)
		f.trial = nil
	}
}
