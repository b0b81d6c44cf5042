package entry

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes bounds a response that is buffered as a whole.
	maxResponseBytes = 1 << 20
	// freeResponseBytes of each response don't count towards bodyBudgetBytes, so that
	// the responses of a target without end leave room for ordinary ones.
	freeResponseBytes = 32 << 10
	// bodyBudgetBytes bounds what all buffered responses together take beyond that.
	bodyBudgetBytes     = 16 << 20
	initialBodyCapacity = 2 << 10
)

var (
	errResponseTooLong = errors.Newf("the response exceeds %d bytes", maxResponseBytes)
	errBodyBudget      = errors.New("the buffered responses exceed their memory budget")
)

// bodyBudget bounds the memory of all buffered responses.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) take(bytes int64) bool {
	if b.used.Add(bytes) <= bodyBudgetBytes {
		return true
	}
	b.used.Add(-bytes)
	return false
}

func (b *bodyBudget) give(bytes int64) { b.used.Add(-bytes) }

// read reads a whole response body. taken is what it holds of the budget until give,
// also after an error.
func (b *bodyBudget) read(from io.Reader) (body []byte, taken int64, err error) {
	body = make([]byte, 0, initialBodyCapacity)
	for {
		if len(body) == cap(body) {
			if len(body) >= maxResponseBytes {
				return nil, taken, errResponseTooLong
			}
			grown := min(2*cap(body), maxResponseBytes+1)
			if grown > freeResponseBytes {
				added := int64(grown - max(cap(body), freeResponseBytes))
				if !b.take(added) {
					return nil, taken, errBodyBudget
				}
				taken += added
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, taken, nil
		}
		if err != nil {
			return nil, taken, err
		}
	}
}
