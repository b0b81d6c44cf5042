package entry

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxAheadBytes bounds what one response may hold for a caller that reads more slowly
	// than its target sends.
	maxAheadBytes = 1 << 20
	// defaultAheadBudget bounds it for all responses together, if the memory of the
	// process is unknown. Else it is memoryPart of the memory.
	defaultAheadBudget = 16 << 20
	memoryPart         = 8
	// eventOverhead is what a held event takes in addition to its bytes.
	eventOverhead = 48
)

var errCallerSlow = errors.New("the caller reads too slowly")

// readAhead holds the events that callers have not read yet, so that targets do not cut
// off the responses. It is safe for concurrent use.
type readAhead struct {
	budget int64
	held   metrics.Gauge // bytes
	ended  metrics.Counter

	mu     sync.Mutex
	used   int64
	queues map[*eventQueue]struct{} // that hold anything
}

func newReadAhead(memoryBytes int64, r metrics.Registry) *readAhead {
	budget := int64(defaultAheadBudget)
	if memoryBytes > 0 {
		budget = memoryBytes / memoryPart
	}
	return &readAhead{budget: budget, held: metrics.GetOrRegisterGauge("entry.read_ahead.bytes", r),
		ended: metrics.GetOrRegisterCounter("entry.callers.slow", r), queues: make(map[*eventQueue]struct{})}
}

// eventQueue holds the events of one response. Its fields are guarded by readAhead.mu.
type eventQueue struct {
	ahead  *readAhead
	events [][]byte
	bytes  int64
	err    error         // after the events; io.EOF: the response is complete
	ready  chan struct{} // has an element after each change
	slow   func()        // called once if the queue is ended because it holds too much
}

func (a *readAhead) newQueue(slow func()) *eventQueue {
	return &eventQueue{ahead: a, ready: make(chan struct{}, 1), slow: slow}
}

// put adds an event. If the bounds are exceeded, the responses that hold most are ended.
func (q *eventQueue) put(event []byte) {
	a := q.ahead
	a.mu.Lock()
	var slow []*eventQueue
	if q.err == nil {
		q.events = append(q.events, append([]byte(nil), event...))
		a.add(q, int64(len(event)+eventOverhead))
		if q.bytes > maxAheadBytes {
			slow = append(slow, q)
			a.drop(q)
		}
		for a.used > a.budget {
			most := a.largest()
			slow = append(slow, most)
			a.drop(most)
		}
	}
	a.mu.Unlock()
	q.signal()
	for _, ended := range slow {
		a.ended.Inc(1)
		ended.signal()
		ended.slow()
	}
}

// end ends the response after the events that it holds.
func (q *eventQueue) end(err error) {
	q.ahead.mu.Lock()
	if q.err == nil {
		q.err = err
	}
	q.ahead.mu.Unlock()
	q.signal()
}

// next waits for the next event.
func (q *eventQueue) next() ([]byte, error) {
	for {
		if event, err := q.take(); event != nil || err != nil {
			return event, err
		}
		<-q.ready
	}
}

func (q *eventQueue) take() ([]byte, error) {
	q.ahead.mu.Lock()
	defer q.ahead.mu.Unlock()
	if len(q.events) == 0 {
		return nil, q.err
	}
	event := q.events[0]
	q.events[0], q.events = nil, q.events[1:]
	q.ahead.add(q, -int64(len(event)+eventOverhead))
	return event, nil
}

// close drops what the queue holds.
func (q *eventQueue) close() {
	q.ahead.mu.Lock()
	defer q.ahead.mu.Unlock()
	q.ahead.add(q, -q.bytes)
	q.events = nil
}

func (q *eventQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// add changes what a queue holds. The caller holds the lock.
func (a *readAhead) add(q *eventQueue, bytes int64) {
	q.bytes += bytes
	a.used += bytes
	a.held.Update(a.used)
	if q.bytes > 0 {
		a.queues[q] = struct{}{}
	} else {
		delete(a.queues, q)
	}
}

// drop ends a queue at once. The caller holds the lock.
func (a *readAhead) drop(q *eventQueue) {
	a.add(q, -q.bytes)
	q.events, q.err = nil, errCallerSlow
}

// largest returns the queue that holds most. The caller holds the lock.
func (a *readAhead) largest() *eventQueue {
	var most *eventQueue
	for q := range a.queues {
		if most == nil || q.bytes > most.bytes {
			most = q
		}
	}
	return most
}
