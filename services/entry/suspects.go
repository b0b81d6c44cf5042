package entry

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/catalog"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/crashreport"
	"banyanwalk/services/follow"
)

// localRetention is how long this gateway's own evidence counts beside the site's
// verdict. By then the site has it too.
const localRetention = 10 * time.Second

// suspects holds what this gateway knows of requests that may crash targets: the
// site's verdicts, and its own evidence until the site's verdict includes it. It is
// safe for concurrent use.
type suspects struct {
	follower *follow.Follower
	reporter *crashreport.Reporter
	log      *telemetry.Log
	crashes  metrics.Counter
	started  time.Time

	localCount atomic.Int64 // verdicts in local
	innocent   innocentSubjects

	mu    sync.Mutex
	local *quarantine.Verdicts
	index uint64 // of the last change of local
}

// suspicion is what is known of one subject.
type suspicion struct {
	level   quarantine.Suspicion
	crashes int
	targets int                 // that crashed under it
	with    []quarantine.Digest // as in quarantine.Verdict
	// workspaces is as in quarantine.Verdict.
	workspaces int
	source     string        // whose evidence decides: "site" or "gateway"
	age        time.Duration // of that evidence
}

// verdict returns the suspicion as a verdict on a subject.
func (s *suspicion) verdict(of quarantine.Ref) *quarantine.Verdict {
	return &quarantine.Verdict{Workspace: of.Workspace, Digest: of.Digest, Kind: of.Kind, Level: s.level, Crashes: s.crashes, With: s.with,
		Workspaces: s.workspaces}
}

func newSuspects(f *follow.Follower, reporter *crashreport.Reporter, log *telemetry.Log, registry metrics.Registry) *suspects {
	return &suspects{
		follower: f, reporter: reporter, log: log, started: time.Now(), local: quarantine.NewVerdicts(),
		crashes: metrics.GetOrRegisterCounter("entry.targets.crashed", registry),
	}
}

// empty reports whether no request is suspected, so that no digest is needed.
func (s *suspects) empty() bool {
	return s.localCount.Load() == 0 && !s.follower.HasVerdicts()
}

// lookup returns what is known of a subject. The site's verdict decides as soon as
// it includes this gateway's evidence, since the site also knows what crashed at
// other gateways.
func (s *suspects) lookup(ref quarantine.Ref) suspicion {
	now := time.Now()
	site, known := s.follower.Verdict(ref)
	found := suspicion{level: site.Level, crashes: site.Crashes, targets: site.Targets, with: site.With, workspaces: site.Workspaces, source: "site", age: now.Sub(site.ReceivedAt)}
	s.mu.Lock()
	defer s.mu.Unlock()
	record, suspected := s.local.Lookup(ref)
	if !suspected {
		return found
	}
	lastCrash := s.started.Add(time.Duration(record.LastCrashMS) * time.Millisecond)
	if now.Sub(lastCrash) > localRetention || known && site.Level == quarantine.Cleared && site.ReceivedAt.After(lastCrash) {
		return found
	}
	found.targets = max(site.Targets, record.Verdict.Targets)
	if site.Crashes >= record.Verdict.Crashes {
		return found
	}
	return suspicion{level: max(found.level, record.Verdict.Level), crashes: record.Verdict.Crashes, targets: found.targets, with: record.Verdict.With,
		workspaces: max(found.workspaces, record.Verdict.Workspaces), source: "gateway", age: now.Sub(lastCrash)}
}

// beginTrial decides about a trial among the runs of this gateway, while control does
// not answer.
func (s *suspects) beginTrial(r *rpc.TrialRequest) *rpc.TrialGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	nowMS := time.Since(s.started).Milliseconds()
	if site, known := s.follower.Verdict(r.Ref); known && site.Level > quarantine.Cleared {
		s.local.Adopt(s.index, site.Verdict, nowMS)
	}
	trial := quarantine.Trial{Holder: r.Holder, Service: r.Service, UntilMS: nowMS + r.RemainingMS}
	result := s.local.BeginTrial(s.index, r.Ref, trial, 1, nowMS)
	s.localCount.Store(int64(s.local.Len()))
	return &rpc.TrialGrant{Allowed: result.Allowed, Crashes: result.Crashes}
}

// endTrial ends a trial that showed nothing.
func (s *suspects) endTrial(r *rpc.TrialRequest) {
	s.mu.Lock()
	s.index++
	s.local.EndTrial(s.index, r.Ref, r.Holder)
	s.localCount.Store(int64(s.local.Len()))
	s.mu.Unlock()
	s.reporter.TrialEnded(&catalog.EndedTrial{Ref: r.Ref, Holder: r.Holder})
}

// crashed records that a run ended with the crash of its target, and reports it to
// the site.
func (s *suspects) crashed(b *brokenRun, evidence string) {
	crash := quarantine.Crash{Target: b.target.ID, Incarnation: uint64(b.target.Incarnation)}
	s.mu.Lock()
	s.index++
	nowMS := time.Since(s.started).Milliseconds()
	for _, ref := range b.run.Subjects() {
		if site, known := s.follower.Verdict(ref); known && site.Level > quarantine.Cleared {
			s.local.Adopt(s.index, site.Verdict, nowMS)
		}
	}
	s.local.RecordRuns(s.index, crash, []quarantine.Run{b.run}, nowMS)
	s.dropOld(nowMS)
	s.localCount.Store(int64(s.local.Len()))
	s.mu.Unlock()
	s.crashes.Inc(1)
	s.reporter.Crashed(&catalog.CrashReport{Crash: crash, Runs: []quarantine.Run{b.run}})
	subject, known := s.mostSuspected(&b.run)
	s.log.Warn("target_crashed", "request", b.request, "digest", b.run.Digest.String(), "workspace", b.run.Workspace,
		"parts", strings.Join(b.parts, ","), "suspected_parts", len(b.run.Parts), "target", b.target.ID,
		"target_incarnation", b.target.Incarnation, "evidence", evidence, "subject", subject.Kind.String(), "subject_digest", subject.Digest.String(),
		"crashes", known.crashes, "suspicion", known.level.String(), "after_ms", time.Since(b.at).Milliseconds())
}

// mostSuspected returns the subject of a run that is known to have crashed the most
// targets.
func (s *suspects) mostSuspected(run *quarantine.Run) (quarantine.Ref, suspicion) {
	subject, known := run.Ref, s.lookup(run.Ref)
	for _, ref := range run.Subjects() {
		if other := s.lookup(ref); other.crashes > known.crashes {
			subject, known = ref, other
		}
	}
	return subject, known
}

// dropOld drops evidence older than localRetention. The caller holds the lock.
func (s *suspects) dropOld(nowMS int64) {
	var old []quarantine.Ref
	for _, verdict := range s.local.All() {
		if record, _ := s.local.Lookup(verdict.Ref()); nowMS-record.LastCrashMS > localRetention.Milliseconds() {
			old = append(old, verdict.Ref())
		}
	}
	s.local.Complete(s.index, old)
}

// completed records that suspected subjects ran to a complete response, which
// clears them: one that crashes each target never completes.
func (s *suspects) completed(refs []quarantine.Ref) {
	for _, ref := range refs {
		known := s.lookup(ref)
		s.log.Info("suspect_completed", "subject", ref.Kind.String(), "digest", ref.Digest.String(), "workspace", ref.Workspace,
			"crashes", known.crashes, "source", known.source, "age_ms", known.age.Milliseconds())
	}
	s.mu.Lock()
	s.index++
	s.local.Complete(s.index, refs)
	s.localCount.Store(int64(s.local.Len()))
	s.mu.Unlock()
	s.reporter.Completed(refs)
}
