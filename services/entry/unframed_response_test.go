package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// A response may come with neither a length nor chunks and end with its connection.
func TestUnframedResponses(t *testing.T) {
	events := func(n int) (all string) {
		for i := range n {
			all += "id: " + string(rune('1'+i)) + "\ndata: " + standin.EventData("a", int64(i+1)) + "\n\n"
		}
		return all
	}
	whole := standin.Behaviour{Unframed: true, Events: 4}
	truncated := standin.Behaviour{Unframed: true, Events: 4, BreakAfter: 2, TruncateEvent: true}
	alwaysTruncated := standin.Behaviour{Unframed: true, Events: 8, BreakAfter: 2, TruncateEvent: true}
	reset := standin.Behaviour{Unframed: true, Events: 4, BreakAfter: 2, Reset: true, Pause: 20 * time.Millisecond}
	plain := standin.Behaviour{Unframed: true}
	plainReset := standin.Behaviour{Unframed: true, Reset: true, Pause: 20 * time.Millisecond}
	for name, test := range map[string]struct {
		path          string
		first, second standin.Behaviour // of the first and all later targets
		want          string            // empty: the response breaks off
		runs          int
	}{
		"whole stream":                             {"/stream/x", whole, whole, events(4), 1},
		"whole resumable stream":                   {"/resume/x", whole, whole, events(4), 1},
		"whole body":                               {"/safe/x", plain, plain, standin.ResponseBody("a"), 1},
		"whole body that may run once":             {"/once/x", plain, plain, standin.ResponseBody("a"), 1},
		"stream ends inside an event":              {"/stream/x", truncated, whole, "", 1},
		"resumable stream ends inside an event":    {"/resume/x", truncated, whole, events(4), 2},
		"stream is reset":                          {"/stream/x", reset, whole, "", 1},
		"resumable stream is reset":                {"/resume/x", reset, whole, events(4), 2},
		"body is reset":                            {"/safe/x", plainReset, plain, standin.ResponseBody("a"), 2},
		"body that may run once is reset":          {"/once/x", plainReset, plain, "", 1},
		"every target ends its stream in an event": {"/resume/x", alwaysTruncated, alwaysTruncated, "", 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.first, test.second, test.second)
			first := true
			for _, target := range f.targets {
				target.SetBehaviour(func(string) standin.Behaviour {
					if first {
						first = false
						return test.first
					}
					return test.second
				})
			}
			response, body, err := f.send(test.path, "a")
			if test.want == "" {
				assert.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "status %d, body %q", response.StatusCode, body)
			} else {
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Equal(t, test.want, body)
			}
			assert.Len(t, f.allRuns(), test.runs)
		})
	}
}
