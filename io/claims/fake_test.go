package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"wagtailhoist/io/store"
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]store.Item
	version uint64
	// delay is how long each call takes.
	delay time.Duration
	// fault chooses the fault of a call; nil means no faults.
	fault func(call string) fault
	late  sync.WaitGroup
}

// fault is a failure of a store call.
type fault uint8

const (
	none fault = iota
	down       // no effect and no answer
	lost       // effect but no answer
	late       // effect after the caller got an error
	slow
)

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]store.Item{}, delay: time.Millisecond}
}

func (f *fakeStore) setFault(fn func(string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fn
}

var errDown = errors.New("connection refused")

func (f *fakeStore) call(ctx context.Context, op string, do func() error) error {
	f.mu.Lock()
	kind, delay := none, f.delay
	if f.fault != nil {
		kind = f.fault(op)
	}
	f.mu.Unlock()
	locked := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		return do()
	}
	if kind == late && op != "put" && op != "delete" {
		kind = down
	}
	if kind == slow {
		delay *= 20
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return &store.UnavailableError{Op: op, Cause: ctx.Err()}
	}
	switch kind {
	case none, slow:
		return locked()
	case lost:
		_ = locked()
	case late:
		f.late.Go(func() {
			time.Sleep(rand.N(20 * time.Millisecond))
			_ = locked()
		})
	case down:
	}
	return &store.UnavailableError{Op: op, Cause: errDown}
}

func (f *fakeStore) Get(ctx context.Context, key string) (item store.Item, err error) {
	err = f.call(ctx, "get", func() error {
		var ok bool
		if item, ok = f.items[key]; !ok {
			return &store.NotFoundError{Key: key}
		}
		return nil
	})
	return item, err
}

func (f *fakeStore) check(key string, version uint64) error {
	if have := f.items[key].Version; have != version {
		return &store.ConflictError{Key: key, Want: version, Have: have}
	}
	return nil
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, version, _ uint64) (uint64, error) {
	var now uint64
	err := f.call(ctx, "put", func() error {
		if err := f.check(key, version); err != nil {
			return err
		}
		f.version++
		now = f.version
		f.items[key] = store.Item{Key: key, Value: value, Version: now}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return now, nil
}

func (f *fakeStore) Delete(ctx context.Context, key string, version uint64) error {
	return f.call(ctx, "delete", func() error {
		if err := f.check(key, version); err != nil {
			return err
		}
		delete(f.items, key)
		return nil
	})
}

func (f *fakeStore) List(ctx context.Context, prefix string) (items []store.Item, revision uint64, err error) {
	err = f.call(ctx, "list", func() error {
		for key, item := range f.items {
			if strings.HasPrefix(key, prefix) {
				items = append(items, item)
			}
		}
		revision = f.version
		return nil
	})
	sortItems(items)
	return items, revision, err
}
