package mirror

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/io/clock"
	"wagtailhoist/io/store"
)

// Store has the store's calls for lists and watches. Both return the revision to continue watching from.
type Store interface {
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error)
}

const (
	// minRetryPause and maxRetryPause bound the pause after a failed call, which doubles with each failure in a row. The
	// platform expects work to go on within 2 s of the end of an outage.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Follower calls Apply with the items below a prefix and then with each change.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Apply receives items and the revision of the store that they lead to. With full, they are all items below the prefix
	// and replace those applied before; otherwise they are changes. A deleted key has version 0.
	Apply func(items []store.Item, revision uint64, full bool)
	// Contacted is called after each call that succeeded; it may be nil.
	Contacted func()
	Log       *slog.Logger
}

// Run lists and watches the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	listed, unreachable := false, false
	retryPause := minRetryPause
	for ctx.Err() == nil {
		items, next, err := f.next(ctx, listed, revision)
		if err == nil {
			if unreachable {
				f.Log.Info("store answers the watch again", "prefix", f.Prefix, "revision", next)
			}
			unreachable, retryPause = false, minRetryPause
			if f.Contacted != nil {
				f.Contacted()
			}
			if !listed || len(items) > 0 || next != revision {
				f.Apply(items, next, !listed)
			}
			listed, revision = true, next
			continue
		}
		var historyErr *store.HistoryError
		if errors.As(err, &historyErr) {
			f.Log.Info("changes since the watched revision are gone or too long; listing again", "prefix", f.Prefix, "revision", revision)
			listed = false
			continue
		}
		if !unreachable && ctx.Err() == nil {
			f.Log.Warn("watch of the store failed; retrying", "prefix", f.Prefix, "revision", revision, "error", err)
		}
		unreachable = true
		clock.Sleep(ctx, retryPause)
		retryPause = min(2*retryPause, maxRetryPause)
	}
}

// next returns all items if none have been listed yet, and otherwise the changes after revision.
func (f *Follower) next(ctx context.Context, listed bool, revision uint64) ([]store.Item, uint64, error) {
	if !listed {
		return f.Store.List(ctx, f.Prefix)
	}
	return f.Store.Watch(ctx, f.Prefix, revision, f.Wait)
}
