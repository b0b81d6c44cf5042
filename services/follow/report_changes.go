package follow

import (
	"maps"
	"time"

	"banyanwalk/infra/rpc"
)

// debtsInterval is the time between two reports of the buckets' debts, which only a
// gateway that has just started needs.
const debtsInterval = 1 * time.Second

// reportChanges reduces the reports on one stream to what has changed. A site has
// hundreds of workspaces, of which few are active within a report interval.
type reportChanges struct {
	spent   map[string]uint64 // last sent; nil: nothing yet
	debtsAt time.Time
}

// reduce removes from a report what the receiver knows from the previous ones.
func (c *reportChanges) reduce(now time.Time, load *rpc.MemberLoad) {
	if c.spent == nil {
		c.spent, c.debtsAt = load.Spent, now
		load.Spent = maps.Clone(load.Spent)
		return
	}
	load.ChangesOnly = true
	for workspace, tokens := range load.Spent {
		if sent, known := c.spent[workspace]; known && sent == tokens {
			delete(load.Spent, workspace)
			continue
		}
		c.spent[workspace] = tokens
	}
	if now.Sub(c.debtsAt) < debtsInterval {
		load.Debts = nil
		return
	}
	c.debtsAt = now
}
