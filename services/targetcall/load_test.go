package targetcall

import (
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
)

// observedLoads records what a client observes.
type observedLoads struct {
	loads     []placement.TargetLoad
	malformed []string
}

func (o *observedLoads) ObserveLoad(_ time.Time, _ *roster.Record, load placement.TargetLoad) {
	o.loads = append(o.loads, load)
}

func (o *observedLoads) ObserveMalformedLoad(_ time.Time, _ *roster.Record, value string) {
	o.malformed = append(o.malformed, value)
}

// Guards against figures that are read wrongly, and against those of a response that no
// target has signed.
func TestLoadsInResponses(t *testing.T) {
	signed := map[string]string{"X-Signature": "s"}
	for name, test := range map[string]struct {
		status    int
		value     string
		header    map[string]string
		want      []placement.TargetLoad
		malformed bool
	}{
		"with pace":                    {200, "3, 1,8,250", signed, []placement.TargetLoad{{Running: 3, Waiting: 1, Slots: 8, PacePercent: 250}}, false},
		"without pace":                 {200, "3,1,8", signed, []placement.TargetLoad{{Running: 3, Waiting: 1, Slots: 8}}, false},
		"refusal":                      {503, "8,2,8,100", map[string]string{"X-Not-Run": "1"}, []placement.TargetLoad{{Running: 8, Waiting: 2, Slots: 8, PacePercent: 100}}, false},
		"none":                         {200, "", signed, nil, false},
		"unsigned":                     {502, "3,1,8,250", nil, nil, false},
		"of another target":            {421, "3,1,8,250", map[string]string{"X-Not-Run": "1"}, nil, false},
		"two figures":                  {200, "3,1", signed, nil, true},
		"five figures":                 {200, "3,1,8,100,4", signed, nil, true},
		"no number":                    {200, "a,b,c,d", signed, nil, true},
		"not a number":                 {200, "3,1,8,NaN", signed, nil, true},
		"negative":                     {200, "3,-1,8,100", signed, nil, true},
		"infinite":                     {200, "3,1,8,inf", signed, nil, true},
		"beyond what a target can run": {200, "3,1,99999999999,100", signed, nil, true},
		"pace of nothing":              {200, "3,1,8,0", signed, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			var observed observedLoads
			c := &Client{headers: HeaderNames{Signature: "X-Signature", NotRun: "X-Not-Run", Load: "X-Load"}, loads: &observed, malformedLoads: metrics.NewCounter()}
			header := make(http.Header)
			for key, value := range test.header {
				header.Set(key, value)
			}
			header.Set("X-Load", test.value)
			c.observeLoad(&roster.Record{}, &Response{Status: test.status, Header: header})
			assert.Equal(t, test.want, observed.loads)
			assert.Equal(t, test.malformed, len(observed.malformed) == 1)
		})
	}
}

// Guards against a target that is taken for slow because its caller reads slowly.
func TestTimingOfSlowCallersTellsNothing(t *testing.T) {
	target := &roster.Record{Report: roster.Report{ID: "t", Incarnation: 7}}
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var timing Timing
	assert.Nil(t, timing.Report(target, 1, 0), "nothing was sent")
	timing.Begin(at(0))
	for n := range 11 {
		timing.Event(at(n*20), at(20+n*20))
	}
	run := timing.Report(target, 3, 250)
	require.NotNil(t, run)
	assert.Equal(t, placement.RunReport{Target: "t", Incarnation: 7, Fill: 3, FirstMS: 20, EventUS: 20_000, RanMS: 220, PacePercent: 250}, *run)
	timing.Begin(at(0))
	for n := range 11 { // each event is there at once, but the caller takes 100 ms for it
		timing.Event(at(n*100+19), at(20+n*100))
	}
	assert.Nil(t, timing.Report(target, 3, 250))
	timing.Begin(at(0))
	timing.Plain(at(120))
	assert.Equal(t, int64(120), timing.Report(target, 1, 0).FirstMS)
}
