// Package auth extracts callers' keys and decides which parts of a request may be
// forwarded to a target. A key is compared only by its digest and never leaves the
// gateway.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"banyanwalk/core/outcome"
)

const (
	bearerScheme = "bearer"
	maxKeyBytes  = 512
)

// BearerKey returns the key of an Authorization header. It fails with
// KeyMissing when there is none, and with KeyUnknown when it is too long.
func BearerKey(header string) (string, error) {
	scheme, key, found := strings.Cut(strings.TrimSpace(header), " ")
	key = strings.TrimSpace(key)
	if !found || !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return "", outcome.New(outcome.KeyMissing, outcome.NotRun, "send the key as Authorization: Bearer KEY")
	}
	if len(key) > maxKeyBytes {
		return "", outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key is not known")
	}
	return key, nil
}

// KeyDigest returns the SHA-256 of a key in lower-case hex.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	var digest [2 * sha256.Size]byte
	hex.Encode(digest[:], sum[:])
	return string(digest[:])
}
