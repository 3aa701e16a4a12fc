package store

import (
	"context"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version increases with each change of the key and is unique across all keys; 0 marks a deleted key.
	Version uint64 `json:"version"`
	// Lease is the lease at whose end the key is deleted; 0 means none.
	Lease uint64 `json:"lease,omitempty"`
}

// Store has all calls of the platform's key-value service. Packages that need fewer calls declare a smaller interface.
type Store interface {
	// Get returns the item of key, or a NotFoundError.
	Get(ctx context.Context, key string) (Item, error)
	// Put sets key if it still has version (0: only if it does not exist) and returns the new version. Otherwise
	// it returns a ConflictError. Lease 0 means that the key does not expire.
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	// Delete removes key if it still has version, and otherwise returns a ConflictError.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns all items whose keys begin with prefix, ordered by key, and the store revision that the list shows.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits until a key with prefix changes after the store revision after, or until the service's longest
	// wait has passed. It returns the changes (deleted keys have version 0) and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64) ([]Item, uint64, error)
	// Grant creates a lease that lasts for ttl and returns its identifier.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease by its ttl, or returns a LeaseError.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease uint64) error
}
