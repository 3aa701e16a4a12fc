package store

import (
	"context"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version grows with each change of the key and is unique across all keys; 0 marks a deleted key.
	Version uint64 `json:"version"`
	// Lease is the lease that the key ends with, 0 for none.
	Lease uint64 `json:"lease,omitempty"`
}

// Store is the platform's key-value service as the whole of its calls; packages
// that need fewer calls declare a smaller interface.
type Store interface {
	// Get returns the item of key, or a NotFoundError.
	Get(ctx context.Context, key string) (Item, error)
	// Put sets key if it still has the given version (0: only if it does not exist)
	// and returns the new version; lease 0 means that the key does not expire.
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	// Delete removes key if it still has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns all items whose keys begin with prefix, in the order of their keys,
	// and the store revision that the list shows.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits until keys with prefix change after the store revision, or until the
	// service's longest wait has passed, and returns the changes (deleted keys with version 0)
	// and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64) ([]Item, uint64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease by its ttl, or returns a LeaseError.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease uint64) error
}
