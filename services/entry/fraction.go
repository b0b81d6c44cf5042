package entry

import "github.com/cespare/xxhash/v2"

// fractionBits is the precision of fraction.
const fractionBits = 53

// fraction maps a request id to [0, 1), so that each of its attempts goes to
// the same service of a split route.
func fraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-fractionBits)) / (1 << fractionBits)
}
