package targetcall

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"banyanwalk/core/roster"
)

// LimitObserver learns what targets say of themselves in their responses, such as their
// rate limits.
type LimitObserver interface {
	LeavingObserver
	// ObserveLimit is told the requests per second that the target takes from all
	// processes together; 0 means that its response named no limit.
	ObserveLimit(now time.Time, target *roster.Record, perSecond float64)
}

// observeLimit passes on the limit that a response names. Responses of another target
// at the address and those that no target has signed tell nothing.
func (c *Client) observeLimit(target *roster.Record, resp *Response) {
	if resp.Status == http.StatusMisdirectedRequest || resp.Header.Get(c.headers.Signature) == "" && resp.Header.Get(c.headers.NotRun) == "" {
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
