// Package store is the client of the platform's key-value service: compare-and-swap, leases and watches.
package store
