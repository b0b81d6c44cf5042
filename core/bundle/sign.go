package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
)

// TrustedOperators holds the public key of each operator that may sign.
type TrustedOperators map[string]ed25519.PublicKey

// ParseTrustedOperators reads "name=hex" pairs, each with an ed25519 public
// key.
func ParseTrustedOperators(pairs []string) (TrustedOperators, error) {
	trusted := make(TrustedOperators, len(pairs))
	for _, pair := range pairs {
		name, text, found := strings.Cut(pair, "=")
		key, err := hex.DecodeString(text)
		if !found || name == "" || err != nil || len(key) != ed25519.PublicKeySize {
			return nil, errors.Newf("%q is not name=public key in %d hex digits", pair, 2*ed25519.PublicKeySize)
		}
		if _, repeated := trusted[name]; repeated {
			return nil, errors.Newf("operator %q has two keys", name)
		}
		trusted[name] = key
	}
	return trusted, nil
}

// Sign returns the source with the operator's signature over it.
func Sign(source []byte, operator string, key ed25519.PrivateKey) Signed {
	return Signed{Source: source, Signature: ed25519.Sign(key, source), Operator: operator}
}

// Verify checks that a trusted operator has signed the bundle. It fails with
// BundleSignature.
func (t TrustedOperators) Verify(signed Signed) error {
	key, found := t[signed.Operator]
	if !found {
		return outcome.New(outcome.BundleSignature, outcome.NotRun, "operator %q is not trusted here", signed.Operator)
	}
	if !ed25519.Verify(key, signed.Source, signed.Signature) {
		return outcome.New(outcome.BundleSignature, outcome.NotRun, "the signature does not match the source and the key of operator %q", signed.Operator)
	}
	return nil
}
