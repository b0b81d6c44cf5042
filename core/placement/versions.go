package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"banyanwalk/core/roster"
)

// CountVersions sets which versions of a service count as its capacity.
func (t *Targets) CountVersions(serves func(service, version string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serves = serves
}

// takesVersion reports whether the version of a target, and the target itself, may get
// the request.
func (q *Query) takesVersion(r *roster.Record) bool {
	switch {
	case q.onlyTarget != "" && r.ID != q.onlyTarget, q.withoutVersion != "" && r.Version == q.withoutVersion:
		return false
	case q.Version != nil && r.Version != *q.Version:
		return false
	}
	return q.Rollout == nil || q.Rollout.Allows(r.Version, q.Version != nil)
}

// chooseVersion returns the best target of a version that may get the request, and takes
// the grant that it needs. The caller holds the lock.
func (t *Targets) chooseVersion(now time.Time, q Query) *roster.Record {
	if q.Rollout == nil {
		return t.bestOrFailed(now, q)
	}
	if version, unconfirmed := q.Rollout.Unconfirmed(); unconfirmed && q.Version == nil {
		old := q
		old.withoutVersion = version
		if chosen := admitted(q, t.best(now, old, false)); chosen != nil {
			return chosen
		}
	}
	if q.Version != nil {
		chosen := admitted(q, t.bestOrFailed(now, q))
		if chosen == nil {
			q.Rollout.Missed(*q.Version)
		}
		return chosen
	}
	canary, next := q.Rollout.Canary()
	if canary == "" {
		return admitted(q, t.bestOrFailed(now, q))
	}
	if next {
		if chosen := admitted(q, t.bestCanary(now, q, canary)); chosen != nil {
			return chosen
		}
	}
	old := q
	old.withoutVersion = canary
	if chosen := admitted(q, t.bestOrFailed(now, old)); chosen != nil {
		return chosen
	}
	return admitted(q, t.bestCanary(now, q, canary))
}

// admitted returns a target if the request may go to its version now, else nil: the last
// grant may have been taken since it was chosen.
func admitted(q Query, r *roster.Record) *roster.Record {
	if r == nil || !q.Rollout.Admit(r.Version, q.Version != nil) {
		return nil
	}
	return r
}

// bestOrFailed returns the best target, one in backoff only if there is no other.
func (t *Targets) bestOrFailed(now time.Time, q Query) *roster.Record {
	best := t.best(now, q, false)
	if best == nil && !q.Batch {
		best = t.best(now, q, true)
	}
	return best
}

// bestCanary returns the target of a new version that gets a granted request. The
// requests go to as few targets as possible, each of which is filled to the load of the
// old ones: a version that fails only under load would pass on idle targets.
func (t *Targets) bestCanary(now time.Time, q Query, version string) *roster.Record {
	slots, taken := 0, 0
	var candidates []*roster.Record
	for _, r := range t.services[q.Service] {
		if t.outOfService(r.DataCentre) {
			continue
		}
		if r.Version == version {
			candidates = append(candidates, r)
			continue
		}
		slots += slotsOf(r)
		taken += t.total(r.ID)
	}
	oldLoad := float64(taken) / float64(max(1, slots))
	slices.SortFunc(candidates, func(a, b *roster.Record) int {
		return cmp.Or(cmp.Compare(t.total(b.ID), t.total(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range candidates {
		if t.total(r.ID) >= max(1, int(math.Ceil(oldLoad*float64(slotsOf(r))))) {
			continue
		}
		one := q
		one.onlyTarget = r.ID
		if t.best(now, one, false) != nil {
			return r
		}
	}
	q.Version = &version
	return t.best(now, q, false)
}
