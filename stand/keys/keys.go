package keys

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value; a deleted key has version 0 in a list of changes.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Lease   uint64 `json:"lease,omitempty"`

	// changed is the store revision of the last change, also of a deletion.
	changed uint64
}

// Conflict reports the version that the key has.
type Conflict struct{ Have uint64 }

func (e *Conflict) Error() string { return fmt.Sprintf("version is %d", e.Have) }

// Missing reports an unknown key.
type Missing struct{}

func (*Missing) Error() string { return "no such key" }

// Ended reports an unknown lease.
type Ended struct{}

func (*Ended) Error() string { return "no such lease" }

type lease struct {
	ttl time.Duration
	end time.Time
}

// Keys is the store; deleted keys leave a tombstone so that watches can report them.
type Keys struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
	counts   map[string]int
}

// New returns an empty store.
func New() *Keys {
	return &Keys{
		items: map[string]Item{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), counts: map[string]int{},
	}
}

func (k *Keys) count(kind string, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[kind] += n
}

// Stats returns calls by kind and the bytes written.
func (k *Keys) Stats() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]int, len(k.counts))
	for kind, n := range k.counts {
		out[kind] = n
	}
	return out
}

// Get returns a key.
func (k *Keys) Get(key string) (Item, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item := k.items[key]
	if item.Version == 0 {
		return Item{}, &Missing{}
	}
	return item, nil
}

// Put sets a key by compare-and-swap.
func (k *Keys) Put(key string, value []byte, version, id uint64) (Item, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if id != 0 && k.leases[id] == nil {
		return Item{}, &Ended{}
	}
	if have := k.items[key].Version; have != version {
		return Item{}, &Conflict{Have: have}
	}
	k.counts["bytes"] += len(value)
	k.revision++
	k.items[key] = Item{Key: key, Value: value, Version: k.revision, Lease: id, changed: k.revision}
	k.wake()
	return Item{Key: key, Version: k.revision, Lease: id}, nil
}

// Delete removes a key that has the given version.
func (k *Keys) Delete(key string, version uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	have := k.items[key].Version
	if have == 0 {
		return &Missing{}
	}
	if have != version {
		return &Conflict{Have: have}
	}
	k.remove(key)
	k.wake()
	return nil
}

func (k *Keys) remove(key string) {
	k.revision++
	k.items[key] = Item{Key: key, changed: k.revision}
}

func (k *Keys) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// List returns the keys with a prefix in order, and the store revision.
func (k *Keys) List(prefix string) ([]Item, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.since(prefix, 0, false), k.revision
}

func (k *Keys) since(prefix string, after uint64, deleted bool) []Item {
	items := []Item{}
	for key, item := range k.items {
		if strings.HasPrefix(key, prefix) && item.changed > after && (deleted || item.Version != 0) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// Watch returns the keys with a prefix that changed after a revision, or none after the wait.
// Several changes of one key are reported as its latest state.
func (k *Keys) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		items, revision, changed := k.since(prefix, after, true), k.revision, k.changed
		k.mu.Unlock()
		if len(items) > 0 {
			return items, revision
		}
		select {
		case <-changed:
		case <-timer.C:
			return items, revision
		case <-ctx.Done():
			return items, revision
		}
	}
}

// Grant creates a lease.
func (k *Keys) Grant(ttl time.Duration, now time.Time) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	k.leases[k.last] = &lease{ttl: ttl, end: now.Add(ttl)}
	return k.last
}

// Renew extends a lease.
func (k *Keys) Renew(id uint64, now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[id]
	if l == nil || !now.Before(l.end) {
		return &Ended{}
	}
	l.end = now.Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (k *Keys) Revoke(id uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[id] == nil {
		return &Ended{}
	}
	k.end(id)
	k.wake()
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

// Expire ends the leases that are over at now.
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
		k.wake()
	}
}
