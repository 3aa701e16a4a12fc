package plat_test

import (
	"errors"
	"testing"
	"time"

	"wagtailhoist/io/store"
	"wagtailhoist/stand/fault"
)

func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func TestStoreChangesUnderFaults(t *testing.T) {
	mustID := func(t *testing.T) func(uint64, error) uint64 { return must[uint64](t) }
	has := func(b *fixture, key, value string) bool {
		item, err := b.Keys.Get(key)
		return err == nil && string(item.Value) == value
	}
	testMutationsUnderFaults(t, []mutation{
		{"create", func(_ *testing.T, b *fixture) (func() error, func() bool) {
			return func() error {
				_, err := b.store.Put(b.ctx, "a/b", []byte("1"), 0, 0)
				return err
			}, func() bool { return has(b, "a/b", "1") }
		}, new(*store.ConflictError), false},
		{"update", func(t *testing.T, b *fixture) (func() error, func() bool) {
			version := mustID(t)(b.store.Put(b.ctx, "a", []byte("1"), 0, 0))
			return func() error {
				_, err := b.store.Put(b.ctx, "a", []byte("2"), version, 0)
				return err
			}, func() bool { return has(b, "a", "2") }
		}, new(*store.ConflictError), false},
		{"delete", func(t *testing.T, b *fixture) (func() error, func() bool) {
			version := mustID(t)(b.store.Put(b.ctx, "a", []byte("1"), 0, 0))
			return func() error { return b.store.Delete(b.ctx, "a", version) },
				func() bool { return !has(b, "a", "1") }
		}, new(*store.NotFoundError), false},
		{"grant", func(_ *testing.T, b *fixture) (func() error, func() bool) {
			return func() error {
				_, err := b.store.Grant(b.ctx, time.Minute)
				return err
			}, func() bool { return b.Keys.Renew(1, time.Now()) == nil }
		}, nil, false},
		{"renew", func(t *testing.T, b *fixture) (func() error, func() bool) {
			// The lease began 30 s ago and ends in 30 s, so that 45 s from now it lives only if it was renewed.
			lease := b.Keys.Grant(time.Minute, time.Now().Add(-30*time.Second))
			mustID(t)(b.store.Put(b.ctx, "a", []byte("1"), 0, lease))
			return func() error { return b.store.Renew(b.ctx, lease) }, func() bool {
				b.Keys.Expire(time.Now().Add(45 * time.Second))
				return has(b, "a", "1")
			}
		}, nil, true},
		{"revoke", func(t *testing.T, b *fixture) (func() error, func() bool) {
			lease := mustID(t)(b.store.Grant(b.ctx, time.Minute))
			mustID(t)(b.store.Put(b.ctx, "a", []byte("1"), 0, lease))
			return func() error { return b.store.Revoke(b.ctx, lease) },
				func() bool { return !has(b, "a", "1") }
		}, new(*store.LeaseError), false},
	}, func(err error) bool {
		var unavailable *store.UnavailableError
		return errors.As(err, &unavailable)
	})
}

// A write with a stale version must fail, and the error must name the expected and the actual version. A more lenient test
// double would hide lost updates.
func TestStoreConflictNamesBothVersions(t *testing.T) {
	b := newFixture(t)
	first := must[uint64](t)(b.store.Put(b.ctx, "a", []byte("1"), 0, 0))
	second := must[uint64](t)(b.store.Put(b.ctx, "a", []byte("2"), first, 0))
	_, err := b.store.Put(b.ctx, "a", []byte("3"), first, 0)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || conflict.Want != first || conflict.Have != second {
		t.Errorf("got %v, want a conflict of %d with %d", err, first, second)
	}
	if err := b.store.Delete(b.ctx, "a", second); err != nil {
		t.Fatal(err)
	}
	if third := must[uint64](t)(b.store.Put(b.ctx, "a", []byte("4"), 0, 0)); third <= second {
		t.Errorf("version after deletion: got %d, want more than %d", third, second)
	}
}

// An owner must not retain a key after its lease has expired: expiry deletes the key, a watch reports the deletion, and
// neither renewing the lease nor writing a key under it succeeds.
func TestStoreLeaseExpiry(t *testing.T) {
	b := newFixture(t)
	lease := must[uint64](t)(b.store.Grant(b.ctx, time.Minute))
	must[uint64](t)(b.store.Put(b.ctx, "owner/x", []byte("1"), 0, lease))
	_, revision, err := b.store.List(b.ctx, "owner/")
	if err != nil {
		t.Fatal(err)
	}
	go b.Keys.Expire(time.Now().Add(2 * time.Minute))
	items, next, err := b.store.Watch(b.ctx, "owner/", revision)
	if err != nil || len(items) != 1 || items[0].Key != "owner/x" || items[0].Version != 0 || next <= revision {
		t.Errorf("watch: got %v, %d, %v, want the deletion of owner/x", items, next, err)
	}
	var ended *store.LeaseError
	if err := b.store.Renew(b.ctx, lease); !errors.As(err, &ended) {
		t.Errorf("renewing: got %v, want a lease error", err)
	}
	if _, err := b.store.Put(b.ctx, "owner/x", nil, 0, lease); !errors.As(err, &ended) {
		t.Errorf("writing: got %v, want a lease error", err)
	}
}

// A list must be sorted and restricted to its prefix, the counters must count each call, and a fault of the worker service
// must not affect the store.
func TestStoreListAndStats(t *testing.T) {
	b := newFixture(t)
	for _, key := range []string{"p/2", "q/1", "p/1"} {
		must[uint64](t)(b.store.Put(b.ctx, key, []byte(key), 0, 0))
	}
	items, _, err := b.store.List(b.ctx, "p/")
	if err != nil || len(items) != 2 || items[0].Key != "p/1" || string(items[1].Value) != "p/2" {
		t.Errorf("list: got %v, %v", items, err)
	}
	if got := b.Keys.Stats(); got["put"] != 3 || got["list"] != 1 {
		t.Errorf("stats: got %v, want 3 puts and 1 list", got)
	}
	var missing *store.NotFoundError
	if _, err := b.store.Get(b.ctx, "none"); !errors.As(err, &missing) {
		t.Errorf("get: got %v, want not found", err)
	}
	b.Faults.Add(fault.Fault{Mode: fault.Down, Service: "works"})
	if _, err := b.store.Get(b.ctx, "p/1"); err != nil {
		t.Errorf("reading from the store during a fault of the worker service: got %v, want no error", err)
	}
}
