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

// Digest identifies a subject within its workspace: a request by path, query and
// body, its variants by path and body, a part of a prompt by its id.
type Digest [16]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Kind is the kind of subject that a verdict is about.
type Kind uint8

// The kinds of subjects.
const (
	Content    Kind = iota // a request, by path, query and body
	PromptPart             // a part that the prompts of several requests share
	Variants               // requests that differ in nothing but their query
	SharedPart             // a part that prompts of several workspaces share
)

// IsPart reports whether the subject is a part of a prompt.
func (k Kind) IsPart() bool { return k == PromptPart || k == SharedPart }

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case PromptPart:
		return "prompt_part"
	case Variants:
		return "variants"
	case SharedPart:
		return "shared_part"
	default:
		return "content"
	}
}

// Ref identifies the subject of a verdict. That of a SharedPart names no workspace.
type Ref struct {
	Workspace string `msgpack:"w"`
	Digest    Digest `msgpack:"d"`
	Kind      Kind   `msgpack:"k,omitempty"`
}

// CompareRefs orders subjects by workspace, kind and digest.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Kind, b.Kind), bytes.Compare(a.Digest[:], b.Digest[:]))
}

// Verdict is the quarantine state of one subject.
type Verdict struct {
	Workspace string    `msgpack:"w" json:"workspace"`
	Digest    Digest    `msgpack:"d" json:"digest"`
	Kind      Kind      `msgpack:"k,omitempty" json:"kind,omitempty"`
	Level     Suspicion `msgpack:"l" json:"level"`
	Crashes   int       `msgpack:"c" json:"crashes"`
	Revision  uint64    `msgpack:"r" json:"revision"`                    // log index of the last change
	Targets   int       `msgpack:"t,omitempty" json:"targets,omitempty"` // that crashed under it, of RecordRuns only
	// With lists the other prompt parts that stood in each request counted here.
	// Any one of them may be the cause instead.
	With []Digest `msgpack:"s,omitempty" json:"with,omitempty"`
	// Workspaces is how many workspaces the requests counted for a SharedPart came from,
	// up to minWorkspaces.
	Workspaces int `msgpack:"o,omitempty" json:"workspaces,omitempty"`
}

// Confirmed reports whether the verdict tells against the requests of every workspace that
// has its subject. What a single workspace has shown of a SharedPart does not: it could have
// sent parts of others beside what crashes targets.
func (v *Verdict) Confirmed() bool { return v.Kind != SharedPart || v.Workspaces >= minWorkspaces }

// Ref returns the subject of the verdict.
func (v *Verdict) Ref() Ref { return Ref{Workspace: v.Workspace, Digest: v.Digest, Kind: v.Kind} }

// Covers reports whether a quarantined prompt part tells against a request with
// the given parts. Of parts that always stood together, it is unknown which one
// crashes targets, so all those that are still suspected must be there.
func (v *Verdict) Covers(has, suspected func(part Ref) bool) bool {
	for _, digest := range v.With {
		other := Ref{Workspace: v.Workspace, Digest: digest, Kind: v.Kind}
		if !has(other) && suspected(other) {
			return false
		}
	}
	return true
}

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
