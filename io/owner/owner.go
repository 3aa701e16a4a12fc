package owner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/elect"
	"wagtailhoist/core/evac"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// Store has the store's calls for leases and changes.
type Store interface {
	Commit(ctx context.Context, c store.Change) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Advisor calls the advice service, which decides which workers may run a step that needs a ticket.
type Advisor interface {
	// Advise returns a ticket for each worker that may run the step, by worker id, and how long the tickets are valid.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// Evacuations follows the operators' requests to evacuate data centres.
type Evacuations interface {
	// Synced reports whether the requests have been listed.
	Synced() bool
	// Snapshot returns the evacuated data centres and the store's revision that they were read at.
	Snapshot() (evac.Set, uint64)
	// AsOf returns a time at which the set was that of the store, on the boot-time clock.
	AsOf() time.Time
}

const (
	// leaseTTL is the duration of the owner's lease: once it has run out, a killed owner can be replaced. It tolerates a lost
	// renewal, or a store that takes 400 ms to answer.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval is the interval between renewals of the owner's lease.
	renewInterval = 300 * time.Millisecond
	// renewRetryPause is the pause after a failed renewal. The agents wait for it to extend their leases after an outage of the store.
	renewRetryPause = 100 * time.Millisecond
	// leaseMargin is how long before the end of its lease the owner stops deciding, so that it has stopped when the store
	// lets the lease expire.
	leaseMargin = 100 * time.Millisecond
	// electionPoll is the interval at which an entry checks whether there is an owner.
	electionPoll = 50 * time.Millisecond
	// mirrorMaxAge bounds the time since the store last answered the mirror; an older mirror doesn't prove that there is no
	// owner. It is the wait of a watch and a second.
	mirrorMaxAge = 3 * time.Second
)

// Owner takes part in the elections of an entry and schedules jobs while this entry is elected.
type Owner struct {
	Store  Store
	Mirror *mirror.Mirror
	// Self is the record of this entry.
	Self     mirror.EntryInfo
	Settings alloc.Settings
	// Advisor is nil where there is no advice service; steps that need a ticket then wait.
	Advisor Advisor
	// Evacuations is nil where no data centre is ever evacuated.
	Evacuations Evacuations
	Log         *slog.Logger
	// Forecasts makes the owner forecast when waiting work can start.
	Forecasts bool
	// Meter counts decisions and measures times; nil disables it.
	Meter *meter.Meter
	// Policy returns the declared queues and teams, and their revision, which is 0 until a declaration has been read.
	Policy func() (batch.Policy, uint64)

	// learnInterval replaces learnedInterval if it isn't 0.
	learnInterval time.Duration

	// candidate is used only by the goroutine of Run.
	candidate elect.Candidate

	// forecast is the latest one of the present term, nil without one.
	forecast atomic.Pointer[ownForecast]

	mu sync.Mutex
	// term is nil while this entry isn't the owner.
	term *term
	// leaseEnd is when this entry has to stop deciding, on the boot-time clock in nanoseconds; 0 while it isn't the owner.
	leaseEnd atomic.Int64
	// roundTrip is the duration of the last successful grant or renewal of the lease, in nanoseconds.
	roundTrip atomic.Int64
}

// Run takes part in elections until ctx ends, and then gives up the lease if this entry is the owner.
func (o *Owner) Run(ctx context.Context) {
	o.candidate.Share = o.Self.Share
	var vacant time.Time
	for ctx.Err() == nil {
		if !o.vacant() {
			vacant = time.Time{}
			clock.Sleep(ctx, electionPoll)
			continue
		}
		if vacant.IsZero() {
			vacant = clock.Now()
		}
		if now := clock.Now(); now.Sub(vacant) < o.candidate.Delay(now, time.Duration(o.roundTrip.Load()), o.otherEntries()) {
			clock.Sleep(ctx, electionPoll/4)
			continue
		}
		o.campaign(ctx)
		vacant = time.Time{}
	}
}

// otherEntries returns the other entries that are registered in the store.
func (o *Owner) otherEntries() []elect.Entry {
	var others []elect.Entry
	for _, info := range o.Mirror.OtherEntries(o.Self.Address) {
		others = append(others, elect.Entry{Share: info.Share})
	}
	return others
}

// vacant reports whether the mirror is current and shows that there is no owner. No election takes place before a
// policy has been declared.
func (o *Owner) vacant() bool {
	_, contacted, synced := o.Mirror.Status()
	_, policyRevision := o.Policy()
	return synced && policyRevision != 0 && clock.Now().Sub(contacted) < mirrorMaxAge && o.Mirror.LeadItem(mirror.OwnerKey).Version == 0
}

// campaign stands for election: it creates the owner key under a new lease. If it wins, it leads until its term ends.
func (o *Owner) campaign(ctx context.Context) {
	begun := clock.Now()
	lease, err := o.Store.Grant(ctx, leaseTTL)
	if err != nil {
		o.Log.Warn("not standing for election: no lease granted by the store", "error", err)
		clock.Sleep(ctx, electionPoll+rand.N(electionPoll))
		return
	}
	o.roundTrip.Store(int64(clock.Now().Sub(begun)))
	value, err := batch.Encode(o.Self)
	if err != nil {
		o.Log.Error("not standing for election: owner record can't be encoded", "error", err)
		return
	}
	fence, err := o.Store.Commit(ctx, store.Change{
		Checks: []store.Check{{Key: mirror.OwnerKey}},
		Sets:   []store.Set{{Key: mirror.OwnerKey, Value: value, Lease: lease}},
	})
	if err != nil {
		o.Log.Info("election not won: owner key not created", "error", err)
		// A commit without an answer may still be applied later; once the lease is revoked it can't.
		if err := o.Store.Revoke(ctx, lease); err != nil {
			o.Log.Warn("lease not revoked after an election that wasn't won; it has to expire", "lease", lease, "error", err)
		}
		clock.Sleep(ctx, electionPoll+rand.N(electionPoll))
		return
	}
	o.leaseEnd.Store(begun.Add(leaseTTL - leaseMargin).UnixNano())
	o.lead(ctx, fence, lease)
}

// IsOwner reports whether this entry certainly still holds the owner's lease at now.
func (o *Owner) IsOwner(now time.Time) bool { return now.UnixNano() < o.leaseEnd.Load() }

// lead runs a term of leadership until the lease is lost or ctx ends, and then revokes the lease. fence is the revision at
// which the owner key was created.
func (o *Owner) lead(ctx context.Context, fence, lease uint64) {
	o.Log.Info("elected", "fence", fence, "lease", lease)
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	t := newTerm(o, fence)
	renewStopped := make(chan struct{})
	go func() {
		defer close(renewStopped)
		defer endTerm()
		o.renew(termCtx, fence, lease)
	}()
	if o.awaitMirror(termCtx, fence) {
		o.mu.Lock()
		o.term = t
		o.mu.Unlock()
		o.candidate.BeginTerm(clock.Now())
		if reason := o.runTerm(termCtx, t); reason != "" {
			o.Log.Info("handing over to another entry", "fence", fence, "reason", reason, "share", o.Self.Share)
			o.candidate.RecordHandOver(clock.Now())
		}
		o.mu.Lock()
		o.term = nil
		o.mu.Unlock()
	}
	endTerm()
	<-renewStopped
	o.leaseEnd.Store(0)
	o.forecast.Store(nil)
	t.close()
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := o.Store.Revoke(revokeCtx, lease); err != nil {
		o.Log.Warn("owner's lease not revoked; the next election waits until it expires", "lease", lease, "error", err)
	}
	o.Log.Info("ownership ended", "fence", fence)
}

// runTerm runs the decisions of a term. A panic ends the term only: another entry takes over, and this one goes on serving
// callers.
func (o *Owner) runTerm(ctx context.Context, t *term) (reason string) {
	defer func() {
		if cause := recover(); cause != nil {
			o.Log.Error("term ended by a panic", "fence", t.fence, "cause", cause, "stack", string(debug.Stack()))
			reason = "decisions panicked"
		}
	}()
	return t.run(ctx)
}

// awaitMirror waits until the mirror has all that earlier owners wrote. It returns false if ctx ends before.
func (o *Owner) awaitMirror(ctx context.Context, fence uint64) bool {
	for ctx.Err() == nil {
		if revision, _, _ := o.Mirror.Status(); revision >= fence {
			return true
		}
		clock.Sleep(ctx, 2*time.Millisecond)
	}
	return false
}

// renew renews the lease until the store has ended it, another entry is the owner, or ctx ends. While the store can't be
// reached, the owner stops deciding at the end of its lease; it goes on if the store, which may keep leases during its outage,
// still has the lease afterwards. Nothing can have changed then: no other entry can become the owner while the lease exists.
func (o *Owner) renew(ctx context.Context, fence, lease uint64) {
	pause, failures := renewInterval, 0
	for {
		clock.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		begun := clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, leaseTTL/2)
		err := o.Store.Renew(callCtx, lease)
		cancel()
		var leaseErr *store.LeaseError
		switch {
		case err == nil:
			o.leaseEnd.Store(begun.Add(leaseTTL - leaseMargin).UnixNano())
			o.roundTrip.Store(int64(clock.Now().Sub(begun)))
			pause, failures = renewInterval, 0
			continue
		case errors.As(err, &leaseErr):
			o.Log.Warn("ownership lost: the lease has ended", "lease", lease)
			return
		case o.otherOwner(fence):
			o.Log.Warn("ownership lost: another entry is the owner", "lease", lease, "fence", fence)
			return
		}
		if failures++; failures == 1 {
			o.Log.Warn("lease not renewed; retrying", "lease", lease, "fence", fence, "error", err)
		}
		pause = renewRetryPause
	}
}

// otherOwner reports whether the mirror shows an owner that was elected later than fence.
func (o *Owner) otherOwner(fence uint64) bool {
	return o.Mirror.LeadItem(mirror.OwnerKey).Version > fence
}

// ServeAgent handles an agent's link until it is closed. While this entry isn't the owner, it closes the link at once.
func (o *Owner) ServeAgent(l *link.Link) {
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		l.Close()
		return
	}
	t.serveAgent(l)
}
