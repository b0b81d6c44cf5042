package placement

import (
	"banyanwalk/core/roster"
)

// Load counts the in-flight requests of one process at a target.
type Load struct {
	Online   int `msgpack:"o"`
	Batch    int `msgpack:"b"`
	Brokered int `msgpack:"k,omitempty"` // part of Online whose target was chosen by one particular broker

	Tokens         int64 `msgpack:"t,omitempty"` // that the online requests hold
	BatchTokens    int64 `msgpack:"u,omitempty"` // that the batch items hold
	BrokeredTokens int64 `msgpack:"v,omitempty"` // part of Tokens, as Brokered
}

// Direct returns the load without the requests placed by the broker.
func (l Load) Direct() Load {
	return Load{Online: l.Online - l.Brokered, Batch: l.Batch, Tokens: l.Tokens - l.BrokeredTokens, BatchTokens: l.BatchTokens}
}

// brokerTarget is the key under which requests placed by a broker are counted.
type brokerTarget struct {
	broker uint64
	target string
}

// OwnLoads returns the load of this process at each target. Brokered counts the
// requests placed by the given broker.
func (t *Targets) OwnLoads(broker uint64) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[string]Load, len(t.ownLoads))
	for id, load := range t.ownLoads {
		load.Brokered = t.brokered[brokerTarget{broker, id}]
		load.BrokeredTokens = t.brokeredTokens[brokerTarget{broker, id}]
		own[id] = load
	}
	return own
}

// Assign counts a request at a target chosen by a broker until Unassign. It
// returns nil when this process knows no such target or it is out of service.
func (t *Targets) Assign(broker uint64, id string) *roster.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || r.State != roster.Ready || t.outOfService(r.DataCentre) {
		return nil
	}
	t.addBrokered(broker, id, 1)
	return r
}

// Unassign removes a request counted by Assign.
func (t *Targets) Unassign(broker uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addBrokered(broker, id, -1)
}

func (t *Targets) addBrokered(broker uint64, id string, by int) {
	at := brokerTarget{broker, id}
	if t.brokered[at] += by; t.brokered[at] == 0 {
		delete(t.brokered, at)
	}
	t.addOwn(id, false, by)
}

// TotalLoad returns the number of requests at a target that this process knows of.
func (t *Targets) TotalLoad(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total(id)
}

func (t *Targets) total(id string) int {
	own, peers := t.ownLoads[id], t.peerLoads[id]
	return own.Online + own.Batch + peers.Online + peers.Batch
}

func (t *Targets) addOwn(id string, batch bool, by int) {
	load := t.ownLoads[id]
	if batch {
		load.Batch += by
	} else {
		load.Online += by
	}
	t.setOwn(id, load)
}

func (t *Targets) setOwn(id string, load Load) {
	if load == (Load{}) {
		delete(t.ownLoads, id)
		return
	}
	t.ownLoads[id] = load
}

// Release removes a request counted by Acquire.
func (t *Targets) Release(id string, batch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addOwn(id, batch, -1)
}

// Free returns the total slots, the slots in use and the number of a service's
// targets that are in service.
func (t *Targets) Free(service string) (slots, taken, targets int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.services[service] {
		if t.outOfService(r.DataCentre) || !t.serves(service, r.Version) {
			continue
		}
		slots += slotsOf(r)
		taken += t.total(r.ID)
		targets++
	}
	return slots, taken, targets
}
