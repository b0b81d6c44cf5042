package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClockAdvances(t *testing.T) {
	start := Now()
	assert.Positive(t, start)
	earlier := start.Add(-time.Hour)
	assert.GreaterOrEqual(t, Since(earlier), time.Hour)
	assert.GreaterOrEqual(t, Now(), start)
	assert.Greater(t, Since(Never), 100*365*24*time.Hour)
}
