package plan

import "flag"

// init fixes the seed of generated cases, so that every run gives the same result. The flag -rapid.seed overrides it; 0
// draws a new seed.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
