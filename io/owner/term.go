package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/evac"
	"wagtailhoist/core/model"
	"wagtailhoist/core/pace"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

const (
	// pollInterval is the interval at which lease expiry, stalled gangs and evictions are checked.
	pollInterval = 100 * time.Millisecond
	// maxRecordsPerCommit bounds the records in a change: the store accepts 32 checks and sets, two for each record and
	// one for the fence.
	maxRecordsPerCommit = 15
	// maxBytesPerCommit bounds the records in a change with several, in bytes.
	maxBytesPerCommit = batch.MaxValueBytes
	// maxQueuedOrders bounds the order messages that wait to be sent to an agent; the link of an agent with more is closed.
	maxQueuedOrders = 64
	// maxStartBytes bounds the starts in an order message, in bytes, so that the leases in later messages don't wait long behind
	// it on a slow link.
	maxStartBytes = 256 << 10
	// maxQueuedStarts is the number of order messages in an agent's queue from which no starts are added; they follow as the
	// agent reads.
	maxQueuedStarts = 4
	// handOverCheckInterval is the interval at which the owner checks whether it should hand over.
	handOverCheckInterval = 500 * time.Millisecond
	// lagLogInterval is the shortest interval between two log lines about late decisions.
	lagLogInterval = 2 * time.Second
	// lagLogLimit is the lag from which late decisions are logged.
	lagLogLimit = 500 * time.Millisecond
	// adviceRetryPause is the pause after a failed call to the advice service.
	adviceRetryPause = 300 * time.Millisecond
	// jobDeletionInterval is the interval at which ended jobs are deleted.
	jobDeletionInterval = 5 * time.Second
)

// session is the link to an agent, with the orders that wait to be sent on it.
type session struct {
	// number counts the sessions of a term.
	number uint64
	link   *link.Link
	queued chan link.Orders
	// worker is the ID of the worker in the last report.
	worker string
	// unanswered is the sequence number of the report that has to be answered with a lease, 0 if there is none.
	unanswered uint64
}

// agentEvent is a report of an agent, or the end of its link.
type agentEvent struct {
	session *session
	// report is nil if the link has ended.
	report *batch.Report
	// receivedAt is when the report arrived, on the boot-time clock.
	receivedAt time.Time
}

// commitResult is the result of a commit; records and values are empty if it deleted ended jobs or stored learned run times.
type commitResult struct {
	records  []alloc.ProgressUpdate
	values   [][]byte
	revision uint64
	err      error
	// learned is nil unless the commit stored learned run times.
	learned *learnedWrite
}

// adviceAnswer is the advice service's answer to a query. Its tickets are valid for the duration valid, counted from asked.
type adviceAnswer struct {
	query   alloc.AdviceQuery
	asked   time.Time
	tickets map[string]string
	valid   time.Duration
	err     error
}

// term is a term of leadership: the scheduler of one owner and its links to agents.
type term struct {
	owner *Owner
	// fence is the fencing token of this term: the version of the owner key, which is higher in each later term.
	fence     uint64
	scheduler alloc.Scheduler

	agentEvents   chan agentEvent
	commitResults chan commitResult
	sessions      sync.Map // *session
	lastSession   atomic.Uint64
	// done is closed when the term has ended.
	done chan struct{}

	adviceAnswers chan adviceAnswer

	// The fields below are used only by the goroutine of run.

	sessionByWorker map[string]*session
	// progressVersions holds the versions of the progress records in the store, which the next change is conditional on.
	progressVersions map[model.JobID]uint64
	plans            pace.Plans
	// forecastNumber counts the forecasts of the term.
	forecasts      pace.Forecasts
	forecastNumber uint64
	// committing holds the jobs whose progress the commits under way store.
	commits    pace.Commits
	committing map[model.JobID]bool
	// refusals decides what is stored by itself. trimmed holds the jobs whose progress was stored without some checkpoints.
	refusals pace.Refusals
	trimmed  map[model.JobID]bool
	// adviceRequested is true while an advice query is under way.
	adviceRequested bool
	adviceRetryAt   time.Time
	// checkedAt is when a hand-over was last considered.
	checkedAt time.Time
	// polledAt is when poll was last called, maxLag the longest wait of the reports that were handled since the last decision.
	polledAt time.Time
	maxLag   time.Duration
	// pausedAt is since when the lease has not been renewed in time, zero while it is; pausedReports counts the reports that were
	// applied since.
	pausedAt      time.Time
	pausedReports int
	lagLoggedAt   time.Time
	// evacuations decides whether the evacuated data centres that the scheduler knows are current. They were read at
	// evacuationRevision.
	evacuations        evac.Gate
	evacuationRevision uint64
	deletedAt          time.Time
	policyRevision     uint64
	learned            learnedState
	usage              usageState
}

func newTerm(o *Owner, fence uint64) *term {
	t := &term{
		owner: o, fence: fence, agentEvents: make(chan agentEvent, 256), commitResults: make(chan commitResult, pace.MaxCommits),
		adviceAnswers: make(chan adviceAnswer, 1), done: make(chan struct{}),
		sessionByWorker: map[string]*session{}, progressVersions: map[model.JobID]uint64{}, committing: map[model.JobID]bool{}, trimmed: map[model.JobID]bool{},
	}
	t.scheduler.Settings = o.Settings
	t.scheduler.Trace = t.traceDecision
	return t
}

// traceDecision logs and counts a decision.
func (t *term) traceDecision(e alloc.Event) {
	log, meter := t.owner.Log, t.owner.Meter
	meter.Count("decisions", "kind", e.Kind, 1)
	if e.Kind == alloc.KindRefused && e.Detail != batch.RefusedStopped {
		meter.Count("refused_starts", "reason", e.Detail, 1)
	}
	if e.Centre != "" || e.Queue == "" && e.Team != "" {
		log.Info(e.Kind, "centre", e.Centre, "team", string(e.Team), "runs", e.Runs, "since", e.Since.Milliseconds(), "detail", e.Detail,
			"fence", t.fence)
		return
	}
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

// run schedules jobs until ctx ends or the ownership is lost. It returns why the owner should hand over to another entry, or
// an empty string if the term ended otherwise.
func (t *term) run(ctx context.Context) string {
	now, wall := clock.Now(), time.Now()
	t.owner.Mirror.VisitChanges(func(cache *batch.Cache, _ []model.JobID, _ bool) {
		for id, e := range cache.Jobs {
			t.progressVersions[id] = e.ProgressVersion
		}
		t.updatePolicy()
		t.scheduler.StartTerm(now, wall, cache)
	})
	t.applyEvacuations(now)
	t.loadLearned(now)
	defer t.endLearnedMetrics()
	defer t.endUsageMetrics()
	t.checkedAt = now
	t.polledAt = now
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	planTimer := time.NewTimer(pollInterval)
	defer planTimer.Stop()
	for {
		ticked := false
		select {
		case <-ctx.Done():
			return ""
		case event := <-t.agentEvents:
			t.handleAgentEvent(event)
		case result := <-t.commitResults:
			if !t.handleCommit(result) {
				return ""
			}
		case a := <-t.adviceAnswers:
			t.handleAdvice(a)
		case <-t.owner.Mirror.Wake():
			t.applyStoreChanges()
		case <-planTimer.C:
		case <-ticker.C:
			ticked = true
		}
		if reason := t.process(ctx, ticked); reason != "" {
			return reason
		}
		planTimer.Reset(t.planWait())
	}
}

// process handles the reports that have arrived meanwhile, does what is due at a tick, and then decides. It returns why the
// owner should hand over, or an empty string.
func (t *term) process(ctx context.Context, ticked bool) string {
	t.handleQueuedEvents()
	t.recordPause(clock.Now())
	if t.maxLag > 0 {
		t.recordLag(clock.Now(), t.maxLag)
		t.maxLag = 0
	}
	if ticked {
		// All reports that have arrived are applied before, however late: a worker that reports isn't lost.
		t.poll()
		if reason := t.checkHandOver(); reason != "" {
			return reason
		}
	}
	t.advance(ctx, ticked)
	return ""
}

// poll does what is due at each tick.
func (t *term) poll() {
	now, wall := clock.Now(), time.Now()
	t.recordLag(now, now.Sub(t.polledAt)-pollInterval)
	t.polledAt = now
	t.applyStoreChanges()
	t.applyEvacuations(now)
	t.scheduler.EnforceEvacuation(now, wall)
	t.followLearned()
	t.scheduler.ExpireLeases(now, wall)
	t.scheduler.PreemptStalled(now)
	t.scheduler.Evacuate(now)
	t.reportUsage(now)
}

// recordPause logs when the owner stops deciding because its lease wasn't renewed in time, and when it goes on.
func (t *term) recordPause(now time.Time) {
	paused := !t.owner.IsOwner(now)
	switch {
	case paused && t.pausedAt.IsZero():
		t.pausedAt, t.pausedReports = now, 0
		t.owner.Log.Warn("decisions paused: the lease wasn't renewed in time", "fence", t.fence)
	case !paused && !t.pausedAt.IsZero():
		t.owner.Log.Info("decisions resumed: the lease was renewed", "paused", now.Sub(t.pausedAt).Milliseconds(),
			"reports", t.pausedReports, "fence", t.fence)
		t.pausedAt = time.Time{}
	}
}

// recordLag records how late an event was handled.
func (t *term) recordLag(now time.Time, lag time.Duration) {
	t.owner.candidate.RecordLag(now, lag)
	if lag >= lagLogLimit && now.Sub(t.lagLoggedAt) >= lagLogInterval {
		t.lagLoggedAt = now
		t.owner.Log.Warn("decisions are late", "lag", lag.Milliseconds(), "workers", len(t.sessionByWorker), "fence", t.fence)
	}
}

// checkHandOver returns why the owner should hand over, or an empty string.
func (t *term) checkHandOver() string {
	now := clock.Now()
	if now.Sub(t.checkedAt) < handOverCheckInterval || !t.owner.IsOwner(now) {
		return ""
	}
	t.checkedAt = now
	return t.owner.candidate.HandOver(now, t.owner.otherEntries())
}

// planWait returns how long to wait for the next plan.
func (t *term) planWait() time.Duration {
	now := clock.Now()
	return t.plans.Wait(now, t.scheduler.NeedsPlan() && t.owner.IsOwner(now) && t.mayPlace(now))
}

// handleQueuedEvents handles the events that have arrived meanwhile, so that one plan covers them all.
func (t *term) handleQueuedEvents() {
	for {
		select {
		case event := <-t.agentEvents:
			t.handleAgentEvent(event)
		default:
			return
		}
	}
}

// updatePolicy passes the declared policy to the scheduler if its revision has changed.
func (t *term) updatePolicy() {
	if policy, revision := t.owner.Policy(); revision != t.policyRevision {
		t.policyRevision = revision
		t.scheduler.SetPolicy(policy)
	}
}

// applyStoreChanges passes changed jobs and a changed policy to the scheduler.
func (t *term) applyStoreChanges() {
	now, wall := clock.Now(), time.Now()
	t.updatePolicy()
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

// handleAgentEvent passes an agent's report to the scheduler and notes that it has to be answered. Reports are applied also while
// the lease can't be renewed, since refusals are reported only once; they are answered afterwards.
func (t *term) handleAgentEvent(event agentEvent) {
	s := event.session
	if event.report == nil {
		if t.sessionByWorker[s.worker] == s {
			delete(t.sessionByWorker, s.worker)
		}
		return
	}
	now := clock.Now()
	t.maxLag = max(t.maxLag, now.Sub(event.receivedAt))
	mayAnswer := t.owner.IsOwner(now)
	if !mayAnswer {
		t.pausedReports++
	}
	if event.report.Worker.ID == "" {
		if mayAnswer {
			// An agent whose worker isn't known yet is answered without a lease.
			t.queueOrders(s, link.Orders{Orders: batch.Orders{Fence: t.fence, Sequence: event.report.Sequence}})
		}
		return
	}
	if !t.scheduler.ApplyReport(event.receivedAt, time.Now(), event.report, s.number) {
		t.owner.Log.Warn("report ignored: its worker was replaced or given up as lost", "worker", event.report.Worker.ID)
		return
	}
	if s.worker != event.report.Worker.ID {
		if t.sessionByWorker[s.worker] == s {
			delete(t.sessionByWorker, s.worker)
		}
		s.unanswered = 0
	}
	s.worker = event.report.Worker.ID
	t.sessionByWorker[s.worker] = s
	if event.report.Listed {
		s.unanswered = event.report.Sequence
	} else if mayAnswer {
		t.queueOrders(s, link.Orders{Orders: batch.Orders{Fence: t.fence, Sequence: event.report.Sequence, Worker: s.worker}})
		s.unanswered = 0
	}
}

// advance answers reports, plans if necessary, stores the progress that has changed, asks for advice and sends the orders
// that are due. Reports are answered first: the runs of a worker end if its lease isn't extended.
func (t *term) advance(ctx context.Context, resend bool) {
	now := clock.Now()
	if !t.owner.IsOwner(now) {
		return
	}
	t.sendOrders(now, resend)
	if t.plans.Due(now, t.scheduler.NeedsPlan()) && t.mayPlace(now) {
		t.scheduler.Plan(now, time.Now())
		end := clock.Now()
		t.plans.Record(now, end)
		t.forecasts.RecordPlan(end.Sub(now))
		if now = end; !t.owner.IsOwner(now) {
			return
		}
	}
	t.storeLearned(ctx, now)
	t.storeProgress(ctx, now)
	t.requestAdvice(ctx, now)
	t.sendOrders(now, false)
	t.updateForecast(now)
}

// sendOrders sends the orders that are due, and the answers to reports. If resend is set, it also looks for orders that
// have to be sent again.
func (t *term) sendOrders(now time.Time, resend bool) {
	touched := t.scheduler.TakeTouched()
	if resend {
		for worker := range t.sessionByWorker {
			touched = append(touched, worker)
		}
	}
	for _, worker := range touched {
		if s := t.sessionByWorker[worker]; s != nil {
			t.sendWorkerOrders(now, worker, s)
		}
	}
}

// sendWorkerOrders sends the orders that are due for a worker, and the answer to its last report. Orders that need more than
// one message are sent as long as the agent keeps up with them.
func (t *term) sendWorkerOrders(now time.Time, worker string, s *session) {
	for {
		maxBytes := maxStartBytes
		if len(s.queued) >= maxQueuedStarts || !t.mayPlace(now) {
			maxBytes = 0
		}
		orders, due := t.scheduler.Orders(now, worker, maxBytes)
		if !due && s.unanswered == 0 {
			return
		}
		orders.Fence = t.fence
		if s.unanswered != 0 {
			orders.Sequence, orders.Lease = s.unanswered, t.scheduler.LeaseDuration()
			s.unanswered = 0
		}
		t.queueOrders(s, link.Orders{Orders: orders})
		if len(orders.Starts) == 0 {
			return
		}
	}
}

// requestAdvice sends the most urgent query to the advice service. Only one is sent at a time, since the service handles
// a caller's queries one after the other.
func (t *term) requestAdvice(ctx context.Context, now time.Time) {
	query, ok := t.scheduler.NextAdviceQuery()
	if !ok || t.adviceRequested || t.owner.Advisor == nil || now.Before(t.adviceRetryAt) {
		return
	}
	t.adviceRequested = true
	go func() {
		tickets, valid, err := t.owner.Advisor.Advise(ctx, query.Name(), query.Workers)
		t.adviceAnswers <- adviceAnswer{query, now, tickets, valid, err}
	}()
}

// handleAdvice passes the advice service's answer to the scheduler.
func (t *term) handleAdvice(a adviceAnswer) {
	t.adviceRequested = false
	if a.err != nil {
		t.adviceRetryAt = clock.Now().Add(adviceRetryPause)
		t.owner.Log.Warn("advice query failed; retrying", "step", a.query.Name(), "workers", len(a.query.Workers), "error", a.err)
		return
	}
	t.owner.Log.Info("advice received", "step", a.query.Name(), "workers", len(a.query.Workers), "allowed", len(a.tickets),
		"valid", a.valid.Milliseconds())
	t.scheduler.ApplyAdvice(a.query, a.asked, a.tickets, a.valid)
}

// queueOrders queues orders for an agent, and closes its link if the queue is full.
func (t *term) queueOrders(s *session, o link.Orders) {
	select {
	case s.queued <- o:
	default:
		t.owner.Log.Warn("link closed: the agent reads its orders too slowly", "agent", string(s.link.Peer().Node))
		s.link.Close()
	}
}

// close ends the term and closes the links to all agents.
func (t *term) close() {
	close(t.done)
	t.sessions.Range(func(key, _ any) bool {
		key.(*session).link.Close()
		return true
	})
}
