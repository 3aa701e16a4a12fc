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

// term is the time of one ownership.
type term struct {
	owner     *Owner
	fence     uint64
	scheduler alloc.Scheduler

	arrivals chan arrival
	results  chan committed
	sessions sync.Map // *session
	last     atomic.Uint64
	// done is closed when the term has ended.
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

func newTerm(o *Owner, fence uint64) *term {
	r := &term{
		owner: o, fence: fence, arrivals: make(chan arrival, 256), results: make(chan committed, 1),
		done:     make(chan struct{}),
		byWorker: map[string]*session{}, versions: map[model.JobID]uint64{},
	}
	r.scheduler.Settings = o.Settings
	r.scheduler.Trace = r.trace
	return r
}

// trace logs and counts a decision.
func (t *term) trace(e alloc.Event) {
	log, meter := t.owner.Log, t.owner.Meter
	meter.Count("decisions", "kind", e.Kind, 1)
	if e.Queue == "" {
		log.Info(e.Kind, "task", e.Run.Task.String(), "run", e.Run.Run, "worker", e.Worker, "detail", e.Detail, "fence", t.fence)
		return
	}
	if e.Detail == "" {
		meter.Waiting(e.Team, e.Queue, e.Since)
	} else {
		meter.Completion(e.Team, e.Queue, e.Since)
	}
	log.Info(e.Kind, "job", string(e.Run.Task.Job), "team", string(e.Team), "queue", e.Queue, "state", e.Detail,
		"since", e.Since.Milliseconds(), "fence", t.fence)
}

func (t *term) run(ctx context.Context) {
	now, wall := clock.Now(), time.Now()
	t.owner.Mirror.VisitChanges(func(cache *batch.Cache, _ []model.JobID, _ bool) {
		for id, e := range cache.Jobs {
			t.versions[id] = e.Version
		}
		t.declare()
		t.scheduler.StartTerm(now, wall, cache)
	})
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-t.arrivals:
			t.arrive(a)
			t.drain()
		case result := <-t.results:
			if !t.settle(result) {
				return
			}
		case a := <-t.answers:
			t.advised(a)
		case <-t.owner.Mirror.Wake():
			t.update()
		case <-ticker.C:
			t.update()
			t.scheduler.ExpireLeases(clock.Now(), time.Now())
			t.scheduler.PreemptStalled(clock.Now())
			t.scheduler.Evacuate(clock.Now())
		}
		t.advance(ctx)
	}
}

// drain takes the reports that have arrived meanwhile, so that one plan serves them all.
func (t *term) drain() {
	for {
		select {
		case a := <-t.arrivals:
			t.arrive(a)
		default:
			return
		}
	}
}

func (t *term) declare() {
	if policy, revision := t.owner.Policy(); revision != t.policyRevision {
		t.policyRevision = revision
		t.scheduler.SetPolicy(policy)
	}
}

// update takes the changes of the store.
func (t *term) update() {
	now, wall := clock.Now(), time.Now()
	t.declare()
	t.owner.Mirror.VisitChanges(func(cache *batch.Cache, ids []model.JobID, all bool) {
		if all {
			ids = ids[:0]
			for id := range cache.Jobs {
				ids = append(ids, id)
			}
		}
		for _, id := range ids {
			t.scheduler.UpdateJob(now, wall, id, cache.Jobs[id])
		}
	})
}

func (t *term) arrive(a arrival) {
	s := a.session
	if a.report == nil {
		if t.byWorker[s.worker] == s {
			delete(t.byWorker, s.worker)
		}
		return
	}
	now := clock.Now()
	if !t.owner.IsOwner(now) {
		return
	}
	if a.report.Worker.ID == "" {
		t.send(s, link.Orders{Orders: batch.Orders{Fence: t.fence, Sequence: a.report.Sequence}})
		return
	}
	if !t.scheduler.ApplyReport(now, time.Now(), a.report, s.number) {
		t.owner.Log.Warn("report of a replaced worker", "worker", a.report.Worker.ID)
		return
	}
	if s.worker != a.report.Worker.ID && t.byWorker[s.worker] == s {
		delete(t.byWorker, s.worker)
	}
	s.worker = a.report.Worker.ID
	t.byWorker[s.worker] = s
	s.answer = a.report.Sequence
	if !a.report.Listed {
		t.send(s, link.Orders{Orders: batch.Orders{Fence: t.fence, Sequence: a.report.Sequence, Worker: s.worker}})
		s.answer = 0
	}
}

// advance plans, stores what has changed and sends what is due.
func (t *term) advance(ctx context.Context) {
	now, wall := clock.Now(), time.Now()
	if !t.owner.IsOwner(now) {
		return
	}
	if t.scheduler.NeedsPlan() || now.Sub(t.planned) > replan {
		t.planned = now
		t.scheduler.Plan(now, wall)
	}
	t.write(ctx, now)
	t.ask(ctx, now)
	for worker, s := range t.byWorker {
		orders, any := t.scheduler.Orders(now, worker)
		if !any && s.answer == 0 {
			continue
		}
		orders.Fence = t.fence
		if s.answer != 0 {
			orders.Sequence, orders.Lease = s.answer, t.scheduler.LeaseDuration()
			s.answer = 0
		}
		t.send(s, link.Orders{Orders: orders})
	}
}

// ask puts the most urgent question to the advice service, one at a time: it answers each caller in turn.
func (t *term) ask(ctx context.Context, now time.Time) {
	q, ok := t.scheduler.NextAdviceQuery()
	if !ok || t.asking || t.owner.Advisor == nil || now.Before(t.askPause) {
		return
	}
	t.asking = true
	go func() {
		tickets, valid, err := t.owner.Advisor.Advise(ctx, q.Name(), q.Workers)
		t.answers <- answer{q, now, tickets, valid, err}
	}()
}

func (t *term) advised(a answer) {
	t.asking = false
	if a.err != nil {
		t.askPause = clock.Now().Add(advicePause)
		t.owner.Log.Warn("no advice", "step", a.question.Name(), "workers", len(a.question.Workers), "error", a.err)
		return
	}
	t.owner.Log.Info("advice", "step", a.question.Name(), "workers", len(a.question.Workers), "allowed", len(a.tickets),
		"valid", a.valid.Milliseconds())
	t.scheduler.ApplyAdvice(a.question, a.asked, a.tickets, a.valid)
}

func (t *term) send(s *session, o link.Orders) {
	select {
	case s.out <- o:
	default:
		t.owner.Log.Warn("agent reads too slowly, closing its link", "agent", string(s.link.Peer().Node))
		s.link.Close()
	}
}

// write stores the records that have changed, one change at a time.
func (t *term) write(ctx context.Context, now time.Time) {
	if t.writing || now.Before(t.pause) {
		return
	}
	records := t.scheduler.PendingUpdates(batchLimit)
	if len(records) == 0 {
		t.forget(ctx, now)
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}}}
	values := make([][]byte, 0, len(records))
	for i := range records {
		value, err := batch.Encode(&records[i].Progress)
		if err != nil {
			t.owner.Log.Error("encode progress", "job", string(records[i].Job), "error", err)
			return
		}
		key := batch.ProgressKey(records[i].Job)
		change.Checks = append(change.Checks, store.Check{Key: key, Version: t.versions[records[i].Job]})
		change.Sets = append(change.Sets, store.Set{Key: key, Value: value})
		values = append(values, value)
	}
	t.writing = true
	go func() {
		revision, err := t.owner.Store.Commit(ctx, change)
		t.results <- committed{records, values, revision, err}
	}()
}

// settle takes the result of a change; it returns false if the ownership is lost.
func (t *term) settle(c committed) bool {
	t.writing = false
	if c.err == nil {
		for _, record := range c.records {
			t.versions[record.Job] = c.revision
			t.scheduler.ConfirmStored(record)
		}
		return true
	}
	var differ *store.CheckError
	if !errors.As(c.err, &differ) {
		t.owner.Log.Warn("progress not stored", "jobs", len(c.records), "error", c.err)
		t.pause = clock.Now().Add(commitPause)
		return true
	}
	present := map[string]store.Item{}
	for _, item := range differ.Items {
		present[item.Key] = item
	}
	if present[mirror.OwnerKey].Version != t.fence {
		t.owner.Log.Warn("ownership lost: another fence", "fence", t.fence, "found", present[mirror.OwnerKey].Version)
		return false
	}
	for i, record := range c.records {
		item := present[batch.ProgressKey(record.Job)]
		t.versions[record.Job] = item.Version
		if item.Version != 0 && bytes.Equal(item.Value, c.values[i]) {
			// An earlier try of the same change had been carried out.
			t.scheduler.ConfirmStored(record)
		}
	}
	return true
}

// forget deletes jobs that ended long ago.
func (t *term) forget(ctx context.Context, now time.Time) {
	if now.Sub(t.forgot) < forgetEvery {
		return
	}
	t.forgot = now
	old := t.scheduler.ExpiredJobs(time.Now())
	if len(old) > batchLimit/2 {
		old = old[:batchLimit/2]
	}
	if len(old) == 0 {
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}}}
	for _, id := range old {
		change.Deletes = append(change.Deletes, batch.JobKey(id), batch.ProgressKey(id), batch.CancelKey(id))
	}
	t.writing = true
	go func() {
		_, err := t.owner.Store.Commit(ctx, change)
		t.results <- committed{err: err}
	}()
}

// serve reads an agent's reports until its link is closed.
func (t *term) serve(l *link.Link) {
	s := &session{number: t.last.Add(1), link: l, out: make(chan link.Orders, outbox)}
	t.sessions.Store(s, true)
	defer t.sessions.Delete(s)
	log := t.owner.Log.With("agent", string(l.Peer().Node), "fence", t.fence)
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
			t.deliver(arrival{session: s})
			return
		}
		if report, ok := f.(link.Report); ok {
			t.deliver(arrival{s, &report.Report})
		}
	}
}

func (t *term) deliver(a arrival) {
	select {
	case t.arrivals <- a:
	case <-t.done:
		a.session.link.Close()
	}
}

// close ends all sessions.
func (t *term) close() {
	close(t.done)
	t.sessions.Range(func(key, _ any) bool {
		key.(*session).link.Close()
		return true
	})
}
