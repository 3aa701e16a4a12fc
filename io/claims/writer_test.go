package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/core/claim"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sortItems(items []store.Item) {
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
}

func newWriter(t *testing.T, f *fakeStore) *Writer {
	w := &Writer{Store: f, Shards: 2, MinWriteInterval: 5 * time.Millisecond}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		w.Close(ctx)
		f.late.Wait()
	})
	return w
}

func attemptID(entry, n int) model.Attempt {
	return model.Attempt{Entry: model.Incarnation(entry), Sequence: uint64(n)}
}

// The store takes several hundred writes per second, so claims made at the same time must share writes.
func TestClaimsShareWrites(t *testing.T) {
	f := newFakeStore()
	w := newWriter(t, f)
	var all sync.WaitGroup
	for i := range 400 {
		all.Go(func() {
			if err := w.Claim(t.Context(), "team", fmt.Sprint(i), attemptID(1, i)); err != nil {
				t.Errorf("claim %d: %v", i, err)
			}
		})
	}
	all.Wait()
	if got := w.Counters.Writes.Load(); got > 20 {
		t.Errorf("writes for 400 claims in 2 shards: got %d, want at most 20", got)
	}
}

// A request that is sent again through another entry must not run twice. The same key of another team is a
// different key.
func TestDuplicate(t *testing.T) {
	f := newFakeStore()
	one, two := newWriter(t, f), newWriter(t, f)
	// The second writer reads the shard while it is empty, before the first one claims.
	if err := two.Claim(t.Context(), "other", "k", attemptID(2, 1)); err != nil {
		t.Fatal(err)
	}
	if err := one.Claim(t.Context(), "team", "k", attemptID(1, 1)); err != nil {
		t.Fatal(err)
	}
	err := two.Claim(t.Context(), "team", "k", attemptID(2, 2))
	var duplicate *claim.DuplicateError
	if !errors.As(err, &duplicate) || duplicate.Holder != attemptID(1, 1) {
		t.Fatalf("got %v, want a duplicate of %v", err, attemptID(1, 1))
	}
	if err := one.Release(t.Context(), "team", "k", attemptID(1, 1)); err != nil {
		t.Fatal(err)
	}
	if err := two.Claim(t.Context(), "team", "k", attemptID(2, 3)); err != nil {
		t.Errorf("released key: got %v, want a claim", err)
	}
}

// A refusal during an outage tells the client that the request did not run, so the key must be free once
// the store is available again, whether the write was not made, made without an answer, or made late.
func TestOutage(t *testing.T) {
	for name, kind := range map[string]fault{"down": down, "lost": lost, "late": late} {
		t.Run(name, func(t *testing.T) {
			f := newFakeStore()
			w := newWriter(t, f)
			if err := w.Claim(t.Context(), "team", "before", attemptID(1, 1)); err != nil {
				t.Fatal(err)
			}
			f.setFault(func(string) fault { return kind })
			start := time.Now()
			err := w.Claim(t.Context(), "team", "k", attemptID(1, 2))
			var unavailable *claim.UnavailableError
			if !errors.As(err, &unavailable) {
				t.Fatalf("got %v, want an UnavailableError", err)
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("refusal took %v", took)
			}
			f.setFault(nil)
			if err := w.Claim(t.Context(), "team", "k", attemptID(1, 3)); err != nil {
				t.Errorf("after the outage: %v", err)
			}
		})
	}
}

// If the store makes a write but its answer is lost, the request that holds the key must not be refused as
// a duplicate of itself.
func TestLostAnswerIsReadBack(t *testing.T) {
	f := newFakeStore()
	w := newWriter(t, f)
	puts := 0
	f.setFault(func(call string) fault {
		if call == "put" {
			puts++
			if puts%2 == 0 {
				return lost
			}
		}
		return none
	})
	for i := range 20 {
		if err := w.Claim(t.Context(), "team", fmt.Sprint(i), attemptID(1, i)); err != nil {
			t.Fatalf("claim %d: %v", i, err)
		}
	}
}

// A caller that stops waiting while the store is slow reports that its request did not run, so its key
// must be released.
func TestClaimOfAbandonedCallIsReleased(t *testing.T) {
	f := newFakeStore()
	f.delay = 30 * time.Millisecond
	w := newWriter(t, f)
	for i := range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*15+1)*time.Millisecond)
		key := fmt.Sprint(i)
		if w.Claim(ctx, "team", key, attemptID(1, i)) != nil {
			if err := w.Claim(t.Context(), "team", key, attemptID(2, i)); err != nil {
				t.Errorf("key of a call abandoned after %d ms: %v", i*15+1, err)
			}
		}
		cancel()
	}
}

// Two entries must never both hold a key. Several entries race for few keys over a store with all faults
// at once; the test of core/claim orders the calls, this one covers the goroutines, timers and queues.
func TestWritersRace(t *testing.T) {
	f := newFakeStore()
	f.setFault(func(string) fault { return fault(max(0, rand.IntN(20)-15)) })
	var mu sync.Mutex
	granted := map[string]model.Attempt{}
	var all sync.WaitGroup
	for entry := range 3 {
		w := newWriter(t, f)
		w.SegmentBytes = 400
		for caller := range 8 {
			all.Go(func() {
				for i := range 30 {
					key, id := fmt.Sprint(rand.IntN(60)), attemptID(entry+1, caller*100+i)
					if w.Claim(t.Context(), "team", key, id) != nil {
						continue
					}
					mu.Lock()
					if other, ok := granted[key]; ok {
						t.Errorf("key %s granted to %v and %v", key, other, id)
					}
					granted[key] = id
					release := rand.IntN(3) == 0
					if release {
						delete(granted, key)
					}
					mu.Unlock()
					if release {
						_ = w.Release(t.Context(), "team", key, id)
					}
				}
			})
		}
	}
	all.Wait()
	if len(granted) < 40 {
		t.Errorf("granted keys: got %d of 60, want at least 40 for a meaningful check", len(granted))
	}
	f.setFault(nil)
}
