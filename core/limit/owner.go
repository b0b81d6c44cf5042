package limit

import "slices"

// Owner holds the buckets of all workspaces. It is not safe for concurrent
// use. A process creates a new Owner whenever it becomes the owner, and uses it
// only while its ownership is certain.
type Owner struct {
	epoch         uint64
	buckets       map[string]*bucket
	sessions      map[GatewayID]*session
	stamp         uint64
	memberVersion uint64   // of the list of members
	rebuild       *rebuild // nil once the buckets are open
}

// session is the owner's state of one gateway.
type session struct {
	id             GatewayID
	seq            uint64 // last processed exchange
	expires        int64
	holdings       map[string]*holding
	lastGrants     []Grant // in the last response
	joinedVersion  uint64  // member list version that added it; 0: all other gateways already know it
	ackedVersion   uint64  // member list version that it has confirmed
	sentVersion    uint64  // member list version in the last response; 0: none
	nextCheckpoint int64
}

// holding counts the tokens of one workspace held by one gateway.
type holding struct {
	outstanding int64 // granted, not known to be spent
	idle        int64 // part of outstanding that was unspent at the last exchange, or prefetched
}

// NewOwner returns an owner that first rebuilds the buckets from the gateways'
// reports. The buckets of workspaces in rates start empty unless the reports show
// otherwise; those of workspaces added later start full. epoch must exceed that of
// every earlier owner.
func NewOwner(epoch uint64, rates map[string]Rate, now int64) *Owner {
	o := &Owner{
		epoch:    epoch,
		buckets:  make(map[string]*bucket),
		sessions: make(map[GatewayID]*session),
		rebuild:  newRebuild(now, rates),
	}
	o.SetRates(rates, now)
	return o
}

// SetRates applies the limits of a new bundle. Buckets of workspaces missing from
// it are kept, in case the workspaces are added again.
func (o *Owner) SetRates(rates map[string]Rate, now int64) {
	for name, rate := range rates {
		if b, known := o.buckets[name]; known {
			b.setRate(rate, now)
			continue
		}
		o.buckets[name] = newBucket(rate, now)
	}
}

// Acquire processes one exchange of a gateway and returns its response.
func (o *Owner) Acquire(now int64, r *Request) *Response {
	o.expire(now)
	response := &Response{Owner: o.epoch, Seq: r.Seq}
	if o.rebuild != nil {
		response.Status = o.collectReport(now, r)
	} else {
		response.Status = o.updateSession(now, r)
	}
	if response.Status != StatusOK {
		return response
	}
	s := o.sessions[r.Gateway]
	s.seq = r.Seq
	s.expires = now + int64(Lease)
	if r.Closing {
		o.remove(s, now)
		return response
	}
	admitted := o.mayReceiveTokens(s)
	for _, want := range r.TokenRequests {
		o.grant(now, s, want, admitted, response)
	}
	s.lastGrants = response.Grants
	o.addRecalls(now, s, response)
	o.addCheckpoint(now, s, response)
	return response
}

// updateSession finds or creates the session of an exchange and applies its
// entries.
func (o *Owner) updateSession(now int64, r *Request) Status {
	s, known := o.sessions[r.Gateway]
	switch {
	case !known && r.Report == nil:
		return StatusReport
	case !known:
		o.addSession(r)
	case r.Seq <= s.seq:
		return StatusStale
	default:
		o.settleSession(now, s, r)
	}
	return StatusOK
}

// addSession creates a session for a gateway that missed the rebuild or is new.
// Anything it may have spent before was already counted as spent.
func (o *Owner) addSession(r *Request) {
	o.memberVersion++
	o.sessions[r.Gateway] = &session{id: r.Gateway, holdings: make(map[string]*holding), joinedVersion: o.memberVersion}
	o.expediteCheckpoints()
}

// settleSession applies what the gateway spent and returned since its last
// exchange.
func (o *Owner) settleSession(now int64, s *session, r *Request) {
	for _, e := range r.Entries {
		if e.Seq > s.seq {
			o.applyEntry(now, s, e)
		}
	}
	if r.Ack < s.seq {
		o.reclaimUnapplied(s)
	} else if s.sentVersion > 0 {
		s.ackedVersion = s.sentVersion
	}
	s.lastGrants, s.sentVersion = nil, 0
	for name, h := range s.holdings {
		b := o.buckets[name]
		b.idle += h.outstanding - h.idle
		h.idle = h.outstanding
		if h.outstanding == 0 {
			delete(s.holdings, name)
		}
	}
}

// applyEntry applies one entry to the bucket and the session.
func (o *Owner) applyEntry(now int64, s *session, e UsageEntry) {
	b, known := o.buckets[e.Workspace]
	if !known {
		return
	}
	if e.Spent > 0 {
		b.spend(now-max(0, e.Age), e.Spent)
	}
	if h := s.holdings[e.Workspace]; h != nil {
		o.reduceHolding(b, h, e.Spent+e.Returned)
	}
}

// reduceHolding removes up to n tokens from a holding.
func (o *Owner) reduceHolding(b *bucket, h *holding, n int64) {
	n = min(n, h.outstanding)
	idle := min(n, h.idle)
	h.outstanding -= n
	h.idle -= idle
	b.outstanding -= n
	b.idle -= idle
}

// reclaimUnapplied takes back the grants of a response that the gateway never
// applied.
func (o *Owner) reclaimUnapplied(s *session) {
	for _, g := range s.lastGrants {
		if h := s.holdings[g.Workspace]; h != nil {
			o.reduceHolding(o.buckets[g.Workspace], h, g.Tokens)
		}
	}
}

// expire removes the sessions whose lease has ended; their tokens count as spent.
func (o *Owner) expire(now int64) {
	for _, s := range o.sessions {
		if s.expires < now {
			o.remove(s, s.expires)
		}
	}
}

// remove ends a session; tokens that it still holds count as spent at the time at.
func (o *Owner) remove(s *session, at int64) {
	for name, h := range s.holdings {
		b := o.buckets[name]
		if h.outstanding > 0 {
			b.spend(at, h.outstanding)
		}
		o.reduceHolding(b, h, h.outstanding)
	}
	for _, b := range o.buckets {
		delete(b.queue, s.id)
	}
	delete(o.sessions, s.id)
	o.memberVersion++
	o.expediteCheckpoints()
}

// mayReceiveTokens reports whether a gateway may get tokens: every other gateway
// must know of it, so that the next owner learns from any of their checkpoints
// which gateways have to report.
func (o *Owner) mayReceiveTokens(s *session) bool {
	if s.joinedVersion == 0 {
		return true
	}
	for _, other := range o.sessions {
		if other != s && other.ackedVersion < s.joinedVersion {
			return false
		}
	}
	return true
}

// grant answers one TokenRequest: tokens for waiting requests first, then a
// share of the rest as prefetch if nobody waits.
func (o *Owner) grant(now int64, s *session, want TokenRequest, admitted bool, response *Response) {
	b, known := o.buckets[want.Workspace]
	if !known || !admitted {
		if want.Waiting > 0 {
			response.Grants = append(response.Grants, Grant{Workspace: want.Workspace, Verdict: Wait})
		}
		return
	}
	g := Grant{Workspace: want.Workspace}
	b.recover(now)
	since := now - max(0, want.Oldest)
	ahead := b.queue.tokensAhead(s.id, since, now)
	available := max(0, b.available(now)-ahead)
	need := min(max(0, want.Waiting), available)
	delete(b.queue, s.id)
	if missing := want.Waiting - need; missing > 0 {
		g.Next, g.Interval, g.WaitLimit = b.untilNextToken(now, need), b.interval, b.waitLimit(now)
		b.queue[s.id] = waiter{since: since, need: missing, until: now + g.Next + int64(turnRetention)}
		g.Verdict = o.contendedVerdict(now, b, s.holdings[want.Workspace])
	}
	prefetch := int64(0)
	if b.contendedUntil <= now && len(b.queue) == 0 {
		share := (available - need) / int64(2*len(o.sessions))
		prefetch = min(max(0, want.Prefetch), share)
	}
	g.Tokens = need + prefetch
	if g.Tokens > 0 {
		h := s.holdings[want.Workspace]
		if h == nil {
			h = &holding{}
			s.holdings[want.Workspace] = h
		}
		h.outstanding += g.Tokens
		h.idle += prefetch
		b.outstanding += g.Tokens
		b.idle += prefetch
	}
	if g.Tokens > 0 || want.Waiting > 0 {
		response.Grants = append(response.Grants, g)
	}
}

// contendedVerdict marks the bucket as contended, which recalls idle tokens from
// other gateways. It returns Wait if there are any, else Empty.
func (o *Owner) contendedVerdict(now int64, b *bucket, own *holding) Verdict {
	others := b.idle
	if own != nil {
		others -= own.idle
	}
	b.contendedUntil = now + int64(contentionDuration)
	if others > 0 {
		return Wait
	}
	return Empty
}

// addRecalls lists the workspaces whose idle tokens the gateway must return.
func (o *Owner) addRecalls(now int64, s *session, response *Response) {
	for name, h := range s.holdings {
		if h.idle > 0 && o.buckets[name].contendedUntil > now {
			response.Contended = append(response.Contended, name)
		}
	}
	slices.Sort(response.Contended)
}

// expediteCheckpoints makes a checkpoint due at the next exchange of each gateway.
func (o *Owner) expediteCheckpoints() {
	for _, s := range o.sessions {
		s.nextCheckpoint = 0
	}
}

// addCheckpoint adds a checkpoint to the response when one is due.
func (o *Owner) addCheckpoint(now int64, s *session, response *Response) {
	if now < s.nextCheckpoint {
		return
	}
	s.nextCheckpoint = now + int64(CheckpointInterval)
	s.sentVersion = o.memberVersion
	o.stamp++
	c := &Checkpoint{Owner: o.epoch, Stamp: o.stamp, Version: o.memberVersion}
	for id, member := range o.sessions {
		c.Members = append(c.Members, Member{Gateway: id, Seq: member.seq})
	}
	for name, b := range o.buckets {
		untilFull, handoverDelay := max(0, b.fullAt-now), b.waitLimit(now)-int64(GracePeriod)
		if untilFull > 0 || handoverDelay > 0 {
			c.Debts = append(c.Debts, Debt{Workspace: name, UntilFull: untilFull, HandoverDelay: handoverDelay})
		}
	}
	response.Checkpoint = c
}
