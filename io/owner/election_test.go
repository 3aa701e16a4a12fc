package owner

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
)

// ownerFence returns the version of the owner key, 0 if there is none.
func ownerFence(s *memoryStore) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[mirror.OwnerKey].Version
}

// share returns a change of an entry's share.
func share(cores float64) func(*Owner) { return func(o *Owner) { o.Self.Share = cores } }

// An owner whose store was down for longer than its lease went on only after another election, although the store had kept
// its lease: for seconds after the store's return nobody decided.
func TestOwnerGoesOnAfterAnOutageThatKeepsLeases(t *testing.T) {
	for _, lapse := range []bool{false, true} {
		t.Run(fmt.Sprintf("lapse-%v", lapse), func(t *testing.T) {
			s := newMemoryStore()
			e := newEntry(t, s, "e1", batch.Policy{}, nil)
			waitFor(t, "election", func() bool { return e.IsOwner(clock.Now()) })
			fence := ownerFence(s)
			s.setDown(true, false)
			waitFor(t, "end of the lease", func() bool { return !e.IsOwner(clock.Now()) })
			time.Sleep(leaseTTL)
			s.setDown(false, lapse)
			waitFor(t, "owner after the outage", func() bool { return e.IsOwner(clock.Now()) })
			if got := ownerFence(s); (got == fence) == lapse {
				t.Errorf("got fence %d after the outage, before it %d; want the same only if leases were kept", got, fence)
			}
		})
	}
}

// A VM with little processor time must not lead while a stronger one can, also if it was elected before the strong one came.
func TestStrongEntryLeads(t *testing.T) {
	s := newMemoryStore()
	newEntry(t, s, "weak", batch.Policy{}, share(0.2))
	waitFor(t, "election of the only entry", func() bool { return ownerID(t, s) == "weak" })
	newEntry(t, s, "strong", batch.Policy{}, share(0.8))
	waitFor(t, "hand-over", func() bool { return ownerID(t, s) == "strong" })
	time.Sleep(leaseTTL)
	if got, want := ownerID(t, s), "strong"; got != want {
		t.Errorf("owner some time after the hand-over: got %q, want %q", got, want)
	}
}

// Two entries must never act as owners at the same time, whatever the order of kills, outages and hand-overs.
func TestOwnersNeverOverlap(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(seed))
			s := newMemoryStore()
			var mu sync.Mutex
			entries := map[string]*entry{}
			add := func(id string) {
				e := newEntry(t, s, id, batch.Policy{}, share([]float64{0.2, 0.8}[rng.Intn(2)]))
				mu.Lock()
				defer mu.Unlock()
				entries[id] = e
			}
			for i := range 3 {
				add(fmt.Sprintf("e%d", i))
			}
			stop := make(chan struct{})
			var watch sync.WaitGroup
			watch.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
					}
					mu.Lock()
					var owners []string
					now := clock.Now()
					for id, e := range entries {
						if e.IsOwner(now) {
							owners = append(owners, id)
						}
					}
					mu.Unlock()
					if len(owners) > 1 {
						t.Errorf("owners at the same time: %v", owners)
						return
					}
				}
			})
			for i := range 12 {
				switch rng.Intn(3) {
				case 0:
					s.setDown(true, false)
					time.Sleep(time.Duration(rng.Intn(2000)) * time.Millisecond)
					s.setDown(false, rng.Intn(2) == 0)
				case 1:
					if id := ownerID(t, s); id != "" {
						mu.Lock()
						e := entries[id]
						delete(entries, id)
						mu.Unlock()
						e.stop()
						<-e.done
						add(fmt.Sprintf("n%d", i))
					}
				}
				time.Sleep(time.Duration(rng.Intn(800)) * time.Millisecond)
			}
			close(stop)
			watch.Wait()
		})
	}
}
