package targetcall

import (
	"net/http"
	"time"

	"banyanwalk/core/roster"
)

// LeavingObserver learns which targets say that they leave.
type LeavingObserver interface {
	// ObserveLeaving is told that the target wants no further requests. None may be
	// sent there after it has returned.
	ObserveLeaving(now time.Time, target *roster.Record)
}

// observeLeaving passes on that a response says that its target leaves. Responses of
// another target at the address and successes that no target has signed tell nothing.
func (c *Client) observeLeaving(target *roster.Record, resp *Response) {
	if c.headers.Leaving == "" || resp.Header.Get(c.headers.Leaving) != "1" || resp.Status == http.StatusMisdirectedRequest {
		return
	}
	if resp.Status < http.StatusMultipleChoices && resp.Header.Get(c.headers.Signature) == "" {
		return
	}
	c.limits.ObserveLeaving(time.Now(), target)
}
