package config

import "flag"

// init fixes the seed of the generated cases, so that every run has the same result. The flag -rapid.seed overrides it;
// 0 draws a random seed.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
