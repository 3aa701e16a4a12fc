package owner

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

const (
	// tick is the interval at which time-driven decisions are looked at.
	tick = 100 * time.Millisecond
	// replan is the longest interval between two plans while work waits.
	replan = 300 * time.Millisecond
	// batchLimit is the number of records in a change: the store takes 32 entries, two for a record and one for the fence.
	batchLimit = 15
	// outbox bounds the orders that wait for an agent; one that doesn't read them loses its link.
	outbox = 64
	// commitPause is the pause after a change that failed.
	commitPause = 60 * time.Millisecond
	// advicePause is the pause after a call for advice that failed.
	advicePause = 300 * time.Millisecond
	// forgetEvery is the interval at which ended jobs are deleted.
	forgetEvery = 5 * time.Second
)

// session is an agent's link.
type session struct {
	number uint64
	link   *link.Link
	out    chan link.Orders
	worker string
	// answer is the report that has to be answered with a lease.
	answer uint64
}

type arrival struct {
	session *session
	report  *batch.Report
}

// committed is the result of a change.
type committed struct {
	records  []alloc.ProgressUpdate
	values   [][]byte
	revision uint64
	err      error
}

// answer is the advice service's answer to a question.
type answer struct {
	question alloc.AdviceQuery
	asked    time.Time
	tickets  map[string]string
	valid    time.Duration
	err      error
}

// reign is the time of one ownership.
type reign struct {
	owner     *Owner
	fence     uint64
	scheduler alloc.Scheduler

	arrivals chan arrival
	results  chan committed
	sessions sync.Map // *session
	last     atomic.Uint64
	// done is closed when the reign has ended.
	done chan struct{}

	answers chan answer

	// The rest belongs to the goroutine of run.
	byWorker       map[string]*session
	versions       map[model.JobID]uint64
	writing        bool
	asking         bool
	askPause       time.Time
	pause          time.Time
	planned        time.Time
	forgot         time.Time
	policyRevision uint64
}

func newReign(o *Owner, fence uint64) *reign {
	r := &reign{
		owner: o, fence: fence, arrivals: make(chan arrival, 256), results: make(chan committed, 1),
		done:     make(chan struct{}),
		byWorker: map[string]*session{}, versions: map[model.JobID]uint64{},
	}
	r.scheduler.Settings = o.Settings
	r.scheduler.Trace = r.trace
	return r
}

// trace logs and counts a decision.
func (r *reign) trace(e alloc.Event) {
	log, meter := r.owner.Log, r.owner.Meter
	meter.Count("decisions", "kind", e.Kind, 1)
	if e.Queue == "" {
		log.Info(e.Kind, "task", e.Run.Task.String(), "run", e.Run.Run, "worker", e.Worker, "detail", e.Detail, "fence", r.fence)
		return
	}
	if e.Detail == "" {
		meter.Waiting(e.Team, e.Queue, e.Since)
	} else {
		meter.Completion(e.Team, e.Queue, e.Since)
	}
	log.Info(e.Kind, "job", string(e.Run.Task.Job), "team", string(e.Team), "queue", e.Queue, "state", e.Detail,
		"since", e.Since.Milliseconds(), "fence", r.fence)
}

func (r *reign) run(ctx context.Context) {
	now, wall := clock.Now(), time.Now()
	r.owner.Mirror.VisitChanges(func(cache *batch.Cache, _ []model.JobID, _ bool) {
		for id, e := range cache.Jobs {
			r.versions[id] = e.Version
		}
		r.declare()
		r.scheduler.StartTerm(now, wall, cache)
	})
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.arrivals:
			r.arrive(a)
			r.drain()
		case result := <-r.results:
			if !r.settle(result) {
				return
			}
		case a := <-r.answers:
			r.advised(a)
		case <-r.owner.Mirror.Wake():
			r.update()
		case <-ticker.C:
			r.update()
			r.scheduler.ExpireLeases(clock.Now(), time.Now())
			r.scheduler.PreemptStalled(clock.Now())
			r.scheduler.Evacuate(clock.Now())
		}
		r.advance(ctx)
	}
}

// drain takes the reports that have arrived meanwhile, so that one plan serves them all.
func (r *reign) drain() {
	for {
		select {
		case a := <-r.arrivals:
			r.arrive(a)
		default:
			return
		}
	}
}

func (r *reign) declare() {
	if policy, revision := r.owner.Policy(); revision != r.policyRevision {
		r.policyRevision = revision
		r.scheduler.SetPolicy(policy)
	}
}

// update takes the changes of the store.
func (r *reign) update() {
	now, wall := clock.Now(), time.Now()
	r.declare()
	r.owner.Mirror.VisitChanges(func(cache *batch.Cache, ids []model.JobID, all bool) {
		if all {
			ids = ids[:0]
			for id := range cache.Jobs {
				ids = append(ids, id)
			}
		}
		for _, id := range ids {
			r.scheduler.UpdateJob(now, wall, id, cache.Jobs[id])
		}
	})
}

func (r *reign) arrive(a arrival) {
	s := a.session
	if a.report == nil {
		if r.byWorker[s.worker] == s {
			delete(r.byWorker, s.worker)
		}
		return
	}
	now := clock.Now()
	if !r.owner.Held(now) {
		return
	}
	if a.report.Worker.ID == "" {
		r.send(s, link.Orders{Orders: batch.Orders{Fence: r.fence, Sequence: a.report.Sequence}})
		return
	}
	if !r.scheduler.ApplyReport(now, time.Now(), a.report, s.number) {
		r.owner.Log.Warn("report of a replaced worker", "worker", a.report.Worker.ID)
		return
	}
	if s.worker != a.report.Worker.ID && r.byWorker[s.worker] == s {
		delete(r.byWorker, s.worker)
	}
	s.worker = a.report.Worker.ID
	r.byWorker[s.worker] = s
	s.answer = a.report.Sequence
	if !a.report.Listed {
		r.send(s, link.Orders{Orders: batch.Orders{Fence: r.fence, Sequence: a.report.Sequence, Worker: s.worker}})
		s.answer = 0
	}
}

// advance plans, stores what has changed and sends what is due.
func (r *reign) advance(ctx context.Context) {
	now, wall := clock.Now(), time.Now()
	if !r.owner.Held(now) {
		return
	}
	if r.scheduler.NeedsPlan() || now.Sub(r.planned) > replan {
		r.planned = now
		r.scheduler.Plan(now, wall)
	}
	r.write(ctx, now)
	r.ask(ctx, now)
	for worker, s := range r.byWorker {
		orders, any := r.scheduler.Orders(now, worker)
		if !any && s.answer == 0 {
			continue
		}
		orders.Fence = r.fence
		if s.answer != 0 {
			orders.Sequence, orders.Lease = s.answer, r.scheduler.LeaseDuration()
			s.answer = 0
		}
		r.send(s, link.Orders{Orders: orders})
	}
}

// ask puts the most urgent question to the advice service, one at a time: it answers each caller in turn.
func (r *reign) ask(ctx context.Context, now time.Time) {
	q, ok := r.scheduler.NextAdviceQuery()
	if !ok || r.asking || r.owner.Advisor == nil || now.Before(r.askPause) {
		return
	}
	r.asking = true
	go func() {
		tickets, valid, err := r.owner.Advisor.Advise(ctx, q.Name(), q.Workers)
		r.answers <- answer{q, now, tickets, valid, err}
	}()
}

func (r *reign) advised(a answer) {
	r.asking = false
	if a.err != nil {
		r.askPause = clock.Now().Add(advicePause)
		r.owner.Log.Warn("no advice", "step", a.question.Name(), "workers", len(a.question.Workers), "error", a.err)
		return
	}
	r.owner.Log.Info("advice", "step", a.question.Name(), "workers", len(a.question.Workers), "allowed", len(a.tickets),
		"valid", a.valid.Milliseconds())
	r.scheduler.ApplyAdvice(a.question, a.asked, a.tickets, a.valid)
}

func (r *reign) send(s *session, o link.Orders) {
	select {
	case s.out <- o:
	default:
		r.owner.Log.Warn("agent reads too slowly, closing its link", "agent", string(s.link.Peer().Node))
		s.link.Close()
	}
}

// write stores the records that have changed, one change at a time.
func (r *reign) write(ctx context.Context, now time.Time) {
	if r.writing || now.Before(r.pause) {
		return
	}
	records := r.scheduler.PendingUpdates(batchLimit)
	if len(records) == 0 {
		r.forget(ctx, now)
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: r.fence}}}
	values := make([][]byte, 0, len(records))
	for i := range records {
		value, err := batch.Encode(&records[i].Progress)
		if err != nil {
			r.owner.Log.Error("encode progress", "job", string(records[i].Job), "error", err)
			return
		}
		key := batch.ProgressKey(records[i].Job)
		change.Checks = append(change.Checks, store.Check{Key: key, Version: r.versions[records[i].Job]})
		change.Sets = append(change.Sets, store.Set{Key: key, Value: value})
		values = append(values, value)
	}
	r.writing = true
	go func() {
		revision, err := r.owner.Store.Commit(ctx, change)
		r.results <- committed{records, values, revision, err}
	}()
}

// settle takes the result of a change; it returns false if the ownership is lost.
func (r *reign) settle(c committed) bool {
	r.writing = false
	if c.err == nil {
		for _, record := range c.records {
			r.versions[record.Job] = c.revision
			r.scheduler.ConfirmStored(record)
		}
		return true
	}
	var differ *store.CheckError
	if !errors.As(c.err, &differ) {
		r.owner.Log.Warn("progress not stored", "jobs", len(c.records), "error", c.err)
		r.pause = clock.Now().Add(commitPause)
		return true
	}
	present := map[string]store.Item{}
	for _, item := range differ.Items {
		present[item.Key] = item
	}
	if present[mirror.OwnerKey].Version != r.fence {
		r.owner.Log.Warn("ownership lost: another fence", "fence", r.fence, "found", present[mirror.OwnerKey].Version)
		return false
	}
	for i, record := range c.records {
		item := present[batch.ProgressKey(record.Job)]
		r.versions[record.Job] = item.Version
		if item.Version != 0 && bytes.Equal(item.Value, c.values[i]) {
			// An earlier try of the same change had been carried out.
			r.scheduler.ConfirmStored(record)
		}
	}
	return true
}

// forget deletes jobs that ended long ago.
func (r *reign) forget(ctx context.Context, now time.Time) {
	if now.Sub(r.forgot) < forgetEvery {
		return
	}
	r.forgot = now
	old := r.scheduler.ExpiredJobs(time.Now())
	if len(old) > batchLimit/2 {
		old = old[:batchLimit/2]
	}
	if len(old) == 0 {
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: r.fence}}}
	for _, id := range old {
		change.Deletes = append(change.Deletes, batch.JobKey(id), batch.ProgressKey(id), batch.CancelKey(id))
	}
	r.writing = true
	go func() {
		_, err := r.owner.Store.Commit(ctx, change)
		r.results <- committed{err: err}
	}()
}

// serve reads an agent's reports until its link is closed.
func (r *reign) serve(l *link.Link) {
	s := &session{number: r.last.Add(1), link: l, out: make(chan link.Orders, outbox)}
	r.sessions.Store(s, true)
	defer r.sessions.Delete(s)
	log := r.owner.Log.With("agent", string(l.Peer().Node), "fence", r.fence)
	log.Info("agent linked")
	go func() {
		for {
			select {
			case <-l.Done():
				return
			case o := <-s.out:
				if err := l.Send(o); err != nil {
					log.Warn("orders not sent", "error", err)
					return
				}
			}
		}
	}()
	for {
		f, err := l.Receive()
		if err != nil {
			log.Info("agent lost", "error", err)
			r.deliver(arrival{session: s})
			return
		}
		if report, ok := f.(link.Report); ok {
			r.deliver(arrival{s, &report.Report})
		}
	}
}

func (r *reign) deliver(a arrival) {
	select {
	case r.arrivals <- a:
	case <-r.done:
		a.session.link.Close()
	}
}

// close ends all sessions.
func (r *reign) close() {
	close(r.done)
	r.sessions.Range(func(key, _ any) bool {
		key.(*session).link.Close()
		return true
	})
}
