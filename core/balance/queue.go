package balance

import "slices"

// Queue orders requests that wait for a slot: weighted fair queueing (start-time
// tags) between workspaces, first in first out within one. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	limit       int
	size        int
	virtualTime float64 // start tag of the request served last
	flows       map[string]*flow[T]
}

type flow[T comparable] struct {
	weight    float64
	nextStart float64 // start tag of the oldest waiting request
	items     []entry[T]
}

type entry[T comparable] struct {
	order uint64
	item  T
}

// NewQueue returns a queue that holds at most limit requests.
func NewQueue[T comparable](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, flows: make(map[string]*flow[T])}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a request of a workspace. Within the workspace lower orders go
// first, so a requeued request keeps its place. When the queue is full, it
// evicts and returns the newest request of the workspace with the most waiting
// requests relative to its weight, which may be the pushed one.
func (q *Queue[T]) Push(workspace string, weight int, order uint64, item T) (evicted T, full bool) {
	f, ok := q.flows[workspace]
	if !ok {
		f = &flow[T]{nextStart: q.virtualTime}
		q.flows[workspace] = f
	}
	f.weight = float64(max(1, weight))
	i := len(f.items)
	for i > 0 && f.items[i-1].order > order {
		i--
	}
	f.items = slices.Insert(f.items, i, entry[T]{order: order, item: item})
	q.size++
	if q.size <= q.limit {
		return evicted, false
	}
	longest := q.longestFlow()
	victim := q.flows[longest]
	last := len(victim.items) - 1
	evicted = victim.items[last].item
	q.removeAt(longest, last)
	return evicted, true
}

// Peek returns the request that is served next.
func (q *Queue[T]) Peek() (item T, ok bool) {
	name, found := q.earliestFlow()
	if !found {
		return item, false
	}
	return q.flows[name].items[0].item, true
}

// Pop removes the request that is served next.
func (q *Queue[T]) Pop() (item T, ok bool) {
	name, found := q.earliestFlow()
	if !found {
		return item, false
	}
	f := q.flows[name]
	item = f.items[0].item
	q.virtualTime = max(q.virtualTime, f.nextStart)
	f.nextStart = q.virtualTime + 1/f.weight
	q.removeAt(name, 0)
	return item, true
}

// Remove removes a request and reports whether it was queued.
func (q *Queue[T]) Remove(workspace string, item T) bool {
	f, ok := q.flows[workspace]
	if !ok {
		return false
	}
	for i := range f.items {
		if f.items[i].item == item {
			q.removeAt(workspace, i)
			return true
		}
	}
	return false
}

// removeAt removes one item. An empty flow is kept while its start tag is ahead
// of the virtual time, so that a workspace gains no share by letting its flow
// run empty.
func (q *Queue[T]) removeAt(name string, i int) {
	f := q.flows[name]
	f.items = slices.Delete(f.items, i, i+1)
	q.size--
	if q.size == 0 {
		clear(q.flows)
		q.virtualTime = 0
		return
	}
	if len(f.items) == 0 && f.nextStart <= q.virtualTime {
		delete(q.flows, name)
	}
}

func (q *Queue[T]) earliestFlow() (string, bool) {
	best, found := "", false
	for name, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		f.nextStart = max(f.nextStart, q.virtualTime)
		if !found || f.nextStart < q.flows[best].nextStart || (f.nextStart == q.flows[best].nextStart && name < best) {
			best, found = name, true
		}
	}
	return best, found
}

func (q *Queue[T]) longestFlow() string {
	best, depth := "", -1.0
	for name, f := range q.flows {
		d := float64(len(f.items)) / f.weight
		if d > depth || (d == depth && name < best) {
			best, depth = name, d
		}
	}
	return best
}
