package quota

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

const (
	// reportAge is how old the reports of other gateways may be: 100 ms until the next
	// report, 100 ms until the next push, and delays on a busy machine.
	reportAge = 400 * time.Millisecond
	// ownWindow is the time for which a gateway counts what it has spent against its part
	// of the level. It is longer than reportAge, after which the others know of it: a
	// gateway that spends again then does not know yet what others spent just before.
	ownWindow = reportAge * 3 / 2
	// spentSlots divides ownWindow for counting.
	spentSlots = 16
	// isolatedAfter is the age of the last report after which a gateway keeps to its own
	// part of the rate.
	isolatedAfter = 700 * time.Millisecond
	// gatewaysRetention is how long a gateway that is not heard of keeps its part of the
	// rates: it may be partitioned and still serve.
	gatewaysRetention = 10 * time.Minute
	// assumedGateways is the number of gateways until the first report. It is large, as many
	// gateways may start at once.
	assumedGateways = 512
	// equalWeight is the weight of the equal parts of the level; the rest is divided by
	// recent use. A small weight lets all callers of a workspace use one gateway.
	equalWeight = 0.3
	// usePrior is how many requests, spread equally, count as use in addition. Use by the
	// others is known later than a gateway's own: in a flood each gateway sees its own part
	// grow first, and the sum of the parts exceeds one. With 2 requests, two gateways exceeded
	// the bound of a workspace of 5 a second by 3.
	usePrior = 20.0
	// overageUse is the part of the overage that is spent on purpose. The rest covers
	// what gateways spend unknown to each other while their parts change.
	overageUse = 0.85
	// roundUpChance and smallRoundUpChance reduce the probability with which a fraction
	// of a token is rounded up, since it is drawn anew before all gateways know what the
	// previous draws allowed. With 1 for both, a workspace of 2 a second exceeded its bound by 5 when 1000
	// requests a second came.
	roundUpChance      = 0.85
	smallRoundUpChance = 0.4 // for parts below one token
	// useTimeConstant is how fast parts follow the use of gateways.
	useTimeConstant = 3 * time.Second
	// maxReturnWait bounds the times at which refused callers are told to return.
	maxReturnWait = 2 * time.Second
)

// Bounds bounds by how much all gateways together may exceed the rate and burst of a
// workspace in any window: (rate x Window + burst) x Overage + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// extra returns the tokens by which a level may be overdrawn. One is left for the
// fractions of tokens that are rounded at random.
func (b *Bounds) extra(rate Rate) float64 {
	return overageUse*b.Overage*(rate.PerSecond*b.Window.Seconds()+rate.Burst) + max(0, b.Slack-1)
}

// PeerReport is what a control host reports about the other gateways.
type PeerReport struct {
	Source  string            // identifies the process of the control host
	Spent   map[string]uint64 // by workspace, as far as it changed; grows while Source is the same
	Primary bool              // Live is set
	Live    int               // gateways heard of lately, including this one
}

// bounded is the state that all workspaces share.
type bounded struct {
	bounds     Bounds
	role       role
	salt       uint64 // differs between the gateways
	startedAt  time.Time
	reportedAt time.Time
	heard      bool // a primary has reported
	gateways   int  // that share the rates; including silent ones
	gatewaysAt time.Time
	silent     int // of them, those not heard of
	sources    map[string]bool
	buckets    map[string]*boundedBucket
	spends     uint64 // number of tokens spent
	reportDue  bool   // a bucket is near its bound
	reportAt   time.Time
}

// boundedBucket is this gateway's view of one workspace's bucket.
type boundedBucket struct {
	workspace string
	rate      Rate
	level     float64 // as far as this gateway knows; negative: debt
	filledAt  time.Time
	overflow  float64 // tokens that did not fit the burst since the last report
	reserved  float64 // tokens left for silent gateways
	spent     uint64  // by this process since its start

	others  int64            // spent by other gateways since this process started
	offsets map[string]int64 // others minus the reported total, by source

	recent   [spentSlots]uint32 // spent in the last ownWindow
	recentAt int64              // slot number of the newest entry

	ownUse, othersUse float64 // decaying counts
	usedAt            time.Time
	newOwn            uint64 // spent and granted when ownUse was last updated
	newOthers         int64

	brokerPart float64 // of this process, if it is a broker

	granted   uint64    // tokens that a broker granted to this process since its start
	kept      int       // of them, not used
	keptUntil time.Time // when they expire
	askAfter  time.Time // the broker is not asked until then

	isolated       bool
	isolatedLeft   float64   // tokens of the own part of burst and rate
	isolatedAt     time.Time // when they were filled up
	claim          float64   // tokens to be added at claimAt
	claimAt        time.Time
	isolatedPeriod int64 // for which they were drawn, with parts below one token
	nextReturn     time.Time
}

// SetBounds makes the buckets keep to bounds over all gateways together. The salt must
// differ between the gateways. Callers pass times of a clock that counts suspensions.
// It must be called before any other method.
func (b *Buckets) SetBounds(now time.Time, bounds Bounds, salt uint64) {
	b.bounded = &bounded{bounds: bounds, salt: salt, startedAt: now, gateways: assumedGateways, sources: make(map[string]bool), buckets: make(map[string]*boundedBucket)}
}

// Bounded reports whether SetBounds was called.
func (b *Buckets) Bounded() bool { return b.bounded != nil }

// SetRates sets the rates of all workspaces, so that reports count from then on even
// for workspaces without a request at this gateway.
func (b *Buckets) SetRates(now time.Time, rates map[string]Rate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, rate := range rates {
		if rate.PerSecond > 0 {
			b.bounded.bucket(now, workspace, rate, b.initialDebts)
		}
	}
}

// ApplyPeers applies a report about the other gateways.
func (b *Buckets) ApplyPeers(now time.Time, report PeerReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.bounded
	for _, held := range s.buckets {
		s.refill(now, held)
	}
	silentBefore := s.silent
	if report.Primary {
		s.setGateways(now, report.Live)
	}
	for workspace, held := range s.buckets {
		credit := 0.0
		if s.silent < silentBefore { // they report what they have spent meanwhile
			credit = held.reserved * float64(silentBefore-s.silent) / float64(silentBefore)
			held.reserved -= credit
		}
		delta := 0.0
		if total, reported := report.Spent[workspace]; reported {
			delta = held.mergeTotal(report.Source, total, s.sources[report.Source])
		}
		held.applySpending(delta, credit)
		if report.Primary {
			held.overflow = 0
			held.updateUse(now)
			held.isolated = false
		}
	}
	s.sources[report.Source] = true
	if report.Primary {
		s.reportedAt, s.heard = now, true
	}
}

// applySpending deducts spending of other gateways from the level and adds a credit of
// tokens that were left for them. Tokens that did not fit the burst count for spending
// that is reported late, but not for a burst just now.
func (h *boundedBucket) applySpending(spent, credit float64) {
	late := min(spent, max(0, h.overflow-h.rate.PerSecond*isolatedAfter.Seconds()))
	h.level = min(h.rate.Burst, h.level+credit+late-spent)
}

// setGateways sets the number of gateways from that of the live ones. One that is not heard of counts as
// silent until gatewaysRetention has passed.
func (s *bounded) setGateways(now time.Time, live int) {
	if !s.heard || live >= s.gateways || now.Sub(s.gatewaysAt) > gatewaysRetention {
		s.gateways, s.gatewaysAt = max(1, live), now
	}
	s.silent = s.gateways - max(1, live)
}

// mergeTotal takes a source's total and returns by how much it shows more spending than
// was known. Several sources report the same spending.
func (h *boundedBucket) mergeTotal(source string, total uint64, sourceKnown bool) float64 {
	offset, known := h.offsets[source]
	if !known {
		if !sourceKnown {
			offset = h.others - int64(total) //nolint:gosec // a count of requests
		}
		h.offsets[source] = offset
	}
	others := max(h.others, offset+int64(total)) //nolint:gosec // a count of requests
	delta := others - h.others
	h.others = others
	return float64(delta)
}

// updateUse updates the use of this and of the other gateways. What this gateway has
// spent counts one report later, as for the others. Tokens that a broker granted are
// reported as the broker's spending, but are use of the gateway that asked.
func (h *boundedBucket) updateUse(now time.Time) {
	decay := math.Exp(-now.Sub(h.usedAt).Seconds() / useTimeConstant.Seconds())
	h.ownUse *= decay
	h.othersUse *= decay
	h.usedAt = now
	own := h.spent + h.granted
	h.ownUse += float64(max(own, h.newOwn) - h.newOwn)
	h.newOwn = own
	if others := h.others - int64(h.granted); others > h.newOthers { //nolint:gosec // a count of requests
		h.othersUse += float64(others - h.newOthers)
		h.newOthers = others
	}
}

// part returns this gateway's part of the use, of 1.
func (s *bounded) part(h *boundedBucket) float64 {
	equal := 1 / float64(s.liveGateways())
	use := (h.ownUse + usePrior*equal) / (h.ownUse + h.othersUse + usePrior)
	return equalWeight*equal + (1-equalWeight)*use
}

// liveGateways returns the number of gateways that are heard of, including this one.
func (s *bounded) liveGateways() int { return max(1, s.gateways-s.silent) }

// silentClaim returns the tokens of level and extra that are left for silent gateways.
func (s *bounded) silentClaim(h *boundedBucket) float64 {
	return float64(s.silent) / float64(s.gateways) * (h.rate.Burst + s.bounds.extra(h.rate))
}

// bucket returns the bucket of a workspace with the given rate.
func (s *bounded) bucket(now time.Time, workspace string, rate Rate, debts map[string]float64) *boundedBucket {
	held := s.buckets[workspace]
	if held == nil {
		held = &boundedBucket{workspace: workspace, rate: rate, level: rate.Burst - debts[workspace], filledAt: now, usedAt: now, offsets: make(map[string]int64)}
		s.buckets[workspace] = held
		return held
	}
	if held.rate != rate {
		s.refill(now, held) // at the former rate
		held.rate = rate
		held.level = min(held.level, rate.Burst)
	}
	return held
}

// refill adds the tokens that have become due.
func (s *bounded) refill(now time.Time, h *boundedBucket) {
	if limit := s.reportedAt.Add(isolatedAfter); !h.isolated && !now.Before(limit) {
		s.isolate(limit, h)
	}
	if h.isolated {
		s.refillIsolated(now, h)
	}
	s.fill(now, h)
}

// fill adds tokens to the level.
func (s *bounded) fill(now time.Time, h *boundedBucket) {
	elapsed := now.Sub(h.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	h.filledAt = now
	silent := float64(s.silent) / float64(s.gateways)
	h.reserved += h.rate.PerSecond * elapsed * silent
	h.level += h.rate.PerSecond * elapsed * (1 - silent)
	if over := h.level - h.rate.Burst; over > 0 {
		h.overflow += over
		h.level = h.rate.Burst
	}
}

// allowance returns how many more tokens this process may spend now. With a broker, a
// gateway asks for what is less than one token. Without, a fraction of a token is rounded at
// random, so that parts below one token add up as well.
func (s *bounded) allowance(now time.Time, h *boundedBucket) float64 {
	own := h.recentSpent(s.slot(now))
	share := s.share(own, h)
	if share <= 0 || s.role != noBroker {
		return math.Floor(share) - own
	}
	chance := roundUpChance
	if share < 1 {
		chance = smallRoundUpChance
	}
	return math.Floor(share+chance*s.random(int64(now.Sub(s.startedAt)/ownWindow), h)) - own
}

// share returns this process's part of what all may spend until they know of each other's
// spending, including what it has spent within ownWindow: of the level and the extra, less
// what is left for silent gateways. With brokers, each of them has a fixed part and gateways
// divide the rest. Without, the first tokens are divided one to each gateway, because small
// workspaces have no more, the rest by part.
func (s *bounded) share(own float64, h *boundedBucket) float64 {
	available := max(0, h.level+own+s.bounds.extra(h.rate)-s.silentClaim(h))
	switch s.role {
	case isBroker:
		return available * h.brokerPart
	case hasBroker:
		return available * gatewaysPart * s.part(h)
	case noBroker:
	}
	gateways := float64(s.liveGateways())
	return min(available, gateways)/gateways + max(0, available-gateways)*s.part(h)
}

// random returns a number from 0 to 1 that depends on n and differs between gateways and
// workspaces.
func (s *bounded) random(n int64, bucket *boundedBucket) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(bucket.workspace)) // never fails
	_, _ = h.Write(strconv.AppendInt(nil, n, 10))
	return float64(mix(h.Sum64()^s.salt)>>11) / (1 << 53)
}

// mix spreads similar inputs over all bits.
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15 // Fibonacci hashing
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// slot returns the number of the entry of recent for now.
func (s *bounded) slot(now time.Time) int64 {
	return int64(now.Sub(s.startedAt) / (ownWindow / spentSlots))
}

// recentSpent returns the tokens spent within ownWindow.
func (h *boundedBucket) recentSpent(slot int64) float64 {
	h.advance(slot)
	sum := uint32(0)
	for _, count := range h.recent {
		sum += count
	}
	return float64(sum)
}

// advance clears the entries that have become too old.
func (h *boundedBucket) advance(slot int64) {
	for range min(spentSlots, slot-h.recentAt) {
		h.recentAt++
		h.recent[h.recentAt%spentSlots] = 0
	}
	h.recentAt = max(h.recentAt, slot)
}

// takeBounded spends a token of a workspace.
func (b *Buckets) takeBounded(now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	s := b.bounded
	held := s.bucket(now, workspace, rate, b.initialDebts)
	s.refill(now, held)
	if held.takeKept(now) {
		return 0, true
	}
	allowed := s.allowed(now, held)
	if allowed < 1 {
		if s.role == noBroker || held.recentSpent(s.slot(now)) > 0 {
			s.requestReport(now)
		}
		return s.returnAfter(now, held), false
	}
	if held.isolated {
		held.isolatedLeft--
	} else if held.level < rate.Burst/2 && allowed <= held.recentSpent(s.slot(now)) { // half of the part is spent
		s.requestReport(now)
	}
	held.level--
	held.spent++
	held.advance(s.slot(now))
	held.recent[held.recentAt%spentSlots]++
	s.spends++
	return 0, true
}

// allowed returns how many tokens this process may spend now, isolated or not.
func (s *bounded) allowed(now time.Time, h *boundedBucket) float64 {
	if h.isolated {
		return min(h.isolatedLeft, h.level+s.bounds.extra(h.rate))
	}
	return s.allowance(now, h)
}

// FreesIn returns the time after which this gateway may spend one more token of a
// workspace, if tokens are left and only its own part of them is spent.
func (b *Buckets) FreesIn(now time.Time, workspace string) (wait time.Duration, partOnly bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil {
		return 0, false
	}
	held := b.bounded.buckets[workspace]
	if held == nil || held.level < 1 || held.isolated {
		return 0, false
	}
	held.advance(b.bounded.slot(now))
	for age := int64(spentSlots) - 1; age >= 0; age-- {
		if held.recentAt >= age && held.recent[(held.recentAt-age)%spentSlots] > 0 {
			return time.Duration(spentSlots-age) * (ownWindow / spentSlots), true
		}
	}
	return 0, false // nothing is spent, the part is less than one token
}

// requestReport asks for a report before the next regular one.
func (s *bounded) requestReport(now time.Time) {
	if now.Sub(s.reportAt) >= reportAge/8 {
		s.reportAt, s.reportDue = now, true
	}
}

// ReportDue reports whether the other gateways should be told at once what this one has
// spent. It returns true once.
func (b *Buckets) ReportDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil || !b.bounded.reportDue {
		return false
	}
	b.bounded.reportDue = false
	return true
}

// Spends returns the number of tokens that this process has spent, if it has bounds.
func (b *Buckets) Spends() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounded == nil {
		return 0
	}
	return b.bounded.spends
}

// returnAfter returns the time after which a refused caller should return. The times
// of successive callers are this gateway's part of the rate apart; they start over at
// maxReturnWait.
func (s *bounded) returnAfter(now time.Time, h *boundedBucket) time.Duration {
	perSecond := h.rate.PerSecond * s.part(h)
	switch {
	case s.role == isBroker: // the callers of all gateways
		perSecond = h.rate.PerSecond
	case h.isolated:
		perSecond = h.rate.PerSecond / float64(s.gateways)
	}
	step := time.Duration(float64(time.Second) / max(perSecond, 1e-3))
	soonest := now.Add(min(step, maxReturnWait))
	at := h.nextReturn
	if at.Before(soonest) || at.After(now.Add(maxReturnWait)) {
		at = soonest
	}
	h.nextReturn = at.Add(step)
	return at.Sub(now)
}

// returnToken returns a token whose request did not run.
func (s *bounded) returnToken(workspace string) {
	held := s.buckets[workspace]
	if held == nil || held.spent == 0 {
		return
	}
	held.level++
	held.spent--
	for i := range held.recent {
		if slot := &held.recent[(held.recentAt+spentSlots-int64(i))%spentSlots]; *slot > 0 {
			*slot--
			return
		}
	}
}

// debts returns how many tokens each bucket that is not full lacks.
func (s *bounded) debts(now time.Time) map[string]float64 {
	debts := make(map[string]float64)
	for workspace, held := range s.buckets {
		s.refill(now, held)
		if debt := held.rate.Burst - held.level; debt >= minReportedDebt {
			debts[workspace] = debt
		}
	}
	return debts
}
