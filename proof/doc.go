// Package proof holds the tests that run the binaries as separate processes and
// check the invariants of docs/design.md under kills, pauses and cuts.
package proof
