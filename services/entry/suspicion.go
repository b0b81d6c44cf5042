package entry

import (
	"slices"
	"time"

	"banyanwalk/core/auth"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// probableCrashes is the number of crashes from which on a prompt part probably
// causes them: a request with it is isolated, and not sent again after a failure.
const probableCrashes = 2

// subjects identifies what a request may be suspected for.
type subjects struct {
	content quarantine.Ref
	parts   []quarantine.Ref // of its prompt, in the order of call.parts
}

// identify returns the subjects of the request: its content by workspace, host, path
// and body, and the shared parts of its prompt. The request id and the resume point
// differ between attempts and don't count.
func (f *forwarding) identify() *subjects {
	if f.subjects == nil {
		workspace := f.call.workspaceName()
		f.subjects = &subjects{
			content: quarantine.Ref{Workspace: workspace, Digest: auth.RequestDigest(workspace, f.request.Host+f.request.URI, f.request.Body)},
			parts:   f.promptParts(),
		}
	}
	return f.subjects
}

// promptParts identifies the shared parts of the prompt. Unlike the content, they are
// needed for each complete response.
func (f *forwarding) promptParts() []quarantine.Ref {
	if f.parts == nil {
		f.parts = auth.PromptPartRefs(f.call.workspaceName(), f.call.parts)
	}
	return f.parts
}

// assessment is what is known of a request before it is sent.
type assessment struct {
	content     suspicion
	parts       []suspicion    // in the order of subjects.parts
	subject     quarantine.Ref // that decides: quarantined, else the one with the most crashes
	deciding    suspicion      // on subject
	quarantined bool
}

// isolate reports whether the request should not share its target with another
// suspect.
func (a *assessment) isolate() bool {
	return a.content.crashes > 0 || a.probable()
}

// probable reports whether a part of the prompt probably crashes targets.
func (a *assessment) probable() bool {
	return slices.ContainsFunc(a.parts, func(s suspicion) bool { return s.crashes >= probableCrashes })
}

// run returns the run that a crash of the target is recorded with, without the parts
// that are innocent.
func (a *assessment) run(s *subjects, innocent func(part quarantine.Ref) bool) quarantine.Run {
	run := quarantine.Run{Ref: s.content, KnownCrashes: a.content.crashes}
	for i, ref := range s.parts {
		if innocent(ref) {
			continue
		}
		part := quarantine.RunPart{Digest: ref.Digest}
		if i < len(a.parts) {
			part.KnownCrashes = a.parts[i].crashes
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

// noteCompleted records a complete response, which clears what is suspected of the
// request and the parts of its prompt.
func (f *forwarding) noteCompleted() {
	s := f.server.suspects
	if len(f.call.parts) > 0 {
		s.innocent.add(f.call.started, f.promptParts())
	}
	if s.empty() {
		return
	}
	subjects := f.identify()
	var suspected []quarantine.Ref
	for _, ref := range append(slices.Clone(subjects.parts), subjects.content) {
		if s.lookup(ref).crashes > 0 {
			suspected = append(suspected, ref)
		}
	}
	if len(suspected) > 0 {
		s.completed(suspected)
	}
}
