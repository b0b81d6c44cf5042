package quota

import "time"

const (
	// brokerPart is the part of a workspace's broker, and of its deputy, of what all may spend
	// until they know of each other's spending. Each must suffice alone for callers within
	// the limit; a larger part leaves less to gateways that cannot ask.
	brokerPart = 1.0 / 3
	// gatewaysPart is left to the gateways.
	gatewaysPart = 1 - 2*brokerPart
	// maxAskPause bounds how long a broker that has refused a workspace is not asked again.
	maxAskPause = 100 * time.Millisecond
)

// role is a process's role in dividing tokens.
type role uint8

const (
	noBroker  role = iota // a gateway; all tokens are divided between the gateways
	hasBroker             // a gateway; the broker of each workspace has its own part
	isBroker              // of some workspaces
)

// SetBrokered tells a gateway whether a broker grants tokens. Without bounds it has no
// effect.
func (b *Buckets) SetBrokered(brokered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil {
		return
	}
	b.bounded.role = noBroker
	if brokered {
		b.bounded.role = hasBroker
	}
}

// BecomeBroker makes this process a broker, which grants tokens to gateways by Grant.
// Without bounds it has no effect.
func (b *Buckets) BecomeBroker() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded != nil {
		b.bounded.role = isBroker
	}
}

// Grants reports whether this process is a broker that may grant tokens now. One that does
// not hear what others spend must not.
func (b *Buckets) Grants(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.bounded
	return s != nil && s.role == isBroker && s.heard && now.Before(s.reportedAt.Add(isolatedAfter))
}

// Grant spends a token of a workspace on behalf of a gateway, from this broker's part of
// them. If there is none, it returns the time until one is due.
func (b *Buckets) Grant(now time.Time, workspace string, rate Rate, part float64) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounded.bucket(now, workspace, rate, b.initialDebts).brokerPart = part
	return b.takeBounded(now, workspace, rate)
}

// MayAsk reports whether a gateway that has no token of its own should ask the broker for
// one of a workspace.
func (b *Buckets) MayAsk(now time.Time, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil || b.bounded.role != hasBroker {
		return false
	}
	held := b.bounded.buckets[workspace]
	return held != nil && !now.Before(held.askAfter)
}

// Granted records that the broker granted a token of a workspace to this gateway. The
// broker reports it as spent.
func (b *Buckets) Granted(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.bounded.buckets[workspace]; held != nil {
		held.granted++
	}
}

// Refused records that the broker had no token of a workspace, and expects one after wait.
func (b *Buckets) Refused(now time.Time, workspace string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.bounded.buckets[workspace]; held != nil {
		held.askAfter = now.Add(min(wait, maxAskPause))
	}
}

// Keep returns a granted token whose request did not run. The gateway may use it for
// another request while it counts as just spent.
func (b *Buckets) Keep(now time.Time, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.bounded.buckets[workspace]
	if held == nil {
		return
	}
	if !now.Before(held.keptUntil) {
		held.kept = 0
	}
	held.kept++
	held.keptUntil = now.Add(ownWindow)
}

// takeKept uses a kept token, if there is one.
func (h *boundedBucket) takeKept(now time.Time) bool {
	if h.kept == 0 || !now.Before(h.keptUntil) {
		return false
	}
	h.kept--
	return true
}
