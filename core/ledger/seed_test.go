package ledger

import "flag"

// init fixes the seed of generated cases, so that each run has the same result. The flag -rapid.seed replaces it; 0 draws
// a new seed for each run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
