package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// StatusReport is what a worker says of itself.
type StatusReport struct {
	// Instance names the worker to calls. The agent fills in the worker's ID and Node.
	Instance string
	Worker   batch.Worker
}

// Target says which incarnation a call is meant for, and under which fence.
type Target struct {
	Instance string
	Fence    uint64
}

// RunList is the answer of a worker that was asked for its runs.
type RunList struct {
	// Clock is the worker's clock in ms, Born the start of the incarnation that answered.
	Clock, Born int64
	Running     []batch.RunStatus
	Ended       []batch.End
}

// OrderResult is the outcome of an order that the worker answered.
type OrderResult struct {
	// Reason is empty if the order was carried out.
	Reason string
	Clock  int64
}

// Worker is the worker beside the agent. A call that returns an error may have been carried out, or may be later.
type Worker interface {
	Start(ctx context.Context, t Target, s batch.StartOrder, deadline int64) (OrderResult, error)
	Stop(ctx context.Context, t Target, run batch.RunID) (OrderResult, error)
	// ExtendLease extends the lease of all runs to deadline, on the worker's clock (0: not at all), forgets the ends up
	// to seen, and waits for an end.
	ExtendLease(ctx context.Context, t Target, seen uint64, deadline int64, wait time.Duration) (RunList, error)
}

const (
	// reportEvery is the longest interval between reports; each is answered with a new lease.
	reportEvery = 800 * time.Millisecond
	// reportPause is the shortest.
	reportPause = 10 * time.Millisecond
	// answerLimit is how long an owner may leave reports unanswered before the link is given up.
	answerLimit = 1800 * time.Millisecond
	// redial is the pause between tries to reach the owner.
	redial = 100 * time.Millisecond
	// holdWait is how long the worker may wait for an end before it answers.
	holdWait = time.Second
	// holdSlack is how much longer than its wait a look may take before its connection counts as silent.
	holdSlack = 400 * time.Millisecond
	// holdPause is the pause after a failed look, and between looks while ends wait for their acknowledgement.
	holdPause = 60 * time.Millisecond
	// listedLimit is the age up to which lists count as the worker's own.
	listedLimit = holdWait + holdSlack + 300*time.Millisecond
	// closedLimit is how long a worker's port may take no connections until the worker counts as ended. Both are on
	// one VM, so that a refused connection says that no process listens.
	closedLimit = 300 * time.Millisecond
	// orderLimit bounds a call that carries out an order; a worker answers in about a millisecond.
	orderLimit = 300 * time.Millisecond
	// orderPause is the pause between tries of an order.
	orderPause = 50 * time.Millisecond
)

// Runner is the agent of a worker.
type Runner struct {
	Worker   Worker
	Node     string
	Settings link.Settings
	// Owner returns the address of the present owner, or an empty string.
	Owner func() string
	Log   *slog.Logger

	mu     sync.Mutex
	status StatusReport
	// fence is the highest that an owner has used.
	fence uint64
	// lease is the end of the lease on the boot-time clock.
	lease time.Time
	// clock and sampled relate the worker's clock to the boot-time clock.
	clock   int64
	sampled time.Time
	// listed is the last list, with the fence under which it was got and when.
	list      RunList
	listFence uint64
	listedAt  time.Time
	seen      uint64
	// closed is since when the worker's port takes no connections; zero while it does.
	closed   time.Time
	orders   map[batch.RunID]*order
	refused  []batch.Refusal
	sent     map[uint64]time.Time
	sequence uint64
	answered time.Time
	kick     chan struct{}
	look     chan struct{}
}

// order is an order that is being carried out.
type order struct {
	stop   bool
	cancel context.CancelFunc
}

// Run serves until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.init()
	var wait sync.WaitGroup
	wait.Add(2)
	go func() {
		defer wait.Done()
		r.watch(ctx)
	}()
	go func() {
		defer wait.Done()
		r.glance(ctx)
	}()
	for ctx.Err() == nil {
		if address := r.Owner(); address != "" {
			r.session(ctx, address)
		}
		clock.Sleep(ctx, redial)
	}
	wait.Wait()
}

func (r *Runner) init() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kick == nil {
		r.kick, r.look = make(chan struct{}, 1), make(chan struct{}, 1)
		r.orders = map[batch.RunID]*order{}
		r.sent = map[uint64]time.Time{}
	}
}

// Announce takes a status report of the worker. It returns false for one of an incarnation that was replaced.
func (r *Runner) Announce(b StatusReport) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Worker.Node = r.Node
	b.Worker.ID = batch.WorkerID(r.Node, b.Instance, b.Worker.Born)
	old := r.status.Worker
	if old.ID != "" && b.Worker.Born < old.Born {
		return false
	}
	if old.ID != b.Worker.ID {
		r.Log.Info("worker found", "worker", b.Worker.ID, "before", old.ID, "service", b.Worker.Service)
		r.reset()
	}
	if old.ID != b.Worker.ID || old.Readiness != b.Worker.Readiness || old.Capacity != b.Worker.Capacity {
		signal(r.kick)
	}
	r.status = b
	signal(r.look)
	return true
}

// WorkerLeaving takes the worker's word that it is going.
func (r *Runner) WorkerLeaving(instance string) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Instance != instance {
		return
	}
	r.Log.Info("worker left", "worker", r.status.Worker.ID)
	r.status.Worker.Readiness = batch.WorkerDeparted
	signal(r.kick)
}

// reset forgets all that concerns the last incarnation.
func (r *Runner) reset() {
	for run, o := range r.orders {
		o.cancel()
		delete(r.orders, run)
	}
	r.refused, r.list, r.listFence, r.listedAt = nil, RunList{}, 0, time.Time{}
	r.seen, r.clock, r.sampled = 0, 0, time.Time{}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sample relates the worker's clock to the boot-time clock. An answer is younger than the clock that it
// carries, so that a lease worked out from it ends no later than granted.
func (r *Runner) sample(clock int64, now time.Time) {
	if clock > 0 {
		r.clock, r.sampled = clock, now
	}
}

// deadline is the lease's end on the worker's clock, 0 if there is none.
func (r *Runner) deadline() int64 {
	if r.sampled.IsZero() || r.lease.IsZero() {
		return 0
	}
	return r.clock + r.lease.Sub(r.sampled).Milliseconds()
}

// session reports to an owner and takes its orders until the link ends.
func (r *Runner) session(ctx context.Context, address string) {
	l, err := link.Dial(ctx, address, r.Settings)
	if err != nil {
		r.Log.Debug("owner not reached", "address", address, "error", err)
		return
	}
	r.mu.Lock()
	r.sent = map[uint64]time.Time{}
	r.answered = clock.Now()
	r.mu.Unlock()
	session, cancel := context.WithCancel(ctx)
	defer cancel()
	var receiving sync.WaitGroup
	receiving.Go(func() {
		defer cancel()
		r.receive(ctx, l, address)
	})
	r.reports(session, l, address)
	l.Close()
	receiving.Wait()
}

// receive carries out an owner's orders until the link ends. A process that is no owner any more takes links and closes
// them at once, several times a second until the next one is known; only an owner that gave orders was reached.
func (r *Runner) receive(ctx context.Context, l *link.Link, address string) {
	reached := false
	for {
		f, err := l.Receive()
		if err != nil {
			if reached {
				r.Log.Info("owner lost", "address", address, "error", err)
			} else {
				r.Log.Debug("link without orders", "address", address, "error", err)
			}
			return
		}
		o, ok := f.(link.Orders)
		if !ok {
			continue
		}
		if !reached {
			reached = true
			r.Log.Info("owner reached", "address", address, "fence", o.Fence)
		}
		if !r.obey(ctx, &o.Orders) {
			return
		}
	}
}

// reports sends a report at each change and at least each reportEvery.
func (r *Runner) reports(ctx context.Context, l *link.Link, address string) {
	for ctx.Err() == nil {
		if r.Owner() != address && r.Owner() != "" {
			return
		}
		report, silent := r.report(clock.Now())
		if silent {
			r.Log.Warn("owner doesn't answer", "address", address)
			return
		}
		if err := l.Send(link.Report{Report: report}); err != nil {
			r.Log.Info("report not sent", "address", address, "error", err)
			return
		}
		clock.Sleep(ctx, reportPause)
		timer := time.NewTimer(reportEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.kick:
		}
		timer.Stop()
	}
}

// report returns the next report, and whether the owner has left reports unanswered for too long.
func (r *Runner) report(now time.Time) (batch.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.sent[r.sequence] = now
	p := batch.Report{Sequence: r.sequence, Worker: r.status.Worker}
	if r.listFence == r.fence && r.fence != 0 && now.Sub(r.listedAt) < listedLimit && r.list.Born == r.status.Worker.Born {
		p.Listed, p.Running, p.Ended, p.Refused = true, r.list.Running, r.list.Ended, r.refused
		r.refused = nil
	}
	return p, now.Sub(r.answered) > answerLimit
}

// obey takes an owner's orders; it returns false if a later owner is known.
func (r *Runner) obey(ctx context.Context, o *batch.Orders) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		r.Log.Warn("orders of an earlier owner", "fence", o.Fence, "known", r.fence)
		return false
	}
	if o.Fence > r.fence {
		r.Log.Info("new owner", "fence", o.Fence, "before", r.fence)
		for run, pending := range r.orders {
			pending.cancel()
			delete(r.orders, run)
		}
		r.fence, r.refused = o.Fence, nil
		signal(r.look)
	}
	r.lend(o)
	if o.Worker != r.status.Worker.ID {
		return true
	}
	if o.AcknowledgedEnds > r.seen {
		r.seen = o.AcknowledgedEnds
		signal(r.look)
	}
	for _, s := range o.Starts {
		r.accept(ctx, s.RunID, false, s)
	}
	for _, run := range o.Stops {
		r.accept(ctx, run, true, batch.StartOrder{})
	}
	return true
}

// lend extends the lease by the answer to a report; it counts from the report's sending.
func (r *Runner) lend(o *batch.Orders) {
	at, ok := r.sent[o.Sequence]
	if !ok {
		return
	}
	r.answered = clock.Now()
	for status := range r.sent {
		if status <= o.Sequence {
			delete(r.sent, status)
		}
	}
	if end := at.Add(o.Lease); o.Lease > 0 && end.After(r.lease) {
		r.lease = end
	}
}
