package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/calls"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// StatusReport is a worker's report about itself.
type StatusReport struct {
	// Instance is the name that calls of the worker address it by. The agent fills in the worker's ID and Node.
	Instance string
	Worker   batch.Worker
	// ColdTime is how much longer the worker is slow because it has started recently.
	ColdTime time.Duration
	// warmAt is when the worker is no longer slow after its start, on the boot-time clock. UpdateStatus fills it in.
	warmAt time.Time
}

// Target is the incarnation of the worker that a call is addressed to, and the fencing token of the owner.
type Target struct {
	Instance string
	Fence    uint64
}

// RunList is a worker's list of its runs, and of the ends of runs that aren't acknowledged.
type RunList struct {
	// Clock is the worker's clock in ms; Born identifies the incarnation that answered by its start, 0 if unknown.
	Clock, Born int64
	Running     []batch.RunStatus
	Ended       []batch.End
	// MoreEnds reports whether there may be ends after the last one of Ended. They are listed once those are acknowledged.
	MoreEnds bool
}

// OrderResult is the outcome of an order that the worker answered.
type OrderResult struct {
	// Reason is empty if the order was carried out, and otherwise why it was refused.
	Reason string
	// Clock is the worker's clock in ms.
	Clock int64
}

// Worker has the calls of the worker beside the agent. A call that returns an error may have been carried out, or may
// still be carried out later.
type Worker interface {
	// Start starts a run. The deadline is the end of the lease on the worker's clock.
	Start(ctx context.Context, t Target, s batch.StartOrder, deadline int64) (OrderResult, error)
	// Stop stops a run. It succeeds also if there is no such run.
	Stop(ctx context.Context, t Target, run batch.RunID) (OrderResult, error)
	// ExtendLease extends the lease of all runs to deadline, on the worker's clock (0: not at all), removes the ends up to
	// number acknowledged from the list, and waits at most wait for a run to end before it returns the list.
	ExtendLease(ctx context.Context, t Target, acknowledged uint64, deadline int64, wait time.Duration) (RunList, error)
}

const (
	// maxReportInterval is the longest interval between reports to the owner, which answers each with a new lease.
	maxReportInterval = 800 * time.Millisecond
	// minReportInterval is the shortest interval between reports.
	minReportInterval = 10 * time.Millisecond
	// ownerAnswerLimit is how long an owner may leave reports unanswered before the link to it is closed. An owner that is
	// only late must not have to accept all links again as well; a silent one is noticed by the link.
	ownerAnswerLimit = 3500 * time.Millisecond
	// redialPause is the pause between attempts to connect to the owner, and between checks for a worker to poll.
	redialPause = 100 * time.Millisecond
	// pollWait is how long the worker waits for a run to end before it answers a poll.
	pollWait = time.Second
	// pollSlack is how much longer than its wait a poll may take before it fails.
	pollSlack = 400 * time.Millisecond
	// pollPause is the pause after a failed poll, and between polls while ends wait for their acknowledgement.
	pollPause = 60 * time.Millisecond
	// listMaxAge is the age up to which a list may be reported as what runs on the worker.
	listMaxAge = pollWait + pollSlack + 300*time.Millisecond
	// refusingLimit is how long a worker's port may refuse connections before the worker counts as ended. Agent and worker
	// are on one VM, so that a refused connection means that no process listens.
	refusingLimit = 300 * time.Millisecond
	// orderTimeout bounds a call that starts or stops a run; a worker answers in about a millisecond.
	orderTimeout = 300 * time.Millisecond
	// maxOrderCalls bounds the starts, and also the stops, that are under way at the worker. Each needs a connection, of which the
	// worker accepts 64; stops don't wait for starts.
	maxOrderCalls = 24
	// orderRetryPause is the pause between attempts at an order.
	orderRetryPause = 50 * time.Millisecond
)

// Runner is the agent beside a worker.
type Runner struct {
	Worker Worker
	// Node is the id of this process.
	Node     string
	Settings link.Settings
	// Owner returns the address of the present owner, or an empty string if there is none.
	Owner func() string
	// OwnerChanged receives a value when another process may have become the owner; nil means that Owner is only polled.
	OwnerChanged <-chan struct{}
	// Evacuated reports whether the worker's data centre is evacuated. It is called right before each call that starts a run; nil
	// means that it never is.
	Evacuated func() bool
	Log       *slog.Logger

	mu sync.Mutex
	// status is the worker's last status report, with the readiness that this agent found out.
	status StatusReport
	// fence is the highest fencing token with which orders were received.
	fence uint64
	// leaseEnd is the end of the lease of all runs, on the boot-time clock.
	leaseEnd time.Time
	// workerClock is the last known value of the worker's clock in ms, received at clockReadAt on the boot-time clock.
	workerClock int64
	clockReadAt time.Time
	// granted is the latest end of the lease that the worker may have been told, on its clock. A worker never shortens a lease.
	granted int64
	// list is the last list, listFence the fence with which it was polled, and listAt when it was received. listAt is zero
	// while the list may not be reported.
	list      RunList
	listFence uint64
	listAt    time.Time
	// acknowledged is the number up to which the owner has acknowledged ends.
	acknowledged uint64
	// refusingSince is since when the worker's port has refused connections, zero while it accepts them.
	refusingSince time.Time
	// candidates are the reported incarnations that the worker hasn't confirmed, by worker ID.
	candidates map[string]candidate
	// hasSuccessor means that a later incarnation has answered under the worker's name, whose status report hasn't arrived yet. It must
	// get neither starts nor acknowledgements that are meant for the worker.
	hasSuccessor bool
	// unverified means that a poll has failed, so that the worker may have started again under its name. The next poll then
	// neither acknowledges ends nor extends the lease, and doesn't wait.
	unverified bool
	// workerChanged is closed and replaced when another incarnation has become the worker or has answered in its place.
	workerChanged chan struct{}
	// orders are the pending orders.
	orders map[batch.RunID]*order
	// attempts records the attempts at starts of all incarnations, from recordedSince.
	attempts      calls.Log[attemptKey]
	recordedSince time.Time
	// startSlots and stopSlots hold an element for each start and stop that is under way at the worker.
	startSlots, stopSlots chan struct{}
	// refusals are to be reported with the next list.
	refusals []batch.Refusal
	// sendTimes holds when each unanswered report was sent, by sequence number, and answeredAt when the last answer came.
	sendTimes  map[uint64]time.Time
	sequence   uint64
	answeredAt time.Time
	// reportNow, pollNow and confirmNow signal that a report, a poll or the confirmation of a candidate is due at once; lateStopNow that
	// stops of late starts may be due, since another incarnation answers or a new owner gives orders.
	reportNow   chan struct{}
	pollNow     chan struct{}
	confirmNow  chan struct{}
	lateStopNow chan struct{}
}

// order is an order that is being carried out.
type order struct {
	// born is the start of the incarnation that the order is meant for.
	born int64
	// stop is true for a stop, false for a start.
	stop   bool
	cancel context.CancelFunc
}

// Run polls the worker and keeps a link to the owner until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.init()
	var wait sync.WaitGroup
	wait.Add(5)
	go func() {
		defer wait.Done()
		r.confirmLoop(ctx)
	}()
	go func() {
		defer wait.Done()
		r.leaseLoop(ctx)
	}()
	go func() {
		defer wait.Done()
		r.lateStopLoop(ctx)
	}()
	go func() {
		defer wait.Done()
		r.pollLoop(ctx)
	}()
	go func() {
		defer wait.Done()
		r.pollOnDemand(ctx)
	}()
	for ctx.Err() == nil {
		if address := r.Owner(); address != "" {
			r.session(ctx, address)
		}
		clock.Sleep(ctx, redialPause)
	}
	wait.Wait()
}

// init makes the maps and channels at the first call.
func (r *Runner) init() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportNow == nil {
		r.reportNow, r.pollNow, r.confirmNow = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		r.lateStopNow, r.recordedSince = make(chan struct{}, 1), clock.Now()
		r.candidates, r.workerChanged = map[string]candidate{}, make(chan struct{})
		r.orders = map[batch.RunID]*order{}
		r.startSlots, r.stopSlots = make(chan struct{}, maxOrderCalls), make(chan struct{}, maxOrderCalls)
		r.sendTimes = map[uint64]time.Time{}
	}
}

// signal wakes the reader of c without blocking; signals before it reads are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// session connects to an owner, sends it reports and carries out its orders until the link ends.
func (r *Runner) session(ctx context.Context, address string) {
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The address of an owner that lost power doesn't answer, so that the dial and the link to it end only by timeouts.
		r.awaitOtherOwner(sessionCtx, address)
		cancel()
	}()
	l, err := link.Dial(sessionCtx, address, r.Settings)
	if err != nil {
		r.Log.Debug("connection to the owner failed", "address", address, "error", err)
		return
	}
	r.mu.Lock()
	r.sendTimes = map[uint64]time.Time{}
	r.answeredAt = clock.Now()
	r.mu.Unlock()
	var receiving sync.WaitGroup
	receiving.Go(func() {
		defer cancel()
		r.receive(ctx, l, address)
	})
	r.sendReports(sessionCtx, l, address)
	l.Close()
	receiving.Wait()
}

// awaitOtherOwner returns when the owner is known to be at another address, or ctx ends.
func (r *Runner) awaitOtherOwner(ctx context.Context, address string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.OwnerChanged:
			if owner := r.Owner(); owner != "" && owner != address {
				return
			}
		}
	}
}

// receive carries out an owner's orders until the link ends. A process that is no longer the owner accepts links and closes
// them at once, several times a second until the next owner is known; the owner counts as reached only after its first orders.
func (r *Runner) receive(ctx context.Context, l *link.Link, address string) {
	reached := false
	for {
		frame, err := l.Receive()
		if err != nil {
			if reached {
				r.Log.Info("link to the owner lost", "address", address, "error", err)
			} else {
				r.Log.Debug("link closed before any orders were received", "address", address, "error", err)
			}
			return
		}
		o, ok := frame.(link.Orders)
		if !ok {
			continue
		}
		if !reached {
			reached = true
			r.Log.Info("owner reached", "address", address, "fence", o.Fence)
		}
		if !r.applyOrders(ctx, &o.Orders) {
			return
		}
	}
}

// sendReports sends a report at each change and at least every maxReportInterval, until ctx ends, another owner is known
// or the owner doesn't answer.
func (r *Runner) sendReports(ctx context.Context, l *link.Link, address string) {
	for ctx.Err() == nil {
		if owner := r.Owner(); owner != address && owner != "" {
			return
		}
		report, ownerSilent := r.report(clock.Now())
		if ownerSilent {
			r.Log.Warn("owner doesn't answer reports; closing the link", "address", address)
			return
		}
		if err := l.Send(link.Report{Report: report}); err != nil {
			r.Log.Info("report not sent to the owner; closing the link", "address", address, "error", err)
			return
		}
		clock.Sleep(ctx, minReportInterval)
		timer := time.NewTimer(maxReportInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.reportNow:
		}
		timer.Stop()
	}
}

// report returns the next report, and whether the owner has left reports unanswered for too long. The report has the list
// only if it is current, and the refusals only if it holds all ends: a start is also refused after the run's end, which must be
// reported before.
func (r *Runner) report(now time.Time) (batch.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.sendTimes[r.sequence] = now
	// The status may be a while old.
	p := batch.Report{
		Sequence: r.sequence, Worker: r.status.Worker, ColdTime: max(0, r.status.warmAt.Sub(now)),
		Unanswered: r.unansweredStarts(now), Recorded: now.Sub(r.recordedSince),
	}
	if r.listFence == r.fence && r.fence != 0 && now.Sub(r.listAt) < listMaxAge && r.list.Born == r.status.Worker.Born {
		p.Listed, p.Running, p.Ended, p.MoreEnds = true, r.list.Running, r.list.Ended, r.list.MoreEnds
		if !p.MoreEnds {
			p.Refused, r.refusals = r.refusals, nil
		}
	}
	return p, now.Sub(r.answeredAt) > ownerAnswerLimit
}

// applyOrders begins to carry out an owner's orders. It returns false if a later owner has sent orders before.
func (r *Runner) applyOrders(ctx context.Context, o *batch.Orders) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		r.Log.Warn("orders refused: their fence is that of an earlier owner", "fence", o.Fence, "known", r.fence)
		return false
	}
	if o.Fence > r.fence {
		r.Log.Info("orders of a new owner; pending orders of the last one are cancelled", "fence", o.Fence, "before", r.fence)
		for run, pending := range r.orders {
			pending.cancel()
			delete(r.orders, run)
		}
		r.fence, r.refusals = o.Fence, nil
		signal(r.pollNow)
		signal(r.lateStopNow)
	}
	r.extendLease(o)
	if o.Worker != r.status.Worker.ID {
		return true
	}
	if o.AcknowledgedEnds > r.acknowledged {
		r.acknowledged = o.AcknowledgedEnds
		signal(r.pollNow)
	}
	for _, s := range o.Starts {
		r.execute(ctx, s.RunID, false, s)
	}
	for _, run := range o.Stops {
		r.execute(ctx, run, true, batch.StartOrder{})
	}
	return true
}
