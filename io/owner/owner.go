package owner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// Store is what the owner needs of the store.
type Store interface {
	Commit(ctx context.Context, c store.Change) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Advisor says which workers may run a step of an advised queue.
type Advisor interface {
	// Advise returns the tickets by worker, and how long they are valid.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

const (
	// leaseTime is the owner's lease: a killed owner is replaced after it at the latest. It bears two renewals
	// that are lost or a store that takes 250 ms.
	leaseTime = 2 * time.Second
	// renewEvery is the interval of renewals.
	renewEvery = 500 * time.Millisecond
	// leaseMargin is how much earlier than the store the owner takes its lease as ended.
	leaseMargin = 100 * time.Millisecond
	// electEvery is the interval at which a vacancy is looked for besides changes.
	electEvery = 100 * time.Millisecond
	// handicap times the round trip to the store is how long an entry leaves a vacancy to nearer ones.
	handicap = 6
	// longestHandicap bounds that time.
	longestHandicap = 400 * time.Millisecond
	// freshLimit is the age up to which the copy of the store can prove a vacancy: a watch's wait and a second.
	freshLimit = 3 * time.Second
)

// Owner takes part in the election and decides while it is elected.
type Owner struct {
	Store    Store
	Mirror   *mirror.Mirror
	Self     mirror.EntryInfo
	Settings alloc.Settings
	// Advisor is nil where there is none; steps that need tickets wait.
	Advisor Advisor
	Log     *slog.Logger
	// Meter takes counts and times; nil drops them.
	Meter *meter.Meter
	// Policy returns the declared queues and teams, and their revision; the revision is 0 before the first.
	Policy func() (batch.Policy, uint64)

	mu   sync.Mutex
	term *term
	// until is the end of the lease on the boot-time clock, in nanoseconds.
	until atomic.Int64
	// trip is the last round trip to the store in nanoseconds.
	trip atomic.Int64
}

// Run takes part in elections until ctx ends, and then gives up the ownership.
func (o *Owner) Run(ctx context.Context) {
	var vacant time.Time
	for ctx.Err() == nil {
		if !o.vacant() {
			vacant = time.Time{}
			clock.Sleep(ctx, electEvery)
			continue
		}
		if vacant.IsZero() {
			vacant = clock.Now()
		}
		if clock.Now().Sub(vacant) < o.handicap() {
			clock.Sleep(ctx, electEvery/4)
			continue
		}
		o.campaign(ctx)
		vacant = time.Time{}
	}
}

func (o *Owner) handicap() time.Duration {
	return min(longestHandicap, handicap*time.Duration(o.trip.Load()))
}

// vacant reports whether the copy of the store shows that nobody owns the system.
func (o *Owner) vacant() bool {
	_, heard, synced := o.Mirror.Status()
	_, declared := o.Policy()
	return synced && declared != 0 && clock.Now().Sub(heard) < freshLimit && o.Mirror.LeadItem(mirror.OwnerKey).Version == 0
}

// campaign tries to become the owner and decides until the ownership ends.
func (o *Owner) campaign(ctx context.Context) {
	begun := clock.Now()
	lease, err := o.Store.Grant(ctx, leaseTime)
	if err != nil {
		o.Log.Warn("no lease for the ownership", "error", err)
		clock.Sleep(ctx, electEvery+rand.N(electEvery))
		return
	}
	o.trip.Store(int64(clock.Now().Sub(begun)))
	value, err := batch.Encode(o.Self)
	if err != nil {
		o.Log.Error("encode the owner's record", "error", err)
		return
	}
	fence, err := o.Store.Commit(ctx, store.Change{
		Checks: []store.Check{{Key: mirror.OwnerKey}},
		Sets:   []store.Set{{Key: mirror.OwnerKey, Value: value, Lease: lease}},
	})
	if err != nil {
		o.Log.Info("not elected", "error", err)
		// A write without an answer may still happen; without the lease it can't.
		if err := o.Store.Revoke(ctx, lease); err != nil {
			o.Log.Warn("lease not ended", "lease", lease, "error", err)
		}
		clock.Sleep(ctx, electEvery+rand.N(electEvery))
		return
	}
	o.until.Store(begun.Add(leaseTime - leaseMargin).UnixNano())
	o.rule(ctx, fence, lease)
}

// IsOwner reports whether the ownership certainly lasts at now.
func (o *Owner) IsOwner(now time.Time) bool { return now.UnixNano() < o.until.Load() }

// rule decides until the lease is lost or ctx ends.
func (o *Owner) rule(ctx context.Context, fence, lease uint64) {
	o.Log.Info("elected", "fence", fence, "lease", lease)
	ruling, stop := context.WithCancel(ctx)
	defer stop()
	r := newTerm(o, fence)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		defer stop()
		o.renew(ruling, lease)
	}()
	if o.awaitCopy(ruling, fence) {
		o.mu.Lock()
		o.term = r
		o.mu.Unlock()
		r.run(ruling)
		o.mu.Lock()
		o.term = nil
		o.mu.Unlock()
	}
	stop()
	<-renewed
	o.until.Store(0)
	r.close()
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := o.Store.Revoke(ending, lease); err != nil {
		o.Log.Warn("lease not ended", "lease", lease, "error", err)
	}
	o.Log.Info("ownership ended", "fence", fence)
}

// awaitCopy waits until the copy of the store holds all that earlier owners wrote.
func (o *Owner) awaitCopy(ctx context.Context, fence uint64) bool {
	for ctx.Err() == nil {
		if revision, _, _ := o.Mirror.Status(); revision >= fence {
			return true
		}
		clock.Sleep(ctx, 2*time.Millisecond)
	}
	return false
}

// renew extends the lease until it is lost.
func (o *Owner) renew(ctx context.Context, lease uint64) {
	for {
		clock.Sleep(ctx, renewEvery)
		if ctx.Err() != nil {
			return
		}
		begun := clock.Now()
		call, cancel := context.WithTimeout(ctx, leaseTime/2)
		err := o.Store.Renew(call, lease)
		cancel()
		var ended *store.LeaseError
		switch {
		case err == nil:
			o.until.Store(begun.Add(leaseTime - leaseMargin).UnixNano())
			o.trip.Store(int64(clock.Now().Sub(begun)))
		case errors.As(err, &ended):
			o.Log.Warn("ownership lost: lease ended", "lease", lease)
			return
		case !o.IsOwner(clock.Now()):
			o.Log.Warn("ownership lost: lease not renewed", "lease", lease, "error", err)
			return
		}
		if err != nil {
			clock.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

// Serve answers an agent's link until it is closed.
func (o *Owner) Serve(l *link.Link) {
	o.mu.Lock()
	r := o.term
	o.mu.Unlock()
	if r == nil {
		l.Close()
		return
	}
	r.serve(l)
}
