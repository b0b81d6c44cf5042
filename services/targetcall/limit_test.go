package targetcall

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"banyanwalk/core/roster"
)

// observedLimits records what a client observes.
type observedLimits []float64

func (o *observedLimits) ObserveLimit(_ time.Time, _ *roster.Record, perSecond float64) {
	*o = append(*o, perSecond)
}

func (o *observedLimits) ObserveLeaving(time.Time, *roster.Record) {}

func TestLimitsInResponses(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		header map[string]string
		want   []float64
	}{
		"limit":                         {200, map[string]string{"X-Signature": "s", "X-Rate-Limit": "2.5"}, []float64{2.5}},
		"below one a second":            {200, map[string]string{"X-Signature": "s", "X-Rate-Limit": " 0.05 "}, []float64{0.05}},
		"refusal with a limit":          {503, map[string]string{"X-Not-Run": "1", "X-Rate-Limit": "7"}, []float64{7}},
		"failure with a limit":          {500, map[string]string{"X-Signature": "s", "X-Rate-Limit": "7"}, []float64{7}},
		"no limit":                      {200, map[string]string{"X-Signature": "s"}, []float64{0}},
		"refusal without a limit":       {503, map[string]string{"X-Not-Run": "1"}, []float64{0}},
		"no number":                     {200, map[string]string{"X-Signature": "s", "X-Rate-Limit": "few"}, nil},
		"negative":                      {200, map[string]string{"X-Signature": "s", "X-Rate-Limit": "-1"}, nil},
		"infinite":                      {200, map[string]string{"X-Signature": "s", "X-Rate-Limit": "inf"}, nil},
		"response that nobody signed":   {502, map[string]string{"X-Rate-Limit": "3"}, nil},
		"another target at the address": {421, map[string]string{"X-Not-Run": "1", "X-Rate-Limit": "3"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var observed observedLimits
			c := &Client{headers: HeaderNames{Signature: "X-Signature", NotRun: "X-Not-Run", RateLimit: "X-Rate-Limit"}, limits: &observed}
			header := make(http.Header)
			for key, value := range test.header {
				header.Set(key, value)
			}
			c.observeLimit(&roster.Record{}, &Response{Status: test.status, Header: header})
			assert.Equal(t, observedLimits(test.want), observed)
		})
	}
}

func TestLimitOfZeroIsALimit(t *testing.T) {
	var observed observedLimits
	c := &Client{headers: HeaderNames{Signature: "X-Signature", RateLimit: "X-Rate-Limit"}, limits: &observed}
	c.observeLimit(&roster.Record{}, &Response{Status: 200, Header: http.Header{"X-Signature": {"s"}, "X-Rate-Limit": {"0"}}})
	assert.Len(t, observed, 1)
	assert.Positive(t, observed[0])
}
