package auth

import (
	"crypto/sha256"
	"encoding/binary"

	"banyanwalk/core/quarantine"
)

// RequestDigest returns a digest of the workspace, the path at the target and the
// body of a request. Quarantine verdicts are stored under it.
func RequestDigest(workspace, path string, body []byte) quarantine.Digest {
	h := sha256.New()
	writeLengthPrefixed(h, []byte(workspace))
	writeLengthPrefixed(h, []byte(path))
	writeLengthPrefixed(h, body)
	var digest quarantine.Digest
	copy(digest[:], h.Sum(nil))
	return digest
}

// PromptPartRefs identifies parts of a workspace's prompts by their ids, each as a part of
// that workspace and as one that other workspaces may share.
func PromptPartRefs(workspace string, ids []string) []quarantine.Ref {
	refs := make([]quarantine.Ref, 0, 2*len(ids))
	for _, id := range ids {
		refs = append(refs, promptPartRef(quarantine.PromptPart, workspace, id))
	}
	for _, id := range ids {
		refs = append(refs, promptPartRef(quarantine.SharedPart, "", id))
	}
	return refs
}

func promptPartRef(kind quarantine.Kind, workspace, id string) quarantine.Ref {
	h := sha256.New()
	writeLengthPrefixed(h, []byte(workspace))
	writeLengthPrefixed(h, []byte(id))
	ref := quarantine.Ref{Workspace: workspace, Kind: kind}
	copy(ref.Digest[:], h.Sum(nil))
	return ref
}

type writer interface{ Write([]byte) (int, error) }

// writeLengthPrefixed writes a part prefixed by its length, so that different
// splits into parts give different digests. Hash writers never return an error.
func writeLengthPrefixed(w writer, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = w.Write(size[:])
	_, _ = w.Write(part)
}
