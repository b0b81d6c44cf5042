package dedupe

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fixedSeed makes property tests deterministic; -rapid.seed overrides it.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}

func TestVerdicts(t *testing.T) {
	table := NewTable(time.Minute, 2)
	assert.Equal(t, Fresh, table.Begin(0, "a", 1, false))
	assert.Equal(t, Duplicate, table.Begin(0, "a", 1, false))
	assert.Equal(t, Fresh, table.Begin(0, "a", 2, false), "attempt 1 never reached the target")
	assert.True(t, table.MarkSent("a", false))
	assert.False(t, table.MarkSent("a", false), "a concurrent attempt was sent first")
	assert.Equal(t, Repeated, table.Begin(0, "a", 3, false))
	assert.Equal(t, Fresh, table.Begin(0, "b", 1, true))
	assert.True(t, table.MarkSent("b", true))
	assert.Equal(t, Fresh, table.Begin(0, "b", 2, true))
	assert.Equal(t, Full, table.Begin(0, "c", 1, true))
	assert.False(t, table.MarkSent("unknown", true))
}

func TestUnusedEntriesExpire(t *testing.T) {
	table := NewTable(time.Minute, 1000)
	for i := range 100 {
		table.Begin(time.Duration(i)*time.Second, fmt.Sprint(i), 1, false)
	}
	table.Begin(10*time.Minute, "x", 1, false)
	assert.Equal(t, 1, table.Len())
}

func TestNoAttemptRunsTwiceWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 100 * time.Millisecond
		table := NewTable(window, 8)
		type attempt struct {
			id string
			n  int
		}
		begun := make(map[attempt]time.Duration)
		sent := make(map[string]time.Duration)
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pass")) * time.Millisecond
			a := attempt{fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), rapid.IntRange(1, 3).Draw(t, "attempt")}
			if table.Begin(now, a.id, a.n, false) != Fresh {
				continue
			}
			if at, found := begun[a]; found && now-at < window {
				t.Fatalf("%v began at %v and again at %v", a, at, now)
			}
			begun[a] = now
			if rapid.Bool().Draw(t, "send") && table.MarkSent(a.id, false) {
				if at, found := sent[a.id]; found && now-at < window {
					t.Fatalf("request %s sent at %v and again at %v", a.id, at, now)
				}
				sent[a.id] = now
			}
		}
	})
}
