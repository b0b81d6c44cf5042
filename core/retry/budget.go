package retry

import "sync/atomic"

const (
	budgetUnit    = 1000 // credit units per retry
	budgetReserve = 10   // retries available before any traffic
	budgetMax     = 100  // most retries that accumulate
)

// Budget limits retries to a fraction of the request rate, as a token bucket
// that each request refills. It is safe for concurrent use; create it with
// NewBudget.
type Budget struct {
	credit atomic.Int64 // thousandths of a retry
}

// NewBudget returns a budget that holds budgetReserve retries.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetReserve * budgetUnit)
	return b
}

// AddRequest adds ratio retries to the budget, for one request.
func (b *Budget) AddRequest(ratio float64) {
	credit := int64(ratio * budgetUnit)
	if b.credit.Load() < budgetMax*budgetUnit {
		b.credit.Add(credit)
	}
}

// TryRetry takes one retry from the budget and reports whether one was available.
func (b *Budget) TryRetry() bool {
	for {
		credit := b.credit.Load()
		if credit < budgetUnit {
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-budgetUnit) {
			return true
		}
	}
}
