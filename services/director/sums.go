package director

import (
	"maps"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/infra/rpc"
)

// sumsInterval is the time for which one sum of the members' loads serves all
// followers.
const sumsInterval = 50 * time.Millisecond

// loadSums is the sum of the loads of all members, from which the part of one of them
// can be taken off. Each follower needs the sum of the others; adding all members up
// for each follower would cost their number squared.
type loadSums struct {
	at        time.Time
	brokerID  uint64
	members   int
	gateways  int
	heard     int // gateways that have reported within heardTimeout
	loads     map[string]placement.Load
	included  map[string]*rpc.MemberLoad // by member
	heardFrom map[string]bool            // gateways that heard counts
}

// sumPeerSpent is sumPeerLoads without the loads.
func (r *registry) sumPeerSpent(now time.Time, except string) *rpc.PeerLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshSums(now)
	sum := &rpc.PeerLoads{HostIncarnation: r.hostIncarnation, Gateways: r.sums.gateways, GatewaysHeard: r.sums.heard, Spent: r.spentByOthers(except), WithoutLoads: true}
	r.subtractGateway(sum, except)
	return sum
}

// subtractGateway takes the named member off the numbers of gateways, if it is one of
// them. The caller holds the lock.
func (r *registry) subtractGateway(sum *rpc.PeerLoads, member string) {
	own := r.sums.included[member]
	if own == nil || own.Member.Role != rpc.RoleGateway {
		return
	}
	sum.Gateways--
	if r.sums.heardFrom[member] {
		sum.GatewaysHeard--
	}
}

// sumPeerLoads aggregates the loads and quota use of all members but one. The loads
// of silent members no longer count, but the tokens they have spent do.
func (r *registry) sumPeerLoads(now time.Time, except string) *rpc.PeerLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshSums(now)
	sum := &rpc.PeerLoads{HostIncarnation: r.hostIncarnation, BrokerID: r.sums.brokerID, Members: r.sums.members, Gateways: r.sums.gateways, GatewaysHeard: r.sums.heard,
		Spent: r.spentByOthers(except), Loads: maps.Clone(r.sums.loads)}
	if own := r.sums.included[except]; own != nil {
		sum.Members--
		r.subtractGateway(sum, except)
		subtractLoads(sum, own)
	}
	return sum
}

// refreshSums adds up the loads of all members if the last sum is too old. The
// caller holds the lock.
func (r *registry) refreshSums(now time.Time) {
	if age := now.Sub(r.sums.at); r.sums.loads != nil && age >= 0 && age < sumsInterval {
		return
	}
	sums := loadSums{at: now, brokerID: r.brokerID(now), loads: make(map[string]placement.Load), included: make(map[string]*rpc.MemberLoad),
		heardFrom: make(map[string]bool)}
	for member, m := range r.members {
		if now.Sub(m.reportedAt) > loadTimeout || m.load.Member.Role == rpc.RoleControl {
			continue
		}
		sums.members++
		if m.load.Member.Role == rpc.RoleGateway {
			sums.gateways++
			if now.Sub(m.reportedAt) <= heardTimeout {
				sums.heard++
				sums.heardFrom[member] = true
			}
		}
		sums.included[member] = &m.load
		for id, at := range m.load.Loads {
			total := sums.loads[id]
			total.Online += at.Online
			total.Batch += at.Batch
			requests, tokens := brokered(&m.load, sums.brokerID, at)
			total.Brokered += requests
			total.Tokens += at.Tokens
			total.BatchTokens += at.BatchTokens
			total.BrokeredTokens += tokens
			sums.loads[id] = total
		}
	}
	r.sums = sums
}

// brokered returns how many requests of a load were placed by the given broker, and
// their tokens.
func brokered(load *rpc.MemberLoad, brokerID uint64, at placement.Load) (requests int, tokens int64) {
	if load.BrokerID != brokerID {
		return 0, 0
	}
	return at.Brokered, at.BrokeredTokens
}

// subtractLoads takes the load of one member off a sum that includes it.
func subtractLoads(sum *rpc.PeerLoads, own *rpc.MemberLoad) {
	for id, at := range own.Loads {
		total := sum.Loads[id]
		total.Online -= at.Online
		total.Batch -= at.Batch
		requests, tokens := brokered(own, sum.BrokerID, at)
		total.Brokered -= requests
		total.Tokens -= at.Tokens
		total.BatchTokens -= at.BatchTokens
		total.BrokeredTokens -= tokens
		if total == (placement.Load{}) {
			delete(sum.Loads, id)
			continue
		}
		sum.Loads[id] = total
	}
}

// spentByOthers returns the tokens that all processes have spent since this host
// first heard of them, except those of the named member's current process. The
// caller holds the lock.
func (r *registry) spentByOthers(except string) map[string]uint64 {
	spent := maps.Clone(r.totalSpent)
	m := r.members[except]
	if m == nil {
		return spent
	}
	if own := r.spent[m.load.Member.Incarnation]; own != nil {
		for workspace := range own.tokens {
			spent[workspace] -= own.counted(workspace)
		}
	}
	return spent
}

// largestDebts returns the largest debt of each workspace at any member.
func (r *registry) largestDebts(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	debts := make(map[string]float64)
	for _, m := range r.members {
		if now.Sub(m.reportedAt) > loadTimeout {
			continue
		}
		for workspace, debt := range m.load.Debts {
			debts[workspace] = max(debts[workspace], debt)
		}
	}
	return debts
}
