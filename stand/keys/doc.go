// Package keys stands in for the platform's key-value store: compare-and-swap, leases and watches in memory.
package keys
