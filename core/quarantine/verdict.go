package quarantine

import (
	"bytes"
	"cmp"
	"encoding/hex"
)

// Suspicion is the quarantine level of a request that was in flight when a
// target crashed.
type Suspicion uint8

// The suspicion levels. A Suspect request may have crashed a target, a
// Quarantined one is known to and is refused.
const (
	Cleared Suspicion = iota
	Suspect
	Quarantined
)

// String returns the name of the level as used in logs.
func (s Suspicion) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "cleared"
	}
}

// Digest identifies a request by workspace, path and body content.
type Digest [16]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Ref identifies a request by workspace and content digest.
type Ref struct {
	Workspace string `msgpack:"w"`
	Digest    Digest `msgpack:"d"`
}

// CompareRefs orders requests by workspace and digest.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), bytes.Compare(a.Digest[:], b.Digest[:]))
}

// Verdict is the quarantine state of one request.
type Verdict struct {
	Workspace string    `msgpack:"w" json:"workspace"`
	Digest    Digest    `msgpack:"d" json:"digest"`
	Level     Suspicion `msgpack:"l" json:"level"`
	Crashes   int       `msgpack:"c" json:"crashes"`
	Revision  uint64    `msgpack:"r" json:"revision"` // log index of the last change
}

// Ref returns the request that the verdict is about.
func (v *Verdict) Ref() Ref { return Ref{Workspace: v.Workspace, Digest: v.Digest} }

// Update carries verdicts to subscribers. A full update replaces all verdicts up to
// its revision; in a delta, a Cleared verdict removes one.
type Update struct {
	Revision uint64    `msgpack:"r"` // log index of the sender's last change
	Full     bool      `msgpack:"f,omitempty"`
	Verdicts []Verdict `msgpack:"v"`
}

// Crash identifies a crash: a target process crashes at most once.
type Crash struct {
	Target      string `msgpack:"t"`
	Incarnation uint64 `msgpack:"i"`
}
