// Package claims claims idempotency keys in the store, several in one write if they are claimed at about
// the same time.
package claims
