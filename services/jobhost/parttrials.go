package jobhost

import (
	"slices"
	"sync"
	"time"

	"banyanwalk/core/auth"
	"banyanwalk/core/jobs"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/crashreport"
	"banyanwalk/services/follow"
)

const (
	// firstTrialDelay is how long items with a quarantined part of a prompt wait
	// before one of them runs. Each further one waits trialDelayGrowth times longer, up
	// to maxTrialDelay.
	firstTrialDelay  = 5 * time.Second
	trialDelayGrowth = 4
	maxTrialDelay    = time.Hour
	// maxTrials bounds the parts whose trials are remembered.
	maxTrials = 1024
)

// partTrials holds items back whose prompt has a quarantined part. An item that was
// accepted is owed, so one of them runs now and then: a complete response clears the
// verdict. It is safe for concurrent use.
type partTrials struct {
	follower    *follow.Follower
	reporter    *crashreport.Reporter
	log         *telemetry.Log
	promptParts func([]jobs.Header) []string

	mu     sync.Mutex
	trials map[quarantine.Ref]*partTrial
}

// partTrial is what is known of the items that wait for the verdict on one part.
type partTrial struct {
	runs   int           // of items since the first one waited
	delay  time.Duration // before the next run
	nextAt time.Time     // when the next item may run
}

func newPartTrials(s *Server) *partTrials {
	return &partTrials{follower: s.cfg.Follower, reporter: s.reporter, log: s.log, promptParts: s.cfg.PromptParts,
		trials: make(map[quarantine.Ref]*partTrial)}
}

// partsOf returns the shared parts of an item's prompt, or nil while the site has no
// verdicts.
func (t *partTrials) partsOf(workspace string, headers []jobs.Header) []quarantine.Ref {
	if t.promptParts == nil || !t.follower.HasVerdicts() {
		return nil
	}
	return auth.PromptPartRefs(workspace, t.promptParts(headers))
}

// mayRun reports whether an item with the given parts may run now.
func (t *partTrials) mayRun(now time.Time, parts []quarantine.Ref) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ref := range t.quarantined(parts) {
		trial := t.trials[ref]
		if trial == nil {
			if len(t.trials) >= maxTrials {
				t.dropCleared()
			}
			trial = &partTrial{delay: firstTrialDelay, nextAt: now.Add(firstTrialDelay)}
			t.trials[ref] = trial
			t.log.Info("items_held", "subject", ref.Kind.String(), "digest", ref.Digest.String(), "workspace", ref.Workspace,
				"for_ms", firstTrialDelay.Milliseconds())
		}
		if now.Before(trial.nextAt) {
			return false
		}
	}
	return true
}

// started records that an item with the given parts starts to run.
func (t *partTrials) started(now time.Time, item jobs.ItemRef, parts []quarantine.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ref := range t.quarantined(parts) {
		trial := t.trials[ref]
		if trial == nil {
			continue // quarantined since mayRun
		}
		trial.runs++
		trial.delay = min(trialDelayGrowth*trial.delay, maxTrialDelay)
		trial.nextAt = now.Add(trial.delay)
		t.log.Info("held_item_tried", "job", item.Job, "item", item.Item, "digest", ref.Digest.String(), "workspace", ref.Workspace,
			"runs", trial.runs, "next_ms", trial.delay.Milliseconds())
	}
}

// completed reports that an item with the given parts ran to a complete response,
// which clears the parts that are suspected.
func (t *partTrials) completed(parts []quarantine.Ref) {
	suspected := slices.DeleteFunc(slices.Clone(parts), func(ref quarantine.Ref) bool { return !t.suspected(ref) })
	if len(suspected) == 0 {
		return
	}
	t.mu.Lock()
	for _, ref := range suspected {
		delete(t.trials, ref)
	}
	t.mu.Unlock()
	t.reporter.Completed(suspected)
}

// quarantined returns the parts whose verdicts hold an item with these parts back.
func (t *partTrials) quarantined(parts []quarantine.Ref) []quarantine.Ref {
	has := func(part quarantine.Ref) bool { return slices.Contains(parts, part) }
	var found []quarantine.Ref
	for _, ref := range parts {
		if verdict, _ := t.follower.Verdict(ref); verdict.Level == quarantine.Quarantined && verdict.Covers(has, t.suspected) {
			found = append(found, ref)
		}
	}
	return found
}

func (t *partTrials) suspected(part quarantine.Ref) bool {
	verdict, _ := t.follower.Verdict(part)
	return verdict.Level > quarantine.Cleared
}

// dropCleared forgets parts that are not quarantined any more. The caller holds the
// lock.
func (t *partTrials) dropCleared() {
	for ref := range t.trials {
		if verdict, _ := t.follower.Verdict(ref); verdict.Level < quarantine.Quarantined {
			delete(t.trials, ref)
		}
	}
}
