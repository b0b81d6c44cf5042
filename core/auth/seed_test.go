package auth

import "flag"

// init sets a fixed seed for the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
