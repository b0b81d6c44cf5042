package fleet

import (
	"maps"
	"slices"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// View is the fleet's state at one revision, indexed for look-ups. It is
// immutable and safe for concurrent use. The zero value is the empty view
// before the first update.
type View struct {
	Revision uint64

	index          *bundle.Index
	signed         *bundle.Signed
	dataCentresOut map[string]struct{}   // marked out
	targetsOut     map[TargetID]struct{} // marked out
	targets        map[TargetID]Target
	inService      map[string][]Target // by model, sorted by ID
	verdicts       map[quarantine.Ref]quarantine.Verdict
}

// emptyIndex is the index of an empty bundle, used before the first update.
var emptyIndex = bundle.Compile(&bundle.Document{})

// Apply returns the view after an update; unchanged sections are shared with v.
// An update that is not newer returns v itself. It is an error if the update
// carries a malformed bundle, or another one whose version is not above that in
// force.
func (v *View) Apply(u Update) (*View, error) {
	if u.Revision <= v.Revision {
		return v, nil
	}
	next := *v
	next.Revision = u.Revision
	if err := next.applyBundle(u); err != nil {
		return nil, err
	}
	next.applyMarks(u)
	next.applyTargets(u)
	next.applyVerdicts(u)
	if u.Full || u.Marks != nil || len(u.Targets) > 0 || len(u.Removed) > 0 {
		next.inService = next.selectInService()
	}
	return &next, nil
}

func (v *View) applyBundle(u Update) error {
	if u.Bundle == nil {
		return nil
	}
	if bundle.Digest(u.Bundle.Source) == v.Bundle().Digest() {
		return nil
	}
	index, err := bundle.Load(u.Bundle.Source)
	if err != nil {
		return err
	}
	if current := v.Bundle().Version(); index.Version() <= current {
		return outcome.New(outcome.BundleOutdated, outcome.NotRun, "version %d is in force, update carries %d", current, index.Version())
	}
	v.index, v.signed = index, u.Bundle
	return nil
}

func (v *View) applyMarks(u Update) {
	if u.Marks == nil {
		if u.Full {
			v.dataCentresOut, v.targetsOut = nil, nil
		}
		return
	}
	v.dataCentresOut = toSet(u.Marks.DataCentresOut)
	v.targetsOut = toSet(u.Marks.TargetsOut)
}

func (v *View) applyTargets(u Update) {
	if !u.Full && len(u.Targets) == 0 && len(u.Removed) == 0 {
		return
	}
	targets := make(map[TargetID]Target, len(v.targets)+len(u.Targets))
	if !u.Full {
		maps.Copy(targets, v.targets)
	}
	for _, t := range u.Targets {
		targets[t.ID] = t
	}
	for _, id := range u.Removed {
		delete(targets, id)
	}
	v.targets = targets
}

func (v *View) applyVerdicts(u Update) {
	if !u.Full && len(u.Verdicts) == 0 {
		return
	}
	verdicts := make(map[quarantine.Ref]quarantine.Verdict, len(v.verdicts)+len(u.Verdicts))
	if !u.Full {
		maps.Copy(verdicts, v.verdicts)
	}
	for _, verdict := range u.Verdicts {
		key := verdict.Ref()
		if verdict.Level == quarantine.Cleared {
			delete(verdicts, key)
			continue
		}
		verdicts[key] = verdict
	}
	v.verdicts = verdicts
}

func (v *View) selectInService() map[string][]Target {
	byModel := make(map[string][]Target)
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		if v.InService(id) {
			t := v.targets[id]
			byModel[t.Model] = append(byModel[t.Model], t)
		}
	}
	return byModel
}

// Bundle returns the bundle in force. It is never nil; its version is 0
// before the first bundle.
func (v *View) Bundle() *bundle.Index {
	if v.index == nil {
		return emptyIndex
	}
	return v.index
}

// SignedBundle returns the signed source of the bundle in force, or nil.
func (v *View) SignedBundle() *bundle.Signed { return v.signed }

// TargetsFor returns the targets of a model that may get new work, sorted by
// ID. The caller must not modify the slice.
func (v *View) TargetsFor(model string) []Target { return v.inService[model] }

// Target finds a target by ID, in service or not.
func (v *View) Target(id TargetID) (Target, bool) {
	t, found := v.targets[id]
	return t, found
}

// Targets returns all targets, sorted by ID.
func (v *View) Targets() []Target {
	list := make([]Target, 0, len(v.targets))
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		list = append(list, v.targets[id])
	}
	return list
}

// InService reports whether a target may get new work: it is known, not
// leaving, and neither it nor its data centre is marked out.
func (v *View) InService(id TargetID) bool {
	t, found := v.targets[id]
	if !found || t.Leaving || v.DataCentreOut(t.DataCentre) {
		return false
	}
	_, out := v.targetsOut[id]
	return !out
}

// DataCentreOut reports whether a data centre is marked out of service.
func (v *View) DataCentreOut(name string) bool {
	_, out := v.dataCentresOut[name]
	return out
}

// Marks returns the out-of-service marks.
func (v *View) Marks() Marks {
	return Marks{
		DataCentresOut: slices.Sorted(maps.Keys(v.dataCentresOut)),
		TargetsOut:     slices.Sorted(maps.Keys(v.targetsOut)),
	}
}

// Verdict returns the suspicion level of a request.
func (v *View) Verdict(workspace string, digest quarantine.Digest) quarantine.Suspicion {
	return v.verdicts[quarantine.Ref{Workspace: workspace, Digest: digest}].Level
}

func toSet[K comparable](list []K) map[K]struct{} {
	set := make(map[K]struct{}, len(list))
	for _, k := range list {
		set[k] = struct{}{}
	}
	return set
}

// TargetOut reports whether a target itself is marked out of service.
func (v *View) TargetOut(id TargetID) bool {
	_, out := v.targetsOut[id]
	return out
}

// Verdicts returns all verdicts in force, sorted by request.
func (v *View) Verdicts() []quarantine.Verdict {
	list := make([]quarantine.Verdict, 0, len(v.verdicts))
	for _, key := range slices.SortedFunc(maps.Keys(v.verdicts), quarantine.CompareRefs) {
		list = append(list, v.verdicts[key])
	}
	return list
}
