package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// crashMark begins the ids of the requests that crash targets here.
const crashMark = "bad"

func newVariantsFixture(t *testing.T, targets int) *fixture {
	f := newFixture(t, make([]standin.Behaviour, targets)...)
	for _, target := range f.targets {
		target.SetBehaviour(func(id string) standin.Behaviour { return standin.Behaviour{Crash: strings.HasPrefix(id, crashMark)} })
	}
	return f
}

// runsOf returns the number of runs of the requests whose ids begin with prefix.
func (f *fixture) runsOf(prefix string) int {
	count := 0
	for _, run := range f.allRuns() {
		if strings.HasPrefix(run.ID, prefix) {
			count++
		}
	}
	return count
}

// Incident BUDGET: a request that crashes targets comes under another query each
// time. It is stopped at the third crash.
func TestCrashingRequestIsStoppedUnderAnyQuery(t *testing.T) {
	f := newVariantsFixture(t, 8)
	for n := range 6 {
		_, _, err := f.sendWithBody(fmt.Sprintf("/once/x?n=%d", n), fmt.Sprint(crashMark, n), "body")
		require.NoError(t, err)
	}
	assert.Equal(t, 3, f.runsOf(crashMark))
	response, _, err := f.sendWithBody("/once/x?n=0", "sound", "another body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, "another body is another request")
}

// One query crashes targets, others of the same path and body are sound, and go on.
func TestSoundQueriesBesideCrashingOneAreServed(t *testing.T) {
	f := newVariantsFixture(t, 8)
	for n := range 6 {
		sound, _, err := f.sendWithBody(fmt.Sprintf("/once/x?n=%d", n), fmt.Sprint("sound", n), "body")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, sound.StatusCode)
		_, _, err = f.sendWithBody("/once/x?bad", fmt.Sprint(crashMark, n), "body")
		require.NoError(t, err)
	}
	assert.Equal(t, 3, f.runsOf(crashMark))
}
