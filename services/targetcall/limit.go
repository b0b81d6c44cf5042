package targetcall

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"banyanwalk/core/roster"
)

// LimitObserver learns the rate limits that targets name, and which targets leave.
type LimitObserver interface {
	LeavingObserver
	// ObserveLimit is told the requests per second that the target takes from all
	// processes together; 0 means that its response named no limit.
	ObserveLimit(now time.Time, target *roster.Record, perSecond float64)
}

// isFromTarget reports whether what a response says of its target counts. It does not if
// another target at the address sent it, or if no target has signed it.
func (c *Client) isFromTarget(resp *Response) bool {
	signed := resp.Header.Get(c.headers.Signature) != "" || resp.Header.Get(c.headers.NotRun) != ""
	return signed && resp.Status != http.StatusMisdirectedRequest
}

// observeLimit passes on the limit that a response names.
func (c *Client) observeLimit(target *roster.Record, resp *Response) {
	if !c.isFromTarget(resp) {
		return
	}
	perSecond := 0.0
	if value := resp.Header.Get(c.headers.RateLimit); value != "" {
		var err error
		perSecond, err = strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			return
		}
		perSecond = max(perSecond, math.SmallestNonzeroFloat64) // 0 is a limit too
	}
	c.limits.ObserveLimit(time.Now(), target, perSecond)
}
