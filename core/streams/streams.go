// Package streams remembers where callers' streams began: the service and the software
// version of the target that brought the first event. A stream may go on only there,
// since what two versions write does not fit together. It reads no clock and does no
// I/O.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"unique"
)

const (
	// maxGeneration is the number of streams after which the generation before the
	// current one is forgotten.
	maxGeneration = 32768
	// maxVersions bounds the versions remembered of one service.
	maxVersions = 64
)

// Origin is where a stream began.
type Origin struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"` // of the target's software
}

// Key identifies one attempt of a caller.
type Key uint64

// NoKey is the key of no attempt.
const NoKey Key = 0

// KeyOf returns the key of an attempt by its id, or NoKey without one.
func KeyOf(workspace, attempt string) Key {
	if attempt == "" {
		return NoKey
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + attempt))
	return Key(binary.BigEndian.Uint64(sum[:]) | 1)
}

// Group lists attempts with the same origin.
type Group struct {
	Origin Origin `msgpack:"o"`
	Keys   []Key  `msgpack:"k"`
}

// Update is a change of a table.
type Update struct {
	Versions []Origin `msgpack:"v,omitempty"` // versions that have come into service
	Begun    []Group  `msgpack:"b,omitempty"`
}

// Table holds the origins of the newest attempts, maxGeneration at least, and the
// versions that each service has had. It is not safe for concurrent use.
type Table struct {
	current, previous generation
	versions          map[string][]string // by service, oldest first
}

// generation shares the origins, of which there are few.
type generation map[Key]unique.Handle[Origin]

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: make(generation), versions: make(map[string][]string)}
}

// Apply applies a change.
func (t *Table) Apply(u *Update) {
	for _, v := range u.Versions {
		t.addVersion(v)
	}
	for i := range u.Begun {
		for _, key := range u.Begun[i].Keys {
			t.Record(key, u.Begun[i].Origin)
		}
	}
}

// Record notes the origin of an attempt. A later one replaces it: an attempt that
// brought no event may have moved to another target.
func (t *Table) Record(key Key, origin Origin) {
	if key == NoKey {
		return
	}
	if len(t.current) >= maxGeneration {
		t.previous, t.current = t.current, make(generation)
	}
	t.current[key] = unique.Make(origin)
}

// Find returns the origin of an attempt.
func (t *Table) Find(key Key) (Origin, bool) {
	for _, g := range []generation{t.current, t.previous} {
		if origin, found := g[key]; found {
			return origin.Value(), true
		}
	}
	return Origin{}, false
}

func (t *Table) addVersion(v Origin) {
	known := t.versions[v.Service]
	if slices.Contains(known, v.Version) {
		return
	}
	known = append(slices.Clone(known), v.Version)
	t.versions[v.Service] = known[max(0, len(known)-maxVersions):]
}

// HasVersion reports whether a service is known to have had a version.
func (t *Table) HasVersion(v Origin) bool { return slices.Contains(t.versions[v.Service], v.Version) }

// OnlyVersion returns the version of a service that has had no other.
func (t *Table) OnlyVersion(service string) (version string, only bool) {
	known := t.versions[service]
	if len(known) != 1 {
		return "", false
	}
	return known[0], true
}

// Groups returns the attempts of a service by origin, in no particular order.
func (t *Table) Groups(service string) []Group {
	return groups(func(origin Origin) bool { return origin.Service == service }, t.previous, t.current)
}

// groups joins the attempts of generations that match, by origin. An attempt of a later
// generation replaces that of an earlier one.
func groups(match func(Origin) bool, generations ...generation) []Group {
	byOrigin := make(map[unique.Handle[Origin]][]Key)
	for i, g := range generations {
		for key, origin := range g {
			if match(origin.Value()) && !slices.ContainsFunc(generations[i+1:], func(later generation) bool { _, found := later[key]; return found }) {
				byOrigin[origin] = append(byOrigin[origin], key)
			}
		}
	}
	list := make([]Group, 0, len(byOrigin))
	for origin, keys := range byOrigin {
		list = append(list, Group{Origin: origin.Value(), Keys: keys})
	}
	return list
}

// Snapshot is the complete state of a table.
type Snapshot struct {
	Versions []Origin `msgpack:"v,omitempty"`
	Previous []Group  `msgpack:"p,omitempty"`
	Current  []Group  `msgpack:"c,omitempty"`
}

// Snapshot returns the complete state.
func (t *Table) Snapshot() Snapshot {
	all := func(Origin) bool { return true }
	s := Snapshot{Previous: groups(all, t.previous), Current: groups(all, t.current)}
	for service, versions := range t.versions {
		for _, version := range versions {
			s.Versions = append(s.Versions, Origin{Service: service, Version: version})
		}
	}
	return s
}

// Restore returns a table with the state of a snapshot.
func Restore(s Snapshot) *Table {
	t := NewTable()
	t.Apply(&Update{Versions: s.Versions, Begun: s.Previous})
	t.previous, t.current = t.current, make(generation)
	t.Apply(&Update{Begun: s.Current})
	return t
}
