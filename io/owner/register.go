package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// entryLease is how long a dead entry stays known; a call by way of it is tried elsewhere after a refusal.
	entryLease = 10 * time.Second
	// entryRenew is the interval of renewals.
	entryRenew = 2500 * time.Millisecond
	// entryPause is the pause after a failure.
	entryPause = 300 * time.Millisecond
)

// Register keeps this entry known to the other processes until ctx ends.
func (o *Owner) Register(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := o.enter(ctx)
		if err != nil {
			o.Log.Info("entry not registered", "error", err)
			clock.Sleep(ctx, entryPause)
			continue
		}
		o.Log.Info("entry registered", "lease", lease)
		o.stay(ctx, lease)
	}
}

// enter writes the entry's record, whatever stood there: it is of this entry's earlier life.
func (o *Owner) enter(ctx context.Context) (uint64, error) {
	lease, err := o.Store.Grant(ctx, entryLease)
	if err != nil {
		return 0, err
	}
	value, err := batch.Encode(o.Self)
	if err != nil {
		return 0, err
	}
	_, err = o.Store.Commit(ctx, store.Change{Sets: []store.Set{{Key: mirror.EntryPrefix + o.Self.ID, Value: value, Lease: lease}}})
	return lease, err
}

// stay renews the lease until it has ended.
func (o *Owner) stay(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, entryRenew)
		err := o.Store.Renew(ctx, lease)
		var ended *store.LeaseError
		if errors.As(err, &ended) {
			o.Log.Info("entry's lease ended", "lease", lease)
			return
		}
		if err != nil {
			o.Log.Debug("entry's lease not renewed", "lease", lease, "error", err)
		}
	}
}
