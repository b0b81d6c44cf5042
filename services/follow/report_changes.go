package follow

import (
	"time"

	"banyanwalk/core/quota"
	"banyanwalk/infra/rpc"
)

const (
	// debtsInterval is the time between two reports of the buckets' debts, which only a
	// gateway that has just started needs.
	debtsInterval = 1 * time.Second
	// boundedDebtsInterval replaces it at gateways that keep to bounds of quotas: one
	// that has just started must not spend what the others have spent.
	boundedDebtsInterval = 200 * time.Millisecond
)

// reportChanges reduces the reports on one stream to what has changed. A site has
// hundreds of workspaces, of which few are active within a report interval.
type reportChanges struct {
	spent   map[string]uint64 // last sent; nil: nothing yet
	debtsAt time.Time
}

// reduce removes from a report what the receiver knows from the previous ones. bounded is
// whether the process keeps to bounds of quotas.
func (c *reportChanges) reduce(now time.Time, bounded bool, load *rpc.MemberLoad) {
	load.ChangesOnly = c.spent != nil
	if c.spent == nil {
		c.spent = make(map[string]uint64)
	}
	quota.KeepChanges(load.Spent, c.spent)
	interval := debtsInterval
	if bounded {
		interval = boundedDebtsInterval
	}
	if now.Sub(c.debtsAt) < interval {
		load.Debts = nil
		return
	}
	c.debtsAt = now
}
