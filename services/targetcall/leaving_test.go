package targetcall

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/roster"
)

// observedLeaving counts the responses that say that their target leaves.
type observedLeaving int

func (o *observedLeaving) ObserveLimit(time.Time, *roster.Record, float64) {}
func (o *observedLeaving) ObserveLeaving(time.Time, *roster.Record)        { *o++ }

// Only a target's own responses with the value 1 say that it leaves.
func TestLeavingInResponses(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		header http.Header
		want   observedLeaving
	}{
		"success":                       {200, http.Header{"X-Signature": {"s"}, "X-Leaving": {"1"}}, 1},
		"refusal":                       {503, http.Header{"X-Not-Run": {"1"}, "X-Leaving": {"1"}}, 1},
		"failure":                       {500, http.Header{"X-Leaving": {"1"}}, 1},
		"another value":                 {200, http.Header{"X-Signature": {"s"}, "X-Leaving": {"true"}}, 0},
		"none":                          {200, http.Header{"X-Signature": {"s"}, "Connection": {"close"}}, 0},
		"success that nobody signed":    {200, http.Header{"X-Leaving": {"1"}}, 0},
		"another target at the address": {421, http.Header{"X-Leaving": {"1"}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var observed observedLeaving
			c := &Client{headers: HeaderNames{Signature: "X-Signature", NotRun: "X-Not-Run", Leaving: "X-Leaving"}, limits: &observed}
			c.observeLeaving(&roster.Record{}, &Response{Status: test.status, Header: test.header})
			assert.Equal(t, test.want, observed)
		})
	}
}
