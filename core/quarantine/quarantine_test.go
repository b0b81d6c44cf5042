package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func ref(n byte) Ref { return Ref{Workspace: "w", Digest: Digest{n}} }

func TestCrashReportsInFlightAndRecentlyFailed(t *testing.T) {
	tracker := NewTracker()
	for n := byte(1); n <= 4; n++ {
		tracker.Started(uint64(n), ref(n), false)
	}
	tracker.Ended(time.Second, 1, true)  // complete response
	tracker.Ended(time.Second, 2, false) // failed just before the crash was detected
	report, found := tracker.Crashed(1500 * time.Millisecond)
	require.True(t, found)
	assert.Equal(t, Report{Suspects: []Ref{ref(2), ref(3), ref(4)}}, report)

	tracker.Ended(1500*time.Millisecond, 3, false)
	_, found = tracker.Crashed(1500 * time.Millisecond)
	assert.False(t, found, "a crash is reported only once")
}

func TestOldFailuresAreNotSuspects(t *testing.T) {
	tracker := NewTracker()
	tracker.Started(1, ref(1), false)
	tracker.Ended(0, 1, false)
	_, found := tracker.Crashed(suspectWindow + 1)
	assert.False(t, found)
}

func TestSecondCrashInIsolationQuarantines(t *testing.T) {
	tracker := NewTracker()
	tracker.Started(1, ref(1), false)
	tracker.Started(2, ref(2), false)
	_, found := tracker.Crashed(0)
	require.True(t, found)
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(1, ref(1), Cleared))
	tracker.Started(3, ref(1), true)
	report, found := tracker.Crashed(2)
	require.True(t, found)
	assert.True(t, report.Isolated)
	assert.Equal(t, Quarantined, tracker.EffectiveSuspicion(3, ref(1), Cleared))
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(3, ref(2), Cleared))
	assert.Equal(t, Quarantined, tracker.EffectiveSuspicion(3, ref(2), Quarantined))
}

func TestLocalSuspicionExpires(t *testing.T) {
	tracker := NewTracker()
	tracker.Started(1, ref(1), false)
	tracker.Crashed(0)
	assert.Equal(t, Cleared, tracker.EffectiveSuspicion(suspicionWindow+suspectWindow, ref(1), Cleared))
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(suspicionWindow+suspectWindow, ref(1), Suspect))
}

func TestFirstCrashOfLoneRequestOnlySuspects(t *testing.T) {
	tracker := NewTracker()
	tracker.Started(1, ref(1), false)
	report, found := tracker.Crashed(0)
	require.True(t, found)
	assert.False(t, report.Isolated)
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(0, ref(1), Cleared))
}

func TestSuspectThatCompletesInIsolationIsCleared(t *testing.T) {
	tracker := NewTracker()
	tracker.Started(1, ref(1), true)
	tracker.Ended(0, 1, true)
	assert.Equal(t, Cleared, tracker.EffectiveSuspicion(0, ref(1), Suspect))
	assert.Equal(t, Quarantined, tracker.EffectiveSuspicion(0, ref(1), Quarantined))
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(clearedWindow+suspectWindow, ref(1), Suspect))

	tracker.Started(2, ref(2), true)
	tracker.Ended(0, 2, true)
	tracker.Started(3, ref(2), false)
	tracker.Crashed(1)
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(1, ref(2), Cleared), "a later crash makes a cleared request a suspect again")

	tracker.Started(5, ref(4), true)
	tracker.NotSent(5)
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(1, ref(4), Suspect), "a request that was not sent is not cleared")

	tracker.Started(4, ref(3), false)
	tracker.Ended(1, 4, true)
	assert.Equal(t, Suspect, tracker.EffectiveSuspicion(1, ref(3), Suspect), "a request that did not run in isolation is not cleared")
}
