package tests

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var versionLine = regexp.MustCompile(`(?m)^version: (\d+)`)

// raiseVersion returns the bundle text with its version raised by n.
func raiseVersion(t *testing.T, source string, n int) string {
	t.Helper()
	match := versionLine.FindStringSubmatch(source)
	require.NotNil(t, match)
	version, err := strconv.Atoi(match[1])
	require.NoError(t, err)
	return versionLine.ReplaceAllString(source, "version: "+strconv.Itoa(version+n))
}

// withWithdrawnKey returns the next version of the bundle, in which the digest of
// the key is replaced by that of a key that nobody has.
func withWithdrawnKey(t *testing.T, source, key string) string {
	t.Helper()
	digest, replacement := sha256.Sum256([]byte(key)), sha256.Sum256([]byte("withdrawn "+key))
	require.Contains(t, source, hex.EncodeToString(digest[:]))
	source = strings.ReplaceAll(source, hex.EncodeToString(digest[:]), hex.EncodeToString(replacement[:]))
	return raiseVersion(t, source, 1)
}
