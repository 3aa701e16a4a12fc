// Package ledger decides at an agent which attempts may run, and records the state of each attempt so that none runs twice
// and a fenced one never runs.
package ledger
