package quota

import "time"

// Standing is what one gateway knows of a workspace's bucket.
type Standing struct {
	Level     float64       // tokens of all gateways together, as far as this one knows
	Allowance float64       // tokens that this gateway may spend now
	Gateways  int           // that share the tokens
	Silent    int           // of them
	ReportAge time.Duration // since the last report about the other gateways
	Isolated  bool          // the last report is too old
}

// Cause returns why a request that Take refuses now is refused.
func (s Standing) Cause() Cause {
	switch {
	case s.Isolated:
		return Isolated
	case s.Level >= 1:
		return PartSpent
	default:
		return LimitReached
	}
}

// Cause is the reason of a refusal.
type Cause uint8

// The reasons of refusals.
const (
	LimitReached Cause = iota // the workspace has no tokens left
	PartSpent                 // tokens are left, but this gateway's part of them is spent or less than one
	Isolated                  // this gateway does not hear what the others spend
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	switch c {
	case PartSpent:
		return "part_spent"
	case Isolated:
		return "isolated"
	case LimitReached:
	}
	return "limit_reached"
}

// Standing returns what this gateway knows of a workspace's bucket; false without bounds
// or before the first request of the workspace.
func (b *Buckets) Standing(now time.Time, workspace string) (Standing, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil || b.bounded.buckets[workspace] == nil {
		return Standing{}, false
	}
	s := b.bounded
	held := s.buckets[workspace]
	standing := Standing{Level: held.level, Allowance: max(0, s.allowed(now, held)), Gateways: s.gateways, Silent: s.silent, Isolated: held.isolated}
	if s.heard {
		standing.ReportAge = now.Sub(s.reportedAt)
	}
	return standing, true
}
