package logtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestClockFollowsTimeOfDay(t *testing.T) {
	var c Clock
	for passed := time.Duration(0); passed < time.Hour; passed += time.Second {
		require.Equal(t, noon.Add(passed).UnixMilli(), c.NowMS(Reading{Elapsed: passed, Wall: noon.Add(passed)}))
	}
}

// A jump of hours, forward or back, changes the time of commands by an eighth of
// the time for which it lasts.
func TestJumpOfTimeOfDayIsNotFollowed(t *testing.T) {
	for _, jump := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond, 8 * time.Second, 5 * time.Hour, -5 * time.Hour} {
		var c Clock
		before := c.NowMS(Reading{Wall: noon})
		const lasts = 6 * time.Second
		after := c.NowMS(Reading{Elapsed: lasts, Wall: noon.Add(lasts + jump)})
		require.InDelta(t, lasts.Milliseconds(), after-before, float64((lasts / slewDivisor).Milliseconds()), "jump %v", jump)
		again := c.NowMS(Reading{Elapsed: 20 * lasts, Wall: noon.Add(20 * lasts)})
		require.Equal(t, noon.Add(20*lasts).UnixMilli(), again, "it returns after a jump of %v", jump)
	}
}

// The next leader continues from the commands that it has applied.
func TestClockContinuesFromAppliedCommands(t *testing.T) {
	var c Clock
	c.Observe(Reading{Elapsed: time.Second, Wall: noon.Add(time.Hour)}, noon.UnixMilli())
	require.Equal(t, noon.Add(2250*time.Millisecond).UnixMilli(), c.NowMS(Reading{Elapsed: 3 * time.Second, Wall: noon.Add(time.Hour)}))
	c.Observe(Reading{Elapsed: 3 * time.Second, Wall: noon}, noon.Add(time.Minute).UnixMilli())
	require.Equal(t, noon.Add(time.Minute).UnixMilli(), c.NowMS(Reading{Elapsed: 3 * time.Second, Wall: noon}))
}

func TestClockNeverGoesBackOrRunsAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		elapsed := time.Duration(0)
		last := c.NowMS(Reading{Wall: noon})
		for range 50 {
			passed := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed"))
			offset := time.Duration(rapid.Int64Range(-int64(24*time.Hour), int64(24*time.Hour)).Draw(t, "offset"))
			elapsed += passed
			now := c.NowMS(Reading{Elapsed: elapsed, Wall: noon.Add(elapsed + offset)})
			require.GreaterOrEqual(t, now, last)
			require.LessOrEqual(t, now-last, (passed+passed/slewDivisor).Milliseconds()+1)
			last = now
		}
	})
}
