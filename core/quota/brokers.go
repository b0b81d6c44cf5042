package quota

import (
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"
)

// takeoverDelay is how long a new broker of a workspace grants nothing. Gateways may still
// divide all tokens between themselves, and the former broker may not know yet that it is
// replaced.
const takeoverDelay = isolatedAfter + reportAge

// Brokers tells which processes are the broker of each workspace and its deputy. All
// processes choose them from the same list by rendezvous hashing, so that a change of the list
// moves few workspaces. It is safe for concurrent use.
type Brokers struct {
	mu    sync.Mutex
	lists []brokerList // the current one last, with those that takeoverDelay still covers
}

// brokerList is a list of brokers and when it began to hold.
type brokerList struct {
	since time.Time
	ids   []uint64
}

// Set sets the ids of the brokers, in any order.
func (b *Brokers) Set(now time.Time, ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := slices.Sorted(slices.Values(ids))
	if n := len(b.lists); n > 0 && slices.Equal(b.lists[n-1].ids, sorted) {
		return
	}
	b.lists = append(b.lists, brokerList{since: now, ids: sorted})
	for len(b.lists) > 1 && now.Sub(b.lists[1].since) >= takeoverDelay {
		b.lists = b.lists[1:]
	}
}

// Of returns the ids of a workspace's broker and of its deputy, which gateways ask when the
// broker does not answer; 0 where there is none.
func (b *Brokers) Of(workspace string) (broker, deputy uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lists) == 0 {
		return 0, 0
	}
	return b.lists[len(b.lists)-1].brokers(workspace)
}

// Contains reports whether a process is the broker of any workspace.
func (b *Brokers) Contains(id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.lists) > 0 && slices.Contains(b.lists[len(b.lists)-1].ids, id)
}

// Part returns a process's part of the tokens of a workspace, of 1: the smallest that it has
// had within takeoverDelay.
func (b *Brokers) Part(now time.Time, id uint64, workspace string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := 1.0
	for i := len(b.lists) - 1; i >= 0; i-- {
		part = min(part, b.lists[i].part(id, workspace))
		if now.Sub(b.lists[i].since) >= takeoverDelay {
			return part
		}
	}
	return 0
}

// part returns a process's part of the tokens of a workspace by this list.
func (l *brokerList) part(id uint64, workspace string) float64 {
	if broker, deputy := l.brokers(workspace); id != broker && id != deputy {
		return 0
	}
	return brokerPart
}

// brokers returns the ids with the two highest hashes of id and workspace; 0 where there
// are fewer.
func (l *brokerList) brokers(workspace string) (first, second uint64) {
	firstHash, secondHash := uint64(0), uint64(0)
	for _, id := range l.ids {
		h := fnv.New64a()
		_, _ = h.Write([]byte(workspace)) // never fails
		_, _ = h.Write(strconv.AppendUint(nil, id, 10))
		switch hash := mix(h.Sum64()); {
		case first == 0 || hash > firstHash:
			first, firstHash, second, secondHash = id, hash, first, firstHash
		case second == 0 || hash > secondHash:
			second, secondHash = id, hash
		}
	}
	return first, second
}
