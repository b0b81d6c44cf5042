package entry

import (
	"maps"
	"sync"
	"time"

	"banyanwalk/core/fairshare"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/follow"
)

const (
	// busyDivisor is the part of all slots, as a divisor, from which on gateways without
	// a broker use their own parts of the targets first.
	busyDivisor = 4
	// scarceDivisor is the part of all slots, as a divisor, that is left when they keep
	// to their own parts. Within the delay of the reports, a rush of twice the capacity
	// takes half of the slots.
	scarceDivisor = 2
)

// directSlots places requests to model engines without the broker. While slots are
// scarce, this gateway keeps to its part of the places, which is one divided by the
// number of gateways, and shares it between the workspaces. The other gateways do the
// same; their loads are known with a delay of 100 to 350 ms.
type directSlots struct {
	follower *follow.Follower
	mu       sync.Mutex
	services map[string]*directService
}

// directService is what this gateway has placed by itself at one service.
type directService struct {
	shares   *fairshare.Shares
	returns  placement.Returns
	inFlight int
}

// directSlot is one slot that this gateway has acquired by itself.
type directSlot struct {
	service string
	request fairshare.Request
	since   time.Time
}

func newDirectSlots(f *follow.Follower) *directSlots {
	return &directSlots{follower: f, services: make(map[string]*directService)}
}

// servesEngines reports whether the document says that a service's targets are model
// engines.
func (d *directSlots) servesEngines(service string) bool {
	table := d.follower.Table()
	if table == nil {
		return false
	}
	found := table.Service(service)
	return found != nil && found.Slots > 0
}

// acquire acquires a slot within this gateway's part of the places.
func (d *directSlots) acquire(now time.Time, r *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	targets := d.follower.Targets
	gateways := d.follower.Gateways()
	shared := follow.ShareRequest(d.follower.Table(), r)
	q.MaxQueue = placement.EngineQueueFor(r.IsRetry)
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.service(q.Service)
	room := targets.Room(now, q)
	part, scarce := service.part(room, gateways)
	decision := fairshare.Uncontended()
	if room.Slots > 0 { // else at best a target that failed before takes the request
		decision = service.shares.Ask(now, shared, part)
	}
	if !decision.MayQueue {
		q.MaxQueue = placement.NoQueue
	}
	if decision.Admitted {
		if target, full := d.choose(now, q, room, gateways, scarce); target != nil {
			service.shares.Granted(shared)
			service.inFlight++
			return &slot{target: target, needsPreemption: full, total: targets.TotalLoad(target.ID), tokens: q.HeldTokens(),
				direct: &directSlot{service: q.Service, request: shared, since: now}}, nil
		}
	}
	return nil, d.refuse(now, service, part.Slots, r, q, decision)
}

// service returns the state of a service, and creates it if there is none. The caller
// holds the lock.
func (d *directSlots) service(name string) *directService {
	service := d.services[name]
	if service == nil {
		service = &directService{shares: fairshare.New()}
		d.services[name] = service
	}
	return service
}

// part returns this gateway's part of the room at a service's targets, and whether slots
// are so scarce that it keeps to it. Until then, all slots count as free.
func (s *directService) part(room placement.Room, gateways int) (part fairshare.Capacity, scarce bool) {
	part = fairshare.Capacity{Slots: (room.Slots + gateways - 1) / gateways, Free: room.Slots}
	scarce = room.Slots > 0 && room.Online >= room.Slots-room.Slots/scarceDivisor
	if scarce {
		part.Free = max(0, part.Slots-s.inFlight)
	}
	return part, scarce
}

// choose chooses a target. Reports of the other gateways' loads are old, so that all
// gateways would choose the same targets; so each one uses its part of each target
// first, and only this part while slots are scarce.
func (d *directSlots) choose(now time.Time, q placement.Query, room placement.Room, gateways int, scarce bool) (target *roster.Record, full bool) {
	targets := d.follower.Targets
	if room.Online < room.Slots/busyDivisor {
		return targets.Acquire(now, q)
	}
	own := q
	own.Exclude = make(map[string]bool, len(q.Exclude))
	maps.Copy(own.Exclude, q.Exclude)
	for _, id := range targets.OwnPartUsed(q.Service, min(placement.EngineQueue, max(0, q.MaxQueue)), gateways) {
		own.Exclude[id] = true
	}
	if target, full = targets.Acquire(now, own); target != nil || scarce {
		return target, full
	}
	return targets.Acquire(now, q)
}

// refuse returns the refusal of a request. The caller holds the lock.
func (d *directSlots) refuse(now time.Time, service *directService, part int, r *rpc.SlotRequest, q placement.Query, decision fairshare.Decision) *outcome.Error {
	retryAfter, limited := d.follower.Targets.NextPlace(now, q.Service)
	if part == 0 {
		if !limited {
			retryAfter = noTargetRetryAfter
		}
		return outcome.New(outcome.NoTarget, outcome.NotRun, "no target of the service takes requests").WithRetryAfter(retryAfter)
	}
	remaining := time.Duration(r.RemainingMS) * time.Millisecond
	if decision.Contended && !decision.Within {
		retryAfter = service.returns.NextBeyond(now, r.Workspace, decision.Share, remaining)
		return outcome.New(outcome.BeyondShare, outcome.NotRun, "workspace %q is beyond its share of service %s at this gateway, without a broker: %d requests, share %.1f of %d slots, %d requests of all",
			r.Workspace, q.Service, decision.InFlight, decision.Share, part, service.inFlight).WithRetryAfter(retryAfter)
	}
	if !limited {
		retryAfter = service.returns.Next(now, part, remaining)
	}
	return outcome.New(outcome.TargetBusy, outcome.NotRun, "no target of service %s has a place for this gateway, without a broker: its part is %d slots, %d requests there",
		q.Service, part, service.inFlight).WithRetryAfter(retryAfter)
}

// release frees a slot.
func (d *directSlots) release(now time.Time, used *slot) {
	d.follower.Targets.Release(used.target.ID, false)
	d.follower.Targets.ReleaseTokens(used.target.ID, false, used.tokens)
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.services[used.direct.service]
	held := now.Sub(used.direct.since)
	service.shares.Released(used.direct.request, held)
	service.returns.Observe(held)
	service.inFlight--
}
