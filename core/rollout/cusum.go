package rollout

import "math"

// The sequential test is Page's CUSUM: Wald's sequential probability ratio test of the
// old version's share of bad responses against a clearly higher one, restarted whenever
// it favours the old share. It may be looked at after each response, and a version that
// turns bad late is found as fast as one that is bad at once.
const (
	// alarmLevel is the log-likelihood ratio at which the new version counts as bad. A
	// sound version reaches it once in more than e^11.5, which is 100,000, responses.
	alarmLevel = 11.5
	// doubtLevel is the ratio above which a rollout does not go on to the next phase.
	doubtLevel = 0.6 * alarmLevel
	// burstLevel is the most that the responses of one interval add during Canary.
	// Responses that fail together may have one cause, such as the loss of a machine, and
	// are reported in up to four intervals. finishingBurstLevel holds during Finishing,
	// when a bad version gets all requests and many good responses outweigh such a loss.
	burstLevel          = 0.2 * alarmLevel
	finishingBurstLevel = 0.45 * alarmLevel
	// soundLevel is the ratio of the whole evidence at which the new version counts as
	// sound; Wald's lower bound for an error of 0.02.
	soundLevel = -3.9

	// leastDifference and relativeDifference separate a bad version's share of bad
	// responses from the old version's share p: p + max(0.15, p).
	leastDifference    = 0.15
	relativeDifference = 1.0
	largestShare       = 0.95
	// leastShare is the least share of bad responses that the old version is taken to have,
	// so that two bad ones in thousands are no proof.
	leastShare = 0.01
	// The old version's share is estimated as if it had had half a bad response in 50
	// before, so that it is never zero.
	priorAnswers = 50
	priorBad     = 0.5
	// routePriorAnswers is the weight of the share over all routes in that of one route.
	routePriorAnswers = 20
	// minOldAnswers is how many responses of the old version are needed for a comparison.
	minOldAnswers = 20
	// recentMS is the time constant of the old version's recent share, in milliseconds.
	// The recent share counts because the share varies with the load.
	recentMS = 1000
	// minPeakAnswers is how many recent responses a peak needs; the share of fewer varies
	// too much.
	minPeakAnswers = 40
	// recentPriorAnswers is the weight of the share since the start in the recent one.
	recentPriorAnswers = 20
)

// tally is a number of responses and the bad ones among them.
type tally struct{ answers, bad float64 }

// share returns the share of bad responses, with those of a prior added.
func (t tally) share(prior tally) float64 { return (t.bad + prior.bad) / (t.answers + prior.answers) }

// ratio returns the log-likelihood ratio of the responses: positive if they speak for a
// version with a clearly larger share of bad responses than p.
func (t tally) ratio(p float64) float64 {
	p = math.Max(p, leastShare)
	worse := math.Min(largestShare, p+math.Max(leastDifference, relativeDifference*p))
	if worse <= p {
		return 0
	}
	return t.bad*math.Log(worse/p) + (t.answers-t.bad)*math.Log((1-worse)/(1-p))
}

// cusum compares the new version with the old one by one kind of bad response.
type cusum struct {
	level    float64 // statistic of the test, never negative
	recent   tally   // of the old version, decaying
	peak     float64 // largest recent share of the old version
	expected float64 // share of bad responses of the old version
	load     float64 // expected, as a multiple of the share since the start
}

// interval holds the responses since the previous decision.
type interval struct {
	elapsedMS  int64
	oldTotal   tally // of the old version, since the start
	old, added tally // of the old and of the new version, in the interval
	prior      tally
	first      bool    // of this leader: it covers a longer time, and no burst level holds
	load       float64 // by which the share on all routes is above that since the start
	alone      bool    // only the new version gets requests
}

// observe adds the responses of one interval. The old version's share is its share at the
// same time, but not below that since the start. Once it gets no more requests, its
// largest share counts, since the load may be at a peak.
func (c cusum) observe(i interval) cusum {
	usual := i.oldTotal.share(i.prior)
	recentPrior := tally{recentPriorAnswers, recentPriorAnswers * usual}
	keep := math.Exp(-float64(i.elapsedMS) / recentMS)
	c.recent = tally{c.recent.answers*keep + i.old.answers, c.recent.bad*keep + i.old.bad}
	share := c.recent.share(recentPrior)
	if c.recent.answers >= minPeakAnswers {
		c.peak = math.Max(c.peak, share)
	}
	c.expected = math.Max(usual, math.Max(share, i.old.share(recentPrior)))
	if i.alone {
		c.expected = math.Max(c.expected, c.peak)
	}
	// One route has too few responses to follow the load by itself.
	c.expected = math.Max(c.expected, math.Min(largestShare, usual*i.load))
	c.load = c.expected / usual
	change := i.added.ratio(c.expected)
	switch {
	case i.first:
	case i.alone:
		change = math.Min(change, finishingBurstLevel)
	default:
		change = math.Min(change, burstLevel)
	}
	c.level = math.Max(0, c.level+change)
	return c
}

// usual returns the old version's share since the start.
func (c cusum) usual() float64 { return c.expected / c.load }
