// Package ledger decides at an agent which attempts may run and remembers what became of each one.
package ledger
