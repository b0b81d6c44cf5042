package placement

import (
	"math"
	"time"
)

// Room is what the targets that can take a request offer. Batch items give way to
// online requests, so they do not count.
type Room struct {
	Slots  int
	Free   int // slots without an online request
	Online int // requests, including those that wait
}

// Room returns the room at the targets that can take a request.
func (t *Targets) Room(now time.Time, q Query) Room {
	t.mu.Lock()
	defer t.mu.Unlock()
	var room Room
	for _, r := range t.services[q.Service] {
		if q.Exclude[r.ID] || t.outOfService(r.DataCentre) || !q.takesVersion(r) || q.Version == nil && !t.serves(q.Service, r.Version) {
			continue
		}
		if t.inBackoff(now, r.ID) || !t.underWarmupLimit(now, r, q) || !t.underRateLimit(now, r, q.Batch) {
			continue
		}
		slots, online := slotsOf(r), t.online(r.ID)
		room.Slots += slots
		room.Free += max(0, slots-online)
		room.Online += online
	}
	return room
}

// OwnPartUsed returns the targets of a service at which this process has as many
// requests as its part of the slots and the queue allows, if as many processes as given
// share them. Where the part is less than one request, a process has it at some targets
// only, and each process at others.
func (t *Targets) OwnPartUsed(service string, queue, processes int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var used []string
	for _, r := range t.services[service] {
		part := float64(slotsOf(r)+queue) / float64(max(1, processes))
		allowed := int(part)
		if t.mixedPosition(r.ID) < part-float64(allowed) {
			allowed++
		}
		if t.ownLoads[r.ID].Online >= allowed {
			used = append(used, r.ID)
		}
	}
	return used
}

// mixedPosition is position with the bits of the hash mixed: the names of processes and
// targets may differ in their last characters only, of which FNV-1a leaves little in the
// upper bits. The caller holds the lock.
func (t *Targets) mixedPosition(id string) float64 {
	x := t.sharerHash(id)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64(x^x>>33) / math.MaxUint64
}
