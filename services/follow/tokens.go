package follow

import (
	"time"

	"banyanwalk/infra/rpc"
)

// brokersAbsentAfter is how long no broker of tokens may be known until gateways divide all
// tokens between themselves.
const brokersAbsentAfter = 2 * time.Second

// spendsTokens reports whether this process spends tokens within bounds now: a gateway, or
// a storage host that is a broker of tokens.
func (f *Follower) spendsTokens() bool {
	return f.Buckets.Bounded() && (f.cfg.Storage == nil || f.brokers.Contains(f.cfg.Storage().ID))
}

// TokenBrokers returns the replica ids of the storage hosts that grant tokens of a
// workspace, in the order in which to ask them; 0 where there is none.
func (f *Follower) TokenBrokers(workspace string) [2]uint64 {
	broker, deputy := f.brokers.Of(workspace)
	return [2]uint64{broker, deputy}
}

// TokensPart returns the part of a workspace's tokens that this process may grant now, of 1.
func (f *Follower) TokensPart(now time.Time, workspace string) float64 {
	if f.cfg.Storage == nil || f.Table() == nil || !f.Buckets.Grants(now) {
		return 0
	}
	return f.brokers.Part(now, f.cfg.Storage().ID, workspace)
}

// updateBrokers sets the brokers of tokens from the storage hosts and tells a gateway's
// buckets whether there are any. The caller holds the lock.
func (f *Follower) updateBrokers(now time.Time) {
	if !f.Buckets.Bounded() {
		return
	}
	var ids []uint64
	if now.Sub(f.storageHostsReceivedAt) <= storageHostsTimeout {
		ids = f.tokenBrokers()
	}
	if len(ids) > 0 {
		f.brokersSeenAt = now
		f.brokers.Set(f.QuotaNow(), ids)
	}
	brokered := !f.brokersSeenAt.IsZero() && now.Sub(f.brokersSeenAt) <= brokersAbsentAfter
	if brokered == f.brokered {
		return
	}
	f.brokered = brokered
	if f.cfg.Member.Role == rpc.RoleGateway {
		f.Buckets.SetBrokered(brokered)
	}
	if !brokered {
		f.brokers.Set(f.QuotaNow(), nil)
	}
	f.cfg.Log.Info("quota_brokers_changed", "present", brokered, "brokers", len(ids))
}

// tokenBrokers returns the ids of the voting storage hosts but the leader, which grants the
// slots; while nobody leads, but the last leader. If there is no other, the leader grants
// tokens, too. The caller holds the lock.
func (f *Follower) tokenBrokers() []uint64 {
	voters := make(map[uint64]bool)
	term := uint64(0)
	for _, m := range f.storageHosts {
		if len(m.Storage.Voters) == 0 || m.Storage.Term < term {
			continue
		}
		if term = m.Storage.Term; m.Storage.Leads {
			f.lastLeader = m.Storage.ID
		}
		clear(voters)
		for _, id := range m.Storage.Voters {
			voters[id] = true
		}
	}
	var ids []uint64
	for _, m := range f.storageHosts {
		if voters[m.Storage.ID] && m.Storage.ID != f.lastLeader {
			ids = append(ids, m.Storage.ID)
		}
	}
	if len(ids) == 0 && voters[f.lastLeader] {
		ids = append(ids, f.lastLeader)
	}
	return ids
}

// liveGateways returns the number of gateways that share the tokens, as a control host has
// heard of them, including this process if it is one.
func (f *Follower) liveGateways(peers *rpc.PeerLoads) int {
	if f.cfg.Member.Role == rpc.RoleStorage {
		return peers.GatewaysHeard
	}
	return peers.GatewaysHeard + 1
}
