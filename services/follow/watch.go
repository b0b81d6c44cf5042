package follow

import (
	"maps"
	"slices"
	"time"
)

// check drops what has become old, and notices when no control host is heard.
func (f *Follower) check(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expired := f.roster.Expire(f.newest.Add(-targetSilence)); len(expired) > 0 {
		for _, record := range expired {
			f.cfg.Log.Warn("target_silent", "target", record.ID, "addr", record.Addr, "silent_ms", now.Sub(record.ReceivedAt).Milliseconds())
		}
		f.Targets.SetRecords(f.roster.All())
	}
	f.choosePrimary(now)
	f.checkDeaf(now)
}

// choosePrimary picks the control host that is asked for what the others do.
func (f *Follower) choosePrimary(now time.Time) {
	if now.Sub(f.pushed[f.primary]) <= primarySilence {
		return
	}
	former := f.primary
	f.primary = ""
	addrs := slices.Sorted(maps.Keys(f.pushed))
	for i := range addrs {
		addr := addrs[(i+int(f.cfg.Member.Process%uint64(len(addrs))))%len(addrs)]
		if now.Sub(f.pushed[addr]) <= primarySilence {
			f.primary = addr
			break
		}
	}
	if f.primary != former {
		f.cfg.Log.Info("control_primary_changed", "before", former, "primary", f.primary)
		f.wakeFeeds()
	}
}

// asksOthers reports whether a control host is asked for what the others do.
func (f *Follower) asksOthers(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary == addr && !f.cfg.WithoutSums
}

func (f *Follower) checkDeaf(now time.Time) {
	deaf := !f.cfg.WithoutSums && now.Sub(f.summed) > deafAfter
	if deaf == f.deaf {
		return
	}
	f.deaf = deaf
	if !deaf {
		f.Buckets.DivideRates(1)
		f.cfg.Log.Info("control_regained", "controls", len(f.controls))
		return
	}
	gateways := 1
	if f.others != nil {
		gateways += f.others.Gateways
	}
	f.Buckets.DivideRates(gateways)
	f.cfg.Log.Warn("control_lost", "controls", len(f.controls), "heard", !f.newest.IsZero(), "silent_ms", f.silence(now).Milliseconds(), "quota_share", gateways)
}

// silence returns how long no control host has been heard, or 0 if none ever was.
func (f *Follower) silence(now time.Time) time.Duration {
	if f.newest.IsZero() {
		return 0
	}
	return now.Sub(f.newest)
}
