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
	// entryLeaseTTL is how long a dead entry stays registered. A call that is forwarded through it is refused, and is then
	// tried through another entry.
	entryLeaseTTL = 10 * time.Second
	// entryRenewInterval is the interval between renewals of the entry's lease.
	entryRenewInterval = 2500 * time.Millisecond
	// entryRetryPause is the pause before a failed registration is retried.
	entryRetryPause = 300 * time.Millisecond
)

// Register keeps this entry registered in the store, where the other processes find its address, until ctx ends.
func (o *Owner) Register(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := o.writeEntry(ctx)
		if err != nil {
			o.Log.Info("entry not registered in the store; retrying", "error", err)
			clock.Sleep(ctx, entryRetryPause)
			continue
		}
		o.Log.Info("entry registered in the store", "lease", lease)
		o.renewEntry(ctx, lease)
	}
}

// writeEntry writes the entry's record under a new lease and returns the lease. An existing record is overwritten: it
// was written by an earlier process of this entry.
func (o *Owner) writeEntry(ctx context.Context) (uint64, error) {
	lease, err := o.Store.Grant(ctx, entryLeaseTTL)
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

// renewEntry renews the entry's lease until it has ended or ctx ends.
func (o *Owner) renewEntry(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, entryRenewInterval)
		err := o.Store.Renew(ctx, lease)
		var leaseErr *store.LeaseError
		if errors.As(err, &leaseErr) {
			o.Log.Info("entry's lease has ended; registering the entry again", "lease", lease)
			return
		}
		if err != nil {
			o.Log.Debug("entry's lease not renewed; retrying", "lease", lease, "error", err)
		}
	}
}
