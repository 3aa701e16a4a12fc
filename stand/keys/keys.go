package keys

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value. A watch reports a deleted key with version 0.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Lease   uint64 `json:"lease,omitempty"`

	// changedAt is the store revision of the last change, also of a deletion.
	changedAt uint64
}

// ConflictError reports that the expected version differs from the version that the key has.
type ConflictError struct{ Have uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: the key has version %d", e.Have)
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct{}

func (*NotFoundError) Error() string { return "key does not exist" }

// LeaseError reports a lease that does not exist or has expired.
type LeaseError struct{}

func (*LeaseError) Error() string { return "lease does not exist or has expired" }

type lease struct {
	ttl time.Duration
	end time.Time
}

// Keys is the in-memory store. A deleted key leaves a tombstone, from which watches report the deletion.
type Keys struct {
	mu           sync.Mutex
	revision     uint64
	items        map[string]Item
	leases       map[uint64]*lease
	lastLeaseID  uint64
	changeSignal chan struct{}
	counts       map[string]int
}

// New returns an empty store.
func New() *Keys {
	return &Keys{
		items: map[string]Item{}, leases: map[uint64]*lease{},
		changeSignal: make(chan struct{}), counts: map[string]int{},
	}
}

func (k *Keys) count(kind string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[kind] += n
}

// Stats returns the number of calls by kind and, as "bytes", the bytes written.
func (k *Keys) Stats() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]int, len(k.counts))
	for kind, n := range k.counts {
		out[kind] = n
	}
	return out
}

// Get returns a key with its value.
func (k *Keys) Get(key string) (Item, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item := k.items[key]
	if item.Version == 0 {
		return Item{}, &NotFoundError{}
	}
	return item, nil
}

// Put writes a key that has the given version, 0 for a key that does not exist, and attaches it to a lease unless leaseID is 0.
func (k *Keys) Put(key string, value []byte, version, leaseID uint64) (Item, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if leaseID != 0 && k.leases[leaseID] == nil {
		return Item{}, &LeaseError{}
	}
	if have := k.items[key].Version; have != version {
		return Item{}, &ConflictError{Have: have}
	}
	k.counts["bytes"] += len(value)
	k.revision++
	k.items[key] = Item{Key: key, Value: value, Version: k.revision, Lease: leaseID, changedAt: k.revision}
	k.notifyWatchers()
	return Item{Key: key, Version: k.revision, Lease: leaseID}, nil
}

// Delete removes a key that has the given version.
func (k *Keys) Delete(key string, version uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	have := k.items[key].Version
	if have == 0 {
		return &NotFoundError{}
	}
	if have != version {
		return &ConflictError{Have: have}
	}
	k.remove(key)
	k.notifyWatchers()
	return nil
}

func (k *Keys) remove(key string) {
	k.revision++
	k.items[key] = Item{Key: key, changedAt: k.revision}
}

func (k *Keys) notifyWatchers() {
	close(k.changeSignal)
	k.changeSignal = make(chan struct{})
}

// List returns the items whose keys begin with prefix, sorted by key, and the store revision.
func (k *Keys) List(prefix string) ([]Item, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changedSince(prefix, 0, false), k.revision
}

func (k *Keys) changedSince(prefix string, after uint64, deleted bool) []Item {
	items := []Item{}
	for key, item := range k.items {
		if strings.HasPrefix(key, prefix) && item.changedAt > after && (deleted || item.Version != 0) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// Watch is a long poll: it returns the items under prefix that changed after a revision, or none once the wait is over,
// and the store revision. Several changes of one key are reported as its latest state.
func (k *Keys) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		items, revision, changeSignal := k.changedSince(prefix, after, true), k.revision, k.changeSignal
		k.mu.Unlock()
		if len(items) > 0 {
			return items, revision
		}
		select {
		case <-changeSignal:
		case <-timer.C:
			return items, revision
		case <-ctx.Done():
			return items, revision
		}
	}
}

// Grant creates a lease and returns its identifier.
func (k *Keys) Grant(ttl time.Duration, now time.Time) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastLeaseID++
	k.leases[k.lastLeaseID] = &lease{ttl: ttl, end: now.Add(ttl)}
	return k.lastLeaseID
}

// Renew extends a lease by its ttl.
func (k *Keys) Renew(id uint64, now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[id]
	if l == nil || !now.Before(l.end) {
		return &LeaseError{}
	}
	l.end = now.Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (k *Keys) Revoke(id uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[id] == nil {
		return &LeaseError{}
	}
	k.end(id)
	k.notifyWatchers()
	return nil
}

func (k *Keys) end(id uint64) {
	delete(k.leases, id)
	for key, item := range k.items {
		if item.Version != 0 && item.Lease == id {
			k.remove(key)
		}
	}
}

// Expire ends the leases that have expired by now and deletes their keys.
func (k *Keys) Expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ended := false
	for id, l := range k.leases {
		if !now.Before(l.end) {
			k.end(id)
			ended = true
		}
	}
	if ended {
		k.notifyWatchers()
	}
}
