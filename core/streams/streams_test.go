package streams

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

var (
	old   = Origin{Service: "s", Version: "v1"}
	newer = Origin{Service: "s", Version: "v1.1"}
)

func key(n int) Key { return KeyOf("w", fmt.Sprint(n)) }

func TestLatestOriginOfAttemptCounts(t *testing.T) {
	table := NewTable()
	table.Record(key(1), old)
	table.Record(key(1), newer)
	found, known := table.Find(key(1))
	assert.True(t, known)
	assert.Equal(t, newer, found)
	_, known = table.Find(KeyOf("another workspace", "1"))
	assert.False(t, known)
	table.Record(NoKey, old)
	_, known = table.Find(KeyOf("w", ""))
	assert.False(t, known)
}

func TestTableIsBoundedAndKeepsTheNewest(t *testing.T) {
	table := NewTable()
	for n := range 3 * maxGeneration {
		table.Record(key(n), old)
	}
	assert.LessOrEqual(t, len(table.current)+len(table.previous), 2*maxGeneration)
	_, known := table.Find(key(2*maxGeneration - 1))
	assert.True(t, known)
	_, known = table.Find(key(0))
	assert.False(t, known)
	for n := range 2 * maxVersions {
		table.Apply(&Update{Versions: []Origin{{Service: "s", Version: fmt.Sprint(n)}}})
	}
	assert.Len(t, table.versions["s"], maxVersions)
}

// A service that once had two versions is never again taken for one with a single
// version: streams of the other one may still come back.
func TestOnlyVersion(t *testing.T) {
	table := NewTable()
	_, only := table.OnlyVersion("s")
	assert.False(t, only, "nothing is known of the service")
	table.Apply(&Update{Versions: []Origin{old, old}})
	version, only := table.OnlyVersion("s")
	assert.True(t, only)
	assert.Equal(t, "v1", version)
	table.Apply(&Update{Versions: []Origin{newer}})
	_, only = table.OnlyVersion("s")
	assert.False(t, only)
}

func TestSnapshotHoldsAllGenerations(t *testing.T) {
	table := NewTable()
	table.Apply(&Update{Versions: []Origin{old, newer}, Begun: []Group{{Origin: old, Keys: []Key{key(-1), key(-2)}}}})
	for n := range maxGeneration {
		table.Record(key(n), newer)
	}
	table.Record(key(-2), newer)
	restored := Restore(table.Snapshot())
	assert.Equal(t, table.current, restored.current)
	assert.Equal(t, table.previous, restored.previous)
	assert.Equal(t, table.versions, restored.versions)
	origin, _ := restored.Find(key(-2))
	assert.Equal(t, newer, origin)
	for _, g := range table.Groups("s") {
		if g.Origin == old {
			assert.NotContains(t, g.Keys, key(-2), "the later origin counts")
		}
	}
	assert.Empty(t, table.Groups("another service"))
}

func BenchmarkRecord(b *testing.B) {
	table := NewTable()
	for n := 0; b.Loop(); n++ {
		table.Record(Key(n)|1, old)
	}
}
