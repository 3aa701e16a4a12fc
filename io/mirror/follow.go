package mirror

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/io/clock"
	"wagtailhoist/io/store"
)

// Store is what a follower needs of the store.
type Store interface {
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error)
}

const (
	// firstRetry and longestRetry bound the pause after a failed call: the platform expects work to go on within 2 s of an outage.
	firstRetry   = 40 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// Follower calls Apply with the items below a prefix and then with each change.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Apply takes items; full says that they are all there are, whatever was applied before. Deleted keys have version 0.
	Apply func(items []store.Item, revision uint64, full bool)
	// Contacted is called after each call that succeeded; it may be nil.
	Contacted func()
	Log       *slog.Logger
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	listed, lost := false, false
	pause := firstRetry
	for ctx.Err() == nil {
		items, next, err := f.next(ctx, listed, revision)
		if err == nil {
			if lost {
				f.Log.Info("store regained", "prefix", f.Prefix, "revision", next)
			}
			lost, pause = false, firstRetry
			if f.Contacted != nil {
				f.Contacted()
			}
			if !listed || len(items) > 0 || next != revision {
				f.Apply(items, next, !listed)
			}
			listed, revision = true, next
			continue
		}
		var history *store.HistoryError
		if errors.As(err, &history) {
			f.Log.Info("history is gone, listing again", "prefix", f.Prefix, "revision", revision)
			listed = false
			continue
		}
		if !lost && ctx.Err() == nil {
			f.Log.Warn("store lost", "prefix", f.Prefix, "revision", revision, "error", err)
		}
		lost = true
		clock.Sleep(ctx, pause)
		pause = min(2*pause, longestRetry)
	}
}

func (f *Follower) next(ctx context.Context, listed bool, revision uint64) ([]store.Item, uint64, error) {
	if !listed {
		return f.Store.List(ctx, f.Prefix)
	}
	return f.Store.Watch(ctx, f.Prefix, revision, f.Wait)
}
