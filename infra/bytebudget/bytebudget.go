// Package bytebudget bounds the memory for which callers choose the size, over all
// requests of a process. Bytes are reserved before they are read, and released when the
// request has ended.
package bytebudget

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
)

const (
	// SmallBytes is the size up to which a reservation may use all of a budget. Larger ones
	// leave a part of it free, so that a few of them do not shut out ordinary requests.
	SmallBytes = 64 << 10
	// largePercent is the part of a budget that reservations beyond SmallBytes may use
	// together.
	largePercent = 75
	percent      = 100
	// initialBytes is the first buffer of a body whose length is not announced.
	initialBytes = 4 << 10
)

var (
	// ErrTooLarge means that a body exceeds the limit for one body.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoRoom means that the budget had no room in time.
	ErrNoRoom = errors.New("too many bytes of requests are being held")
)

// Budget is the budget of a process. It is safe for concurrent use.
type Budget struct {
	all     *semaphore.Weighted
	large   *semaphore.Weighted
	most    int64 // of one reservation
	held    metrics.Counter
	refused metrics.Counter
}

// New returns a budget of a number of bytes. Its metrics get the prefix name.
func New(bytes int64, name string, r metrics.Registry) *Budget {
	most := bytes * largePercent / percent
	return &Budget{all: semaphore.NewWeighted(bytes), large: semaphore.NewWeighted(most), most: most,
		held: metrics.GetOrRegisterCounter(name+".held_bytes", r), refused: metrics.GetOrRegisterCounter(name+".refused", r)}
}

// Reservation is a part of a budget that one request holds. It is not safe for concurrent
// use.
type Reservation struct {
	budget *Budget
	bytes  int64
	large  int64 // of bytes, as counted by Budget.large
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow enlarges the reservation to a number of bytes, and waits for room until ctx ends. One
// that is larger than all reservations of its kind may be together gets all of their part:
// a request that is allowed is served when it is alone.
func (r *Reservation) Grow(ctx context.Context, bytes int64) error {
	b := r.budget
	bytes = min(bytes, b.most)
	if bytes <= r.bytes {
		return nil
	}
	large := int64(0)
	if bytes > SmallBytes {
		large = bytes - r.large
	}
	if large > 0 && !acquire(ctx, b.large, large) {
		b.refused.Inc(1)
		return ErrNoRoom
	}
	added := bytes - r.bytes
	if !acquire(ctx, b.all, added) {
		b.refused.Inc(1)
		if large > 0 {
			b.large.Release(large)
		}
		return ErrNoRoom
	}
	b.held.Inc(added)
	r.bytes = bytes
	r.large += large
	return nil
}

// acquire takes bytes, also after ctx has ended if there is room.
func acquire(ctx context.Context, s *semaphore.Weighted, bytes int64) bool {
	return s.TryAcquire(bytes) || s.Acquire(ctx, bytes) == nil
}

// Release ends the reservation. It may be called again.
func (r *Reservation) Release() {
	if r == nil || r.bytes == 0 {
		return
	}
	r.budget.all.Release(r.bytes)
	if r.large > 0 {
		r.budget.large.Release(r.large)
	}
	r.budget.held.Dec(r.bytes)
	r.bytes, r.large = 0, 0
}

// ReadAll reads a body up to limit bytes. Its buffer grows as bytes arrive, each time after
// the reservation has: a length that was only announced takes no room. announced is the
// length, or negative if it is unknown. ctx bounds the waits for room only.
func (r *Reservation) ReadAll(ctx context.Context, from io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	size := int64(initialBytes)
	if announced >= 0 {
		size = min(announced, SmallBytes)
	}
	if err := r.Grow(ctx, size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == announced {
				return body, nil
			}
			grown, err := r.enlarge(ctx, body, announced, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns a copy of a full buffer with twice its capacity, within the length that
// was announced and one byte more than the limit.
func (r *Reservation) enlarge(ctx context.Context, body []byte, announced, limit int64) ([]byte, error) {
	size := min(2*int64(cap(body))+1, limit+1)
	if announced >= 0 {
		size = min(size, announced)
	}
	if size <= int64(len(body)) {
		return nil, ErrTooLarge
	}
	if err := r.Grow(ctx, size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}
