package jobs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/learn"
	"wagtailhoist/core/model"
	"wagtailhoist/core/room"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// markTTL is how long the mark of a refused job lasts. An earlier attempt at the same submission ends within the deadline of its
	// caller, and the store may carry out its commit seconds later.
	markTTL = 30 * time.Second
	// markLeaseUse is how long new marks are put under the same lease.
	markLeaseUse = 10 * time.Second
	// markTimeout bounds the time for a mark. A job that can't be marked in this time is accepted.
	markTimeout = 300 * time.Millisecond
	// markPause is the pause after a failed grant of a lease for marks, in which jobs are accepted at once.
	markPause = time.Second
)

// Grantor grants leases of the store.
type Grantor interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
}

// RefusalMeter counts refused jobs and shows the age of the forecast.
type RefusalMeter interface {
	RefusedJob(team model.Team, queue string)
	Gauge(name string, value float64)
}

// NoCapacityError reports a job that was refused because it can't start while its result is of use. It is certainly not stored, and
// no earlier attempt at its submission will be.
type NoCapacityError struct {
	Team  model.Team
	Queue string
	// Wait is the forecast of the time until the job's start, Limit the time in which it must start.
	Wait, Limit time.Duration
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *NoCapacityError) Error() string {
	return "no capacity: the job can't start within " + e.Limit.Round(time.Millisecond).String() + ", after which its result is of no use"
}

// Gate decides at an entry which submissions are refused for lack of capacity, by the owner's forecasts.
type Gate struct {
	Store  Store
	Leases Grantor
	Mirror *mirror.Mirror
	// Policy returns the declared queues and teams.
	Policy func() (batch.Policy, uint64)
	// Own returns this entry's own forecast while it is the owner.
	Own   func() (room.Forecast, bool)
	Log   *slog.Logger
	Meter RefusalMeter

	mu        sync.Mutex
	admission room.Admission
	// learned is what the owner has learned about run times, as of learnedVersion.
	learned        *learn.Model
	learnedVersion uint64

	leaseMu sync.Mutex
	// lease is that of new marks, granted at leaseAt. No other one is asked for before leaseRetry.
	lease               uint64
	leaseAt, leaseRetry time.Time
}

// TakeForecast takes over a forecast from the answer to a call that was sent at sent.
func (g *Gate) TakeForecast(sent time.Time, f room.Forecast) {
	fence := g.fence()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Update(clock.Now(), sent, f, fence)
}

// fence returns that of the owner that the mirror shows, 0 if there is none.
func (g *Gate) fence() uint64 { return g.Mirror.LeadItem(mirror.OwnerKey).Version }

// ReportAge sets the gauge of the age of the forecast in use, in seconds; -1 means that there is none.
func (g *Gate) ReportAge() {
	if g == nil || g.Meter == nil {
		return
	}
	fence := g.fence()
	g.mu.Lock()
	age, ok := g.admission.Age(clock.Now(), fence)
	g.mu.Unlock()
	seconds := -1.0
	if ok {
		seconds = age.Seconds()
	}
	g.Meter.Gauge("forecast_age_seconds", seconds)
}

// decide returns why a job is refused by the forecast, or false.
func (g *Gate) decide(job *batch.Job) (room.Refusal, bool) {
	now, fence := clock.Now(), g.fence()
	policy, _ := g.Policy()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Own != nil {
		if f, ok := g.Own(); ok {
			g.admission.Update(now, now, f, fence)
		}
	}
	if !g.admission.Concerns(now, fence, job.Queue) {
		return room.Refusal{}, false
	}
	g.loadLearned()
	request, refusable := room.NewRequest(job, policy.Teams[job.Team].Guarantee, func(step int) time.Duration {
		s := &job.Steps[step]
		p := g.learned.Predict(learn.Key{Queue: job.Queue, Team: string(job.Team), Image: s.Image}, s.Estimate)
		return p.Expected()
	})
	if !refusable {
		return room.Refusal{}, false
	}
	return g.admission.Decide(now, fence, &request)
}

// loadLearned decodes what the owner has learned about run times, if it has changed. The caller holds g.mu.
func (g *Gate) loadLearned() {
	item := g.Mirror.LeadItem(batch.LearnedKey)
	if g.learned != nil && item.Version == g.learnedVersion {
		return
	}
	g.learned, g.learnedVersion = &learn.Model{}, item.Version
	if item.Version == 0 {
		return
	}
	m, err := learn.Decode(item.Value)
	if err != nil {
		g.Log.Error("stored run times can't be decoded; callers' estimates are used", "version", item.Version, "error", err)
		return
	}
	g.learned = m
}

// refuse returns a NoCapacityError if the job is refused, and nil if it is to be accepted. A job that is stored already, or of which the
// store doesn't say in time that it isn't, is accepted. The mark that proves it makes earlier attempts at the same submission fail that
// are still under way.
func (g *Gate) refuse(ctx context.Context, job *batch.Job) error {
	refusal, refused := g.decide(job)
	if !refused || g.stored(job.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	lease, err := g.markLease(ctx)
	if err == nil {
		_, err = g.Store.Commit(ctx, store.Change{
			Checks: []store.Check{{Key: batch.JobKey(job.ID)}},
			Sets:   []store.Set{{Key: batch.RefusedKey(job.ID), Value: []byte{}, Lease: lease}},
		})
	}
	var leaseErr *store.LeaseError
	if errors.As(err, &leaseErr) {
		g.dropLease(lease)
	}
	if err != nil {
		return nil
	}
	if g.Meter != nil {
		g.Meter.RefusedJob(job.Team, job.Queue)
	}
	return &NoCapacityError{Team: job.Team, Queue: job.Queue, Wait: refusal.Wait, Limit: refusal.Limit, RetryAfter: refusal.RetryAfter}
}

// stored reports whether the mirror has the job; if it hasn't, the store may.
func (g *Gate) stored(id model.JobID) bool {
	found := false
	g.Mirror.View(func(b *batch.Cache) { found = b.Jobs[id] != nil && b.Jobs[id].Job != nil })
	return found
}

// markLease returns a lease for a mark, which lasts at least markTTL less markLeaseUse.
func (g *Gate) markLease(ctx context.Context) (uint64, error) {
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	now := clock.Now()
	if g.lease != 0 && now.Sub(g.leaseAt) < markLeaseUse {
		return g.lease, nil
	}
	if now.Before(g.leaseRetry) {
		return 0, errors.New("no lease granted lately")
	}
	lease, err := g.Leases.Grant(ctx, markTTL)
	if err != nil {
		g.leaseRetry = clock.Now().Add(markPause)
		return 0, err
	}
	g.lease, g.leaseAt = lease, now
	return lease, nil
}

// dropLease forgets a lease that has ended.
func (g *Gate) dropLease(lease uint64) {
	g.leaseMu.Lock()
	defer g.leaseMu.Unlock()
	if g.lease == lease {
		g.lease = 0
	}
}
