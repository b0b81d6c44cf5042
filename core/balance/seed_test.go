package balance

import "flag"

// init makes property tests reproducible; -rapid.seed overrides the seed.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
