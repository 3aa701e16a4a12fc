package evac

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wagtailhoist/core/evac"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// currentSlack is how much longer than the wait of a watch the set may be without an answer of the store: a call takes a
	// quarter of a second when the store is slow.
	currentSlack = 500 * time.Millisecond
	// refreshTimeout bounds the listing for which a start waits.
	refreshTimeout = 500 * time.Millisecond
	// refreshPause is the pause after a failed listing, in which starts use the last known set.
	refreshPause = time.Second
	// retryWait is the wait of the first watch after a failed call. Its early answer shows that the set is current again.
	retryWait = 50 * time.Millisecond
	// maxOddKeys bounds the keys without a name of a data centre that are remembered in order to log each once.
	maxOddKeys = 64
)

// Watcher keeps the set of evacuated data centres. It is ready to run once the exported fields are set.
type Watcher struct {
	Store mirror.Store
	// Prefix is that of the keys of all requests.
	Prefix string
	// Centre returns the data centre that a key names, and false if it names none.
	Centre func(key string) (string, bool)
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Changed is called with the number of evacuated data centres after each change; it may be nil.
	Changed func(evacuated int)
	Log     *slog.Logger

	mu       sync.Mutex
	set      evac.Set
	revision uint64
	synced   bool
	// asOf is a time at which the set was that of the store, on the boot-time clock: the beginning of the last call that the
	// store answered. Its end would be too late, since this process may be suspended while the answer waits.
	asOf time.Time
	// oddKeys are the keys without a name of a data centre that have been logged.
	oddKeys map[string]bool

	// refreshing is held during a listing by Refresh; failedAt is when the last one that failed began.
	refreshing sync.Mutex
	failedAt   time.Time
}

// Run follows the requests until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	f := &mirror.Follower{Store: &timedStore{watcher: w}, Prefix: w.Prefix, Wait: w.Wait, Apply: w.apply, Log: w.Log}
	f.Run(ctx)
}

// timedStore records when the calls of the follower began, and shortens the first watch after a failed call.
type timedStore struct {
	watcher *Watcher
	// begun is when the last call began, answered whether the store has answered it.
	begun    time.Time
	answered bool
}

// List lists the items below a prefix.
func (s *timedStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	s.begin()
	items, revision, err := s.watcher.Store.List(ctx, prefix)
	s.answered = err == nil
	return items, revision, err
}

// Watch waits for changes below a prefix.
func (s *timedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if !s.answered {
		wait = min(wait, retryWait)
	}
	s.begin()
	items, revision, err := s.watcher.Store.Watch(ctx, prefix, after, wait)
	s.answered = err == nil
	return items, revision, err
}

// begin notes that a call begins. The follower makes one call after the other, so that it has applied the last answer.
func (s *timedStore) begin() {
	if s.answered {
		s.watcher.recordContact(s.begun)
	}
	s.begun = clock.Now()
}

// recordContact notes that the set is that of the store as of a time.
func (w *Watcher) recordContact(asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asOf.After(w.asOf) {
		w.asOf = asOf
	}
}

// apply applies the items of a listing, if full, or the changes up to a revision.
func (w *Watcher) apply(items []store.Item, revision uint64, full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := len(w.set.Centres())
	if full {
		w.set.Replace(w.requests(items), revision)
	} else {
		for _, c := range w.changes(items, revision) {
			w.set.Apply(c)
		}
	}
	w.revision = max(w.revision, revision)
	changed := !w.synced || len(w.set.Centres()) != before
	w.synced = true
	if changed && w.Changed != nil {
		w.Changed(len(w.set.Centres()))
	}
}

// requests translates the items of a listing.
func (w *Watcher) requests(items []store.Item) []evac.Request {
	var list []evac.Request
	for _, item := range items {
		if centre, ok := w.centre(item.Key); ok && item.Version != 0 {
			list = append(list, evac.Request{Centre: centre, Version: item.Version})
		}
	}
	return list
}

// changes translates the last change of each key among the items of a watch. A withdrawal has no version of its own; it counts
// as one of the revision that the watch has reached, before which the key doesn't change again.
func (w *Watcher) changes(items []store.Item, revision uint64) []evac.Change {
	last := map[string]store.Item{}
	for _, item := range items {
		last[item.Key] = item
	}
	var list []evac.Change
	for key, item := range last {
		centre, ok := w.centre(key)
		switch {
		case !ok:
		case item.Version == 0:
			list = append(list, evac.Change{Centre: centre, Version: revision})
		default:
			list = append(list, evac.Change{Centre: centre, Version: item.Version, Evacuated: true})
		}
	}
	return list
}

// centre returns the data centre that a key names. A key that names none is logged once.
func (w *Watcher) centre(key string) (string, bool) {
	centre, ok := w.Centre(key)
	if !ok && !w.oddKeys[key] && len(w.oddKeys) < maxOddKeys {
		if w.oddKeys == nil {
			w.oddKeys = map[string]bool{}
		}
		w.oddKeys[key] = true
		w.Log.Warn("evacuation request ignored: it names no data centre", "key", key)
	}
	return centre, ok
}

// Synced reports whether the requests have been listed.
func (w *Watcher) Synced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.synced
}

// Snapshot returns the evacuated data centres and the store's revision that they were last read at.
func (w *Watcher) Snapshot() (evac.Set, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Clone(), w.revision
}

// Contains reports whether a data centre is evacuated as far as is known.
func (w *Watcher) Contains(centre string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Contains(centre)
}

// AsOf returns a time at which the set was that of the store, on the boot-time clock; it is zero before the first listing.
func (w *Watcher) AsOf() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asOf
}

// current reports whether the store has answered lately enough for the set to be up to date.
func (w *Watcher) current(now time.Time) bool { return now.Sub(w.AsOf()) <= w.Wait+currentSlack }

// Refresh lists the requests if the store has been silent for too long, as after a suspension of this process or while a watch
// hangs, so that the caller doesn't act on an old set. If the store doesn't answer, the last known set stays.
func (w *Watcher) Refresh(ctx context.Context) {
	if w.current(clock.Now()) {
		return
	}
	w.refreshing.Lock()
	defer w.refreshing.Unlock()
	begun := clock.Now()
	if w.current(begun) || !w.failedAt.IsZero() && begun.Sub(w.failedAt) < refreshPause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	items, revision, err := w.Store.List(ctx, w.Prefix)
	if err != nil {
		w.failedAt = begun
		w.Log.Warn("evacuated data centres may be out of date: they could not be read", "age", begun.Sub(w.AsOf()).Milliseconds(), "error", err)
		return
	}
	w.apply(items, revision, true)
	w.recordContact(begun)
}
