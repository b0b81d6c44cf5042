package follow

import (
	"maps"
	"slices"
	"time"
)

// check removes expired targets, replaces a silent primary and detects whether
// the aggregates of the other processes still arrive.
func (f *Follower) check(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expired := f.roster.Expire(f.lastPush.Add(-targetTimeout)); len(expired) > 0 {
		for _, record := range expired {
			f.cfg.Log.Warn("target_silent", "target", record.ID, "addr", record.Addr, "silent_ms", now.Sub(record.ReceivedAt).Milliseconds())
		}
		f.Targets.SetRecords(f.roster.All())
	}
	f.choosePrimary(now)
	f.checkDisconnected(now)
	f.updateBrokers(now)
}

// choosePrimary picks the control host that is asked for the aggregate of the
// other processes.
func (f *Follower) choosePrimary(now time.Time) {
	if now.Sub(f.lastPushes[f.primary]) <= primaryTimeout {
		f.chooseBackup(now)
		return
	}
	previous := f.primary
	f.primary = ""
	addrs := slices.Sorted(maps.Keys(f.lastPushes))
	for i := range addrs {
		addr := addrs[(i+int(f.cfg.Member.Incarnation%uint64(len(addrs))))%len(addrs)]
		if now.Sub(f.lastPushes[addr]) <= primaryTimeout {
			f.primary = addr
			break
		}
	}
	if f.primary != previous {
		f.cfg.Log.Info("control_primary_changed", "before", previous, "primary", f.primary)
		f.wakeReporters()
	}
	f.chooseBackup(now)
}

// chooseBackup picks a second control host to ask, for processes that keep to bounds of
// quotas: what is spent while the primary is replaced must not be missed.
func (f *Follower) chooseBackup(now time.Time) {
	if !f.spendsTokens() || f.backup != f.primary && now.Sub(f.lastPushes[f.backup]) <= primaryTimeout {
		return
	}
	f.backup = ""
	for _, addr := range slices.Sorted(maps.Keys(f.lastPushes)) {
		if addr != f.primary && now.Sub(f.lastPushes[addr]) <= primaryTimeout {
			f.backup = addr
			f.wakeReporters()
			return
		}
	}
}

// wantsPeerLoads reports whether to ask a control host for the aggregate of the
// other processes.
func (f *Follower) wantsPeerLoads(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return (f.primary == addr || f.backup == addr) && !f.cfg.WithoutPeerLoads
}

func (f *Follower) checkDisconnected(now time.Time) {
	disconnected := !f.cfg.WithoutPeerLoads && now.Sub(f.peerLoadsReceivedAt) > disconnectedAfter
	if disconnected == f.disconnected {
		return
	}
	f.disconnected = disconnected
	if !disconnected {
		f.Buckets.DivideRates(1)
		f.cfg.Log.Info("control_regained", "controls", len(f.controlHosts))
		return
	}
	shares := 1
	if f.peerLoads != nil {
		shares += f.peerLoads.Gateways
	}
	f.Buckets.DivideRates(shares)
	f.cfg.Log.Warn("control_lost", "controls", len(f.controlHosts), "heard", !f.lastPush.IsZero(), "silent_ms", f.sinceLastPush(now).Milliseconds(), "quota_share", shares)
}

// sinceLastPush returns the time since any control host last pushed, or 0 if none
// ever did.
func (f *Follower) sinceLastPush(now time.Time) time.Duration {
	if f.lastPush.IsZero() {
		return 0
	}
	return now.Sub(f.lastPush)
}
