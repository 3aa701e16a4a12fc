// Package store defines the calls and errors of the platform's key-value service (compare-and-swap, transactions, leases,
// watches) and implements its client over HTTP.
package store
