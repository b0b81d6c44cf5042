package follow

import (
	"sync"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
)

// badLoadPeriod is how long after the last bad load header of a target the next one
// begins a new period, which is logged.
const badLoadPeriod = 10 * time.Second

// badLoads remembers which targets send load headers that cannot be true.
type badLoads struct {
	mu   sync.Mutex
	last map[string]time.Time // time of the last one, by target
}

// begins records a bad header and reports whether a period of them begins.
func (b *badLoads) begins(now time.Time, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil {
		b.last = make(map[string]time.Time)
	}
	last, known := b.last[target]
	b.last[target] = now
	for id, at := range b.last {
		if now.Sub(at) > badLoadPeriod {
			delete(b.last, id)
		}
	}
	return !known || now.Sub(last) > badLoadPeriod
}

// ObserveLoad records what a response of a target said of its load.
func (f *Follower) ObserveLoad(now time.Time, target *roster.Record, load placement.TargetLoad) {
	if !load.Plausible(target) && f.badLoads.begins(now, target.ID) {
		f.cfg.Log.Warn("target_load_implausible", "target", target.ID, "target_incarnation", target.Incarnation,
			"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace_percent", load.PacePercent)
	}
	f.Targets.ObserveLoad(now, target, load)
}

// ObserveMalformedLoad logs a load header that cannot be read.
func (f *Follower) ObserveMalformedLoad(now time.Time, target *roster.Record, value string) {
	const maxLogged = 80
	if f.badLoads.begins(now, target.ID) {
		f.cfg.Log.Warn("target_load_malformed", "target", target.ID, "target_incarnation", target.Incarnation, "value", value[:min(len(value), maxLogged)])
	}
}
