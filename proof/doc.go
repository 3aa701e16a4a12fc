// Package proof tests the built binaries as separate processes. It kills, pauses and disconnects them and checks
// that the invariants P1 to P8 of docs/design.md hold.
package proof
