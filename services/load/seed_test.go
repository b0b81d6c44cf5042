package load

import "flag"

// init fixes the seed of the property tests, so that they are repeatable;
// -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
