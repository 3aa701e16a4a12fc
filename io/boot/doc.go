// Package boot reads the clock by which leases are judged.
package boot
