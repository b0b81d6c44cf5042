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
	// brokerTimeout is how long a request waits for the broker, which answers
	// within a few milliseconds. After that the gateway chooses a target itself.
	brokerTimeout = 60 * time.Millisecond
	// brokerRetryInterval is how long a broker that failed to answer is not
	// asked.
	brokerRetryInterval = 300 * time.Millisecond
	// releaseQueue bounds the releases waiting to be sent.
	releaseQueue = 1024
	// releaseBatchDelay lets releases that occur together share a message.
	releaseBatchDelay = 2 * time.Millisecond
	releaseTimeout    = 500 * time.Millisecond
	// lastReportTimeout bounds what a gateway sends when it has served its last request.
	lastReportTimeout = 100 * time.Millisecond
	// maxLeavingGrants bounds how many grants of targets that leave are given back. The
	// broker may know of them later than this gateway.
	maxLeavingGrants = 3
)

// slots acquires and releases slots at targets. It asks the broker, which knows
// the exact load of each target, and falls back to the gateway's own view while
// there is no broker.
type slots struct {
	follower      *follow.Follower
	jobs          *jobClient
	lastNumber    atomic.Uint64
	started       time.Time
	brokerRetryAt atomic.Int64 // no requests to the broker until then, nanoseconds since started
	releases      chan release
	direct        *directSlots
	unanswered    func(host uint64, err error) // is told of each request that the broker did not answer
	links         *brokerLinks
}

type release struct {
	broker       uint64 // replica ID of the host that granted the slot
	id           rpc.SlotID
	failedTarget string                // target that failed or broke the connection; empty: none
	run          *placement.RunReport  // what was seen of the target; nil: nothing
	load         *placement.LoadReport // what a target said; nil: nothing
	serverError  bool                  // the target answered with a server error
}

// slot is capacity for one request at a target.
type slot struct {
	target          *roster.Record
	needsPreemption bool // a batch item must be preempted, and the broker does not know
	total           int  // requests at the target, including this one
	brokered        bool
	version         string           // of the target's software, as the broker knows it
	broker          rpc.StorageState // state of the granting broker at the time of the grant
	id              rpc.SlotID
	direct          *directSlot          // how this gateway counts the slot; nil: it does not
	tokens          int64                // that the target holds
	expectedPace    int                  // of the target, as the broker expects it, percent; 0: unknown
	run             *placement.RunReport // what was seen of the target; nil: nothing
	serverError     bool                 // the target answered with a server error
}

func newSlots(f *follow.Follower, jobs *jobClient) *slots {
	return &slots{follower: f, jobs: jobs, started: time.Now(), releases: make(chan release, releaseQueue), direct: newDirectSlots(f),
		links: newBrokerLinks(jobs), unanswered: func(uint64, error) {}}
}

// acquire returns a slot, or the reason why there is none.
func (s *slots) acquire(ctx context.Context, request *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	for range maxLeavingGrants {
		granted, failure := s.askBroker(ctx, request, q)
		if granted == nil && failure == nil {
			break
		}
		if failure != nil || !granted.target.Leaving {
			return granted, failure
		}
		s.release(granted, false)
		q.Exclude[granted.target.ID] = true
	}
	return s.acquireDirectly(time.Now(), request, q)
}

// acquireDirectly acquires a slot without the broker, at a model engine within this
// gateway's part of the places.
func (s *slots) acquireDirectly(now time.Time, request *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	if s.direct.servesEngines(q.Service) {
		return s.direct.acquire(now, request, q)
	}
	target, full := s.follower.Targets.Acquire(now, q)
	if target == nil {
		retryAfter, limited := s.follower.Targets.NextPlace(now, q.Service)
		if !limited {
			retryAfter = noTargetRetryAfter
		}
		return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target of the service takes requests").WithRetryAfter(retryAfter)
	}
	return &slot{target: target, needsPreemption: full, total: s.follower.Targets.TotalLoad(target.ID), tokens: q.HeldTokens()}, nil
}

// askBroker asks the broker for a slot. It returns neither a slot nor a failure
// if there is no broker or its grant cannot be used.
func (s *slots) askBroker(ctx context.Context, request *rpc.SlotRequest, q placement.Query) (*slot, *outcome.Error) {
	if s.brokerPaused() {
		return nil, nil
	}
	hosts := s.follower.StorageHosts()
	if len(hosts) == 0 || !hosts[0].Leads {
		return nil, nil
	}
	request.ID = rpc.SlotID{Incarnation: s.follower.Incarnation(), Number: s.lastNumber.Add(1)}
	request.Service = q.Service
	request.Exclude = request.Exclude[:0]
	for id := range q.Exclude {
		request.Exclude = append(request.Exclude, id)
	}
	grant, err := s.ask(ctx, hosts[0].ID, request)
	if outcome.IsCode(err, outcome.TargetBusy) || outcome.IsCode(err, outcome.BeyondShare) {
		return nil, outcome.From(err)
	}
	granted := &slot{brokered: true, broker: hosts[0], id: request.ID}
	if err != nil {
		s.unanswered(hosts[0].ID, err)
		s.pauseBroker()
		s.queueRelease(granted, "") // the grant may still arrive
		return nil, nil
	}
	granted.total, granted.expectedPace, granted.version = grant.Total, grant.Pace, grant.Version
	granted.target = s.follower.Targets.Assign(granted.broker.BrokerID(), grant.Target)
	switch {
	case granted.target == nil:
		s.queueRelease(granted, "")
		return nil, nil
	case q.Version != nil && granted.target.Version != *q.Version: // the target has restarted, and the broker does not know
		s.release(granted, false)
		return nil, nil
	case s.follower.Gate.Bars(q.Service, granted.target.Version, q.Version != nil): // the broker does not know of the phase yet
		s.release(granted, false)
		return nil, nil
	}
	granted.tokens = q.HeldTokens()
	s.follower.Targets.AssignTokens(granted.broker.BrokerID(), grant.Target, granted.tokens)
	return granted, nil
}

// ask sends a request to the broker on a storage host.
func (s *slots) ask(ctx context.Context, host uint64, request *rpc.SlotRequest) (*rpc.SlotGrant, error) {
	bounded, cancel := context.WithTimeout(ctx, brokerTimeout)
	defer cancel()
	if link := s.links.to(host); link != nil {
		return link.acquire(bounded, request)
	}
	var grant rpc.SlotGrant
	err := s.jobs.callOnce(bounded, brokerTimeout, host, rpc.MethodSlotAcquire, request, &grant)
	return &grant, err
}

// brokerPaused reports whether the broker is not to be asked yet. The time since
// the start doesn't jump with the time of day.
func (s *slots) brokerPaused() bool {
	return int64(time.Since(s.started)) < s.brokerRetryAt.Load()
}

func (s *slots) pauseBroker() {
	s.brokerRetryAt.Store(int64(time.Since(s.started) + brokerRetryInterval))
}

// release frees a slot. failed reports that the target failed or broke the
// connection.
func (s *slots) release(used *slot, failed bool) {
	if used.direct != nil {
		s.direct.release(time.Now(), used)
		return
	}
	if !used.brokered {
		s.follower.Targets.Release(used.target.ID, false)
		s.follower.Targets.ReleaseTokens(used.target.ID, false, used.tokens)
		return
	}
	s.follower.Targets.Unassign(used.broker.BrokerID(), used.target.ID)
	s.follower.Targets.AssignTokens(used.broker.BrokerID(), used.target.ID, -used.tokens)
	failedTarget := ""
	if failed {
		failedTarget = used.target.ID
	}
	s.queueRelease(used, failedTarget)
}

// queueRelease queues a release. If the queue is full, the slot expires with the
// deadline of its request.
func (s *slots) queueRelease(used *slot, failedTarget string) {
	select {
	case s.releases <- release{broker: used.broker.ID, id: used.id, failedTarget: failedTarget, run: used.run, serverError: used.serverError}:
	default:
	}
}

// reportLoad tells the broker what a target has said of its load, if the broker expects
// something else: its pace may change again before the slot is released.
func (s *slots) reportLoad(used *slot, load placement.TargetLoad) {
	if !used.brokered || !placement.PaceChanged(used.expectedPace, load.PacePercent) {
		return
	}
	report := &placement.LoadReport{Target: used.target.ID, Incarnation: used.target.Incarnation, Load: load}
	select {
	case s.releases <- release{broker: used.broker.ID, load: report}:
	default: // the next response tells it again
	}
}

// addTo adds a release or a report to a message.
func (r *release) addTo(message *rpc.SlotRelease) {
	if r.load != nil {
		message.Loads = append(message.Loads, *r.load)
		return
	}
	message.IDs = append(message.IDs, r.id)
	if r.serverError {
		message.Errors = append(message.Errors, r.id)
	}
	if r.failedTarget != "" {
		message.Failed = append(message.Failed, r.failedTarget)
	}
	if r.run != nil {
		message.Runs = append(message.Runs, *r.run)
	}
}

// sendReleases sends queued releases until ctx ends, and then ends the link to the broker.
func (s *slots) sendReleases(ctx context.Context) {
	defer s.links.close()
	for {
		select {
		case <-ctx.Done():
			s.sendLastReleases(ctx)
			return
		case first := <-s.releases:
			time.Sleep(releaseBatchDelay)
			s.giveBatch(context.WithoutCancel(ctx), first)
		}
	}
}

// sendLastReleases sends what is queued when the gateway has served its last request.
func (s *slots) sendLastReleases(ctx context.Context) {
	select {
	case first := <-s.releases:
		for broker, message := range s.collectReleases(first) {
			s.call(context.WithoutCancel(ctx), broker, message, lastReportTimeout)
		}
	default:
	}
}

// giveBatch sends the queued releases over the link to their broker, or in calls of their
// own. If one is lost, its slot expires with the request's deadline.
func (s *slots) giveBatch(ctx context.Context, first release) {
	for broker, message := range s.collectReleases(first) {
		if link := s.links.open(broker); link == nil || !link.give(message) {
			s.call(ctx, broker, message, releaseTimeout)
		}
	}
}

// call sends releases in a call, whose response shows that they have arrived.
func (s *slots) call(ctx context.Context, broker uint64, message *rpc.SlotRelease, timeout time.Duration) {
	_ = s.jobs.callOnce(ctx, timeout, broker, rpc.MethodSlotRelease, message, &rpc.Ack{})
}

// collectReleases groups the queued releases by broker.
func (s *slots) collectReleases(next release) map[uint64]*rpc.SlotRelease {
	messages := make(map[uint64]*rpc.SlotRelease)
	for {
		message := messages[next.broker]
		if message == nil {
			message = &rpc.SlotRelease{}
			messages[next.broker] = message
		}
		next.addTo(message)
		select {
		case next = <-s.releases:
		default:
			return messages
		}
	}
}
