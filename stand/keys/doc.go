// Package keys is a test double of the platform's key-value store: compare-and-swap, leases and watches, in memory.
package keys
