package replica

import "sync"

// queue passes items from any goroutine to the replica's loop. Memory is
// allocated only for the items queued, not for the limit.
type queue[T any] struct {
	limit int           // items
	wake  chan struct{} // signalled after add

	mu    sync.Mutex
	items []T
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{limit: limit, wake: make(chan struct{}, 1)}
}

// add returns false if the queue is full.
func (q *queue[T]) add(item T) bool {
	q.mu.Lock()
	if len(q.items) >= q.limit {
		q.mu.Unlock()
		return false
	}
	q.items = append(q.items, item)
	q.mu.Unlock()
	notify(q.wake)
	return true
}

// take removes and returns all items.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// notify signals a channel of capacity one, unless a signal is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
