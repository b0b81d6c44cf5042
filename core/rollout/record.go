package rollout

import (
	"cmp"
	"slices"

	"banyanwalk/core/outcome"
)

// Counts sums evidence over processes.
type Counts struct {
	Requests uint64 `msgpack:"n"` // sent to targets
	Answers  uint64 `msgpack:"a"`
	Failed   uint64 `msgpack:"f"`
	Slow     uint64 `msgpack:"l"`
}

// Bad returns the failed and the slow responses. One that is both counts once at most
// as often as there are responses.
func (c Counts) Bad() uint64 { return min(c.Failed+c.Slow, c.Answers) }

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// since returns what has been added to earlier counts. No count is negative.
func (c Counts) since(earlier Counts) Counts {
	return Counts{Requests: c.Requests - min(c.Requests, earlier.Requests), Answers: c.Answers - min(c.Answers, earlier.Answers),
		Failed: c.Failed - min(c.Failed, earlier.Failed), Slow: c.Slow - min(c.Slow, earlier.Slow)}
}

// max returns the larger of each count.
func (c Counts) max(o Counts) Counts {
	return Counts{Requests: max(c.Requests, o.Requests), Answers: max(c.Answers, o.Answers), Failed: max(c.Failed, o.Failed), Slow: max(c.Slow, o.Slow)}
}

// Totals is the evidence as it is kept in the record, so that a new leader need not
// start from nothing.
type Totals struct {
	Requests uint64 `msgpack:"n"` // that provably reached the service since the start
	New      Counts `msgpack:"w"` // of the new version
	Old      Counts `msgpack:"o"` // of the other versions
}

// Command is one replicated change of the rollouts. Exactly one field is set.
type Command struct {
	Begin   *Begin   `msgpack:"b,omitempty"`
	Grant   *Grant   `msgpack:"g,omitempty"`
	Advance *Advance `msgpack:"a,omitempty"`
}

// Begin is an operator's order.
type Begin struct {
	AtMS       int64  `msgpack:"t"` // time of the proposer's group clock, milliseconds since 1970
	Service    string `msgpack:"s"`
	Version    string `msgpack:"v"`
	DurationMS int64  `msgpack:"d"`
	InForce    bool   `msgpack:"i,omitempty"` // all targets of the service run the version
}

// Grant logs requests that the leader may hand out from now on.
type Grant struct {
	AtMS      int64  `msgpack:"t"`
	Service   string `msgpack:"s"`
	StartedMS int64  `msgpack:"a"` // of the rollout that it belongs to
	Requests  uint64 `msgpack:"n"` // 0: only the totals are logged
	Limit     uint64 `msgpack:"l"` // of all requests granted, by the evidence of the proposer
	Totals    Totals `msgpack:"c"`
}

// Advance enters the next phase.
type Advance struct {
	AtMS      int64  `msgpack:"t"`
	Service   string `msgpack:"s"`
	StartedMS int64  `msgpack:"a"` // of the rollout that it belongs to
	Phase     Phase  `msgpack:"p"`
	Reason    string `msgpack:"r"`
	Totals    Totals `msgpack:"c"`
}

// AtMS returns the time of the command, in milliseconds since 1970.
func (c *Command) AtMS() int64 {
	switch {
	case c.Begin != nil:
		return c.Begin.AtMS
	case c.Grant != nil:
		return c.Grant.AtMS
	case c.Advance != nil:
		return c.Advance.AtMS
	default:
		return 0
	}
}

// Change says what a command has changed.
type Change uint8

// The changes.
const (
	Unchanged    Change = iota
	CountsChange        // figures that only the leader needs
	PhaseChange         // a rollout has begun or entered another phase
)

// Find returns the newest rollout of a service. all is sorted by service.
func Find(all []Rollout, service string) (Rollout, bool) {
	at, found := search(all, service)
	if !found {
		return Rollout{}, false
	}
	return all[at], true
}

// search returns the index of a service's rollout, or where it would be inserted.
func search(all []Rollout, service string) (int, bool) {
	return slices.BinarySearchFunc(all, service, func(r Rollout, s string) int { return cmp.Compare(r.Service, s) })
}

// Apply executes a command. It returns a new list and leaves the given one as it is.
func Apply(all []Rollout, c *Command) ([]Rollout, Change, *outcome.Error) {
	switch {
	case c.Begin != nil:
		return begin(all, c.Begin)
	case c.Grant != nil:
		next, change := grant(all, c.Grant)
		return next, change, nil
	case c.Advance != nil:
		next, change := advance(all, c.Advance)
		return next, change, nil
	default:
		return all, Unchanged, outcome.New(outcome.Internal, outcome.NotRun, "empty rollout command")
	}
}

// begin starts a rollout unless another one of the service is active. The order of the
// newest rollout is accepted again at any time, as its first response may have been
// lost, and changes nothing.
func begin(all []Rollout, b *Begin) ([]Rollout, Change, *outcome.Error) {
	at, found := search(all, b.Service)
	next := Rollout{Service: b.Service, Version: b.Version, Phase: Canary, StartedMS: b.AtMS, DurationMS: b.DurationMS}
	if found {
		known := &all[at]
		if known.Version == b.Version && known.DurationMS == b.DurationMS {
			return all, Unchanged, nil
		}
		if !known.Phase.Final() {
			return all, Unchanged, outcome.New(outcome.RolloutActive, outcome.NotRun, "service %s: the rollout of version %s is %s",
				b.Service, known.Version, known.Phase)
		}
		next.StartedMS = max(next.StartedMS, known.StartedMS+1) // commands name a rollout by its start
		next.Again = true
	}
	if b.InForce {
		next.Phase, next.Reason = Completed, "all targets run this version"
	}
	changed := slices.Clone(all)
	if found {
		changed[at] = next
	} else {
		changed = slices.Insert(changed, at, next)
	}
	return changed, PhaseChange, nil
}

// grant counts granted requests. Entries that would exceed their limit have no effect,
// so that no two leaders grant the same room.
func grant(all []Rollout, g *Grant) ([]Rollout, Change) {
	at, found := search(all, g.Service)
	if !found || all[at].StartedMS != g.StartedMS || all[at].Phase.Final() || g.Requests > 0 && all[at].Phase != Canary {
		return all, Unchanged
	}
	if g.Requests > 0 && (all[at].Granted > g.Limit || g.Requests > g.Limit-all[at].Granted) {
		return all, Unchanged
	}
	changed := slices.Clone(all)
	r := &changed[at]
	r.Granted += g.Requests
	r.include(g.Totals)
	return changed, CountsChange
}

// advance enters a later phase. A final phase stays, and so does Finishing unless the
// command ends the rollout.
func advance(all []Rollout, a *Advance) ([]Rollout, Change) {
	at, found := search(all, a.Service)
	if !found || all[at].StartedMS != a.StartedMS || all[at].Phase.Final() || a.Phase <= all[at].Phase || a.Phase > Reverted {
		return all, Unchanged
	}
	changed := slices.Clone(all)
	r := &changed[at]
	r.Phase, r.Reason = a.Phase, a.Reason
	r.include(a.Totals)
	return changed, PhaseChange
}

// include takes totals, none of which ever falls.
func (r *Rollout) include(t Totals) {
	r.Requests = max(r.Requests, t.Requests)
	r.New = r.New.max(t.New)
	r.Bad = max(r.Bad, r.New.Bad())
	r.Old = r.Old.max(t.Old)
}
