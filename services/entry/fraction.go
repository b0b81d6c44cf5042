package entry

import "github.com/cespare/xxhash/v2"

// fractionBits is the precision of fraction in bits, that of a float64 mantissa.
const fractionBits = 53

// fraction hashes a request ID to [0, 1), so that every attempt of a request goes
// to the same service of a split route.
func fraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-fractionBits)) / (1 << fractionBits)
}
