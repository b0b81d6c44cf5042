package timeline_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/infra/telemetry"
	"banyanwalk/services/timeline"
)

func TestReadMergesByClock(t *testing.T) {
	gateway := `time="2026-12-04T03:00:00Z" level=info msg=request_admitted data_centre=a hlc=1000.00001 process=gateway/g1 request=r1
panic: not an event
time="2026-12-04T03:00:00Z" level=info msg=request_done data_centre=a hlc=1002.00000 process=gateway/g1 request=r1
`
	agent := `time="2026-12-04T03:00:00Z" level=warning msg="attempt failed" data_centre=b error="a=\"b\"" hlc=1001.00000 process=agent/h1 request=r1 target=h1/x
time="2026-12-04T03:00:00Z" level=info msg=attempt_done hlc=1000.00001 process=agent/h1 request=r2 target=h1/x
`
	read := func(filter timeline.Filter) []string {
		var events []timeline.Event
		for _, text := range []string{gateway, agent} {
			found, err := timeline.Read(strings.NewReader(text), filter)
			require.NoError(t, err)
			events = append(events, found...)
		}
		timeline.Sort(events)
		names := make([]string, len(events))
		for i, e := range events {
			names[i] = e.Name
		}
		return names
	}
	require.Equal(t, []string{"attempt_done", "request_admitted", "attempt failed", "request_done"}, read(timeline.Filter{}))
	require.Equal(t, []string{"request_admitted", "attempt failed", "request_done"}, read(timeline.Filter{Request: "r1"}))
	require.Equal(t, []string{"attempt_done", "attempt failed"}, read(timeline.Filter{Target: "h1/x"}))
	require.Equal(t, []string{"request_done"}, read(timeline.Filter{Since: time.UnixMilli(1002)}))
	require.Empty(t, read(timeline.Filter{Job: "j"}))
}

// TestParseReadsLogOutput checks that any field value can be logged and
// parsed back unchanged.
func TestParseReadsLogOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.String().Draw(t, "value")
		var out bytes.Buffer
		log, err := telemetry.NewLog(telemetry.Options{Process: "p/1", DataCentre: "a", Output: &out})
		require.NoError(t, err)
		log.Info("something_happened", "request", value)
		e, ok := timeline.Parse(strings.TrimSuffix(out.String(), "\n"))
		require.True(t, ok, out.String())
		require.Equal(t, "something_happened", e.Name)
		require.Equal(t, "p/1", e.Process)
		require.Equal(t, timeline.Fields{{Key: "request", Value: value}}, e.Fields)
	})
}
