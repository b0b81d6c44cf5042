package entry

import (
	"context"
	"sync/atomic"
	"time"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/follow"
)

const (
	// brokerTimeout is how long a request waits for the broker; it answers
	// within a few milliseconds. Later the gateway chooses by itself.
	brokerTimeout = 60 * time.Millisecond
	// brokerPause is how long a broker that did not answer is left alone.
	brokerPause = 300 * time.Millisecond
	// releaseQueue bounds the slots whose release waits to be sent.
	releaseQueue = 1024
	// releasePause lets releases that come together share a message.
	releasePause   = 2 * time.Millisecond
	releaseTimeout = 500 * time.Millisecond
)

// slots gets the targets of requests: from the broker, which knows at any time
// how full each one is, or by the gateway's own view while there is none.
type slots struct {
	follower *follow.Follower
	jobs     *jobClient
	number   atomic.Uint64
	away     atomic.Int64 // until when the broker is left alone, Unix nanoseconds
	released chan release
}

type release struct {
	broker uint64 // replica id of the host that granted the slot
	id     rpc.SlotID
	failed string // target that broke off; empty: none
}

// slot is one place at a target.
type slot struct {
	target   *roster.Record
	full     bool // batch items have to give way, and the broker does not know
	total    int  // requests at the target, this one included
	brokered bool
	broker   rpc.StorageState // that has granted it, as it was then
	id       rpc.SlotID
}

func newSlots(f *follow.Follower, jobs *jobClient) *slots {
	return &slots{follower: f, jobs: jobs, released: make(chan release, releaseQueue)}
}

// acquire returns a place, or the reason why there is none.
func (s *slots) acquire(ctx context.Context, request *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	got, failure := s.ask(ctx, request, q)
	if got != nil || failure != nil {
		return got, failure
	}
	target, full := s.follower.Targets.Acquire(time.Now(), q)
	if target == nil {
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target of the service takes requests").WithRetryAfter(noTargetRetry)
	}
	return &slot{target: target, full: full, total: s.follower.Targets.Total(target.ID)}, nil
}

// ask asks the broker. It returns neither a slot nor a failure when there is no
// broker or its choice cannot be used.
func (s *slots) ask(ctx context.Context, request *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	now := time.Now()
	if now.UnixNano() < s.away.Load() {
		return nil, nil
	}
	hosts := s.follower.Stores()
	if len(hosts) == 0 || !hosts[0].Leads {
		return nil, nil
	}
	request.ID = rpc.SlotID{Process: s.follower.Process(), Number: s.number.Add(1)}
	request.Service = q.Service
	for id := range q.Exclude {
		request.Exclude = append(request.Exclude, id)
	}
	bounded, cancel := context.WithTimeout(ctx, brokerTimeout)
	defer cancel()
	var grant rpc.SlotGrant
	err := s.jobs.callOnce(bounded, brokerTimeout, hosts[0].ID, rpc.MethodSlotAcquire, request, &grant)
	if outcome.IsCode(err, outcome.TargetBusy) {
		return nil, outcome.From(err)
	}
	got := &slot{brokered: true, broker: hosts[0], id: request.ID, total: grant.Total}
	if err != nil {
		s.away.Store(now.Add(brokerPause).UnixNano())
		s.give(got, "") // the grant may be on its way
		return nil, nil
	}
	if got.target = s.follower.Targets.Assign(got.broker.Broker(), grant.Target); got.target == nil {
		s.give(got, "")
		return nil, nil
	}
	return got, nil
}

// release ends the use of a place. failed tells that the target broke off.
func (s *slots) release(used *slot, failed bool) {
	if !used.brokered {
		s.follower.Targets.Release(used.target.ID, false)
		return
	}
	s.follower.Targets.Unassign(used.broker.Broker(), used.target.ID)
	target := ""
	if failed {
		target = used.target.ID
	}
	s.give(used, target)
}

// give queues a release. One that finds the queue full lapses with the
// deadline of its request.
func (s *slots) give(used *slot, failed string) {
	select {
	case s.released <- release{broker: used.broker.ID, id: used.id, failed: failed}:
	default:
	}
}

// run sends releases until ctx ends.
func (s *slots) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.released:
			time.Sleep(releasePause)
			for broker, message := range s.collect(first) {
				bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
				// A release that is lost lapses with the request's deadline.
				_ = s.jobs.callOnce(bounded, releaseTimeout, broker, rpc.MethodSlotRelease, message, &rpc.Ack{})
				cancel()
			}
		}
	}
}

// collect gathers what is queued, by broker.
func (s *slots) collect(next release) map[uint64]*rpc.SlotRelease {
	messages := make(map[uint64]*rpc.SlotRelease)
	for {
		message := messages[next.broker]
		if message == nil {
			message = &rpc.SlotRelease{}
			messages[next.broker] = message
		}
		message.IDs = append(message.IDs, next.id)
		if next.failed != "" {
			message.Failed = append(message.Failed, next.failed)
		}
		select {
		case next = <-s.released:
		default:
			return messages
		}
	}
}
