package placement

import (
	"banyanwalk/core/roster"
)

// Load is the requests that one process has at a target.
type Load struct {
	Online   int `msgpack:"o"`
	Batch    int `msgpack:"b"`
	Brokered int `msgpack:"k,omitempty"` // of Online, those whose target one broker has chosen
}

// Direct returns the load without the requests that the broker has placed.
func (l Load) Direct() Load { return Load{Online: l.Online - l.Brokered, Batch: l.Batch} }

// brokeredAt names what one broker has placed at one target.
type brokeredAt struct {
	broker uint64
	target string
}

// Own returns what this process has at each target. Brokered is what the given
// broker has placed.
func (t *Targets) Own(broker uint64) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[string]Load, len(t.own))
	for id, load := range t.own {
		load.Brokered = t.brokered[brokeredAt{broker, id}]
		own[id] = load
	}
	return own
}

// Assign counts a request at a target that a broker has chosen, until
// Unassign. It returns nil when this process knows no such target in service.
func (t *Targets) Assign(broker uint64, id string) *roster.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || r.State != roster.Ready || t.out(r.DataCentre) {
		return nil
	}
	t.addBrokered(broker, id, 1)
	return r
}

// Unassign ends a request that Assign counted.
func (t *Targets) Unassign(broker uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addBrokered(broker, id, -1)
}

func (t *Targets) addBrokered(broker uint64, id string, by int) {
	at := brokeredAt{broker, id}
	if t.brokered[at] += by; t.brokered[at] == 0 {
		delete(t.brokered, at)
	}
	t.count(id, false, by)
}

// Total returns the requests at a target, as far as this process knows.
func (t *Targets) Total(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total(id)
}

func (t *Targets) total(id string) int {
	own, others := t.own[id], t.others[id]
	return own.Online + own.Batch + others.Online + others.Batch
}

func (t *Targets) count(id string, batch bool, by int) {
	load := t.own[id]
	if batch {
		load.Batch += by
	} else {
		load.Online += by
	}
	t.set(id, load)
}

func (t *Targets) set(id string, load Load) {
	if load == (Load{}) {
		delete(t.own, id)
		return
	}
	t.own[id] = load
}

// Release ends a request that Acquire counted.
func (t *Targets) Release(id string, batch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(id, batch, -1)
}

// Free returns the slots of a service's targets in service, those that are
// taken, and how many targets there are.
func (t *Targets) Free(service string) (slots, taken, targets int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.services[service] {
		if t.out(r.DataCentre) {
			continue
		}
		slots += slotsOf(r)
		taken += t.total(r.ID)
		targets++
	}
	return slots, taken, targets
}
