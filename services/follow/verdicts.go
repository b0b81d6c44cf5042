package follow

import (
	"maps"
	"time"

	"banyanwalk/core/quarantine"
)

// clearedRetention is how long a cleared verdict is kept, so that a push of a
// lagging control host does not bring the verdict back.
const clearedRetention = time.Minute

// Verdict is the site's verdict on a request that may crash targets.
type Verdict struct {
	quarantine.Verdict
	ReceivedAt time.Time
}

// Verdict returns the site's newest verdict on a request; it may be Cleared.
func (f *Follower) Verdict(ref quarantine.Ref) (Verdict, bool) {
	verdict, found := (*f.verdicts.Load())[ref]
	return verdict, found
}

// HasVerdicts reports whether the site has a verdict on any request.
func (f *Follower) HasVerdicts() bool { return len(*f.verdicts.Load()) > 0 }

// mergeVerdicts takes the verdicts that are newer than the known ones. The caller
// holds the lock.
func (f *Follower) mergeVerdicts(now time.Time, from string, update *quarantine.Update) {
	if update == nil {
		return
	}
	known := *f.verdicts.Load()
	next := maps.Clone(known)
	maps.DeleteFunc(next, func(_ quarantine.Ref, v Verdict) bool {
		outdated := update.Full && v.Revision <= update.Revision // set again below if still in force
		return outdated || v.Level == quarantine.Cleared && now.Sub(v.ReceivedAt) > clearedRetention
	})
	quarantined := 0
	for _, verdict := range update.Verdicts {
		ref := verdict.Ref()
		if current, found := known[ref]; found && current.Revision >= verdict.Revision {
			next[ref] = current
			continue
		}
		next[ref] = Verdict{Verdict: verdict, ReceivedAt: now}
		if verdict.Level == quarantine.Quarantined {
			quarantined++
		}
	}
	f.verdicts.Store(&next)
	f.cfg.Log.Info("verdicts_taken", "from", from, "revision", update.Revision, "full", update.Full,
		"verdicts", len(update.Verdicts), "newly_quarantined", quarantined, "known", len(next))
}

// TargetReplaced reports whether another incarnation has taken the place of a
// target, at its id or at its address.
func (f *Follower) TargetReplaced(id string, incarnation int64, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.roster.Get(id); r != nil && r.Incarnation > incarnation {
		return true
	}
	holder := f.roster.Holder(addr)
	return holder != nil && holder.ID != id && holder.Incarnation > incarnation
}
