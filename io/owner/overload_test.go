package owner

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/pace"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// lockedBuffer collects the log of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newIdleTerm returns a term whose loop doesn't run, so that a test can let it be late, and a waiting job with one task. The
// entry logs to log.
func newIdleTerm(t *testing.T, log io.Writer) (*term, *session) {
	t.Helper()
	s := newMemoryStore()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	e := newEntry(t, s, "e1", batch.Policy{}, func(o *Owner) {
		// Without a policy, the entry doesn't stand for election.
		o.Policy = func() (batch.Policy, uint64) { return batch.Policy{}, 0 }
		o.Log = slog.New(slog.NewJSONHandler(log, nil))
	})
	putJob(t, s, "j1", queue, batch.Step{Count: 1, Need: batch.Amount{CPU: 1000, Memory: 100, GPU: 1}, Estimate: time.Hour})
	waitFor(t, "mirror", func() bool {
		found := false
		e.Mirror.View(func(c *batch.Cache) { found = c.Jobs["j1"] != nil })
		return found
	})
	e.leaseEnd.Store(clock.Now().Add(time.Hour).UnixNano())
	term := newTerm(e.Owner, 1)
	e.Mirror.View(func(cache *batch.Cache) { term.scheduler.StartTerm(clock.Now().Add(-time.Hour), time.Now(), cache) })
	return term, &session{number: 1, queued: make(chan link.Orders, maxQueuedOrders)}
}

// listedReport returns a report of the worker with the given runs.
func listedReport(sequence uint64, runs ...batch.RunStatus) *batch.Report {
	return &batch.Report{Sequence: sequence, Worker: workerOf("n1"), Listed: true, Running: runs}
}

// An owner that is late must not give up a worker whose reports it has received but not handled yet: its work would be
// started a second time elsewhere.
func TestLateOwnerKeepsWorkersThatReport(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	now := clock.Now()
	// The last report that was handled arrived long ago, the next one waits in the channel.
	term.scheduler.ApplyReport(now.Add(-time.Minute), time.Now(), listedReport(1), s.number)
	term.agentEvents <- agentEvent{s, listedReport(2), now.Add(-time.Second)}
	term.process(context.Background(), true)
	select {
	case o := <-s.queued:
		if o.Sequence != 2 || o.Lease == 0 {
			t.Errorf("got the answer %+v, want a lease for report 2", o.Orders)
		}
	default:
		t.Error("the waiting report was not answered")
	}
	if orders, _ := term.scheduler.Orders(clock.Now(), workerOf("n1").ID, maxStartBytes); orders.Worker == "" {
		t.Error("the worker was given up although its report had arrived")
	}
}

// The end of a worker's lease counts from the arrival of its last report, not from when a late owner handled it.
func TestLeaseCountsFromTheArrivalOfTheReport(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	arrived := clock.Now().Add(-time.Minute)
	term.agentEvents <- agentEvent{s, listedReport(1), arrived}
	term.process(context.Background(), false)
	term.process(context.Background(), true)
	if orders, _ := term.scheduler.Orders(clock.Now(), workerOf("n1").ID, maxStartBytes); orders.Worker != "" {
		t.Error("the worker still counts although its last report arrived a minute ago")
	}
}

// While the lease can't be renewed, no plan is made; waiting for one kept the loop busy.
func TestPausedOwnerWaitsForTheNextTick(t *testing.T) {
	term, _ := newIdleTerm(t, io.Discard)
	if got := term.planWait(); got > pace.MinPause {
		t.Errorf("wait for a plan that is due: got %v, want at most %v", got, pace.MinPause)
	}
	term.owner.leaseEnd.Store(0)
	if got, want := term.planWait(), pace.MaxInterval; got != want {
		t.Errorf("wait for a plan while the owner may not decide: got %v, want %v", got, want)
	}
}

// Reports must be answered before a plan, which may take long on a slow VM: without answers, the runs of the workers end.
func TestReportsAreAnsweredBeforeThePlan(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	answered := -1
	term.scheduler.Trace = func(e alloc.Event) {
		if e.Kind == "placed" {
			answered = len(s.queued)
		}
	}
	term.agentEvents <- agentEvent{s, listedReport(1), clock.Now()}
	term.process(context.Background(), false)
	if answered != 1 {
		t.Errorf("messages queued when the plan placed its first task: got %d, want the answer to the report (-1: nothing was placed)", answered)
	}
}

// On a VM that is too slow for its fleet, plans in a row left no time for reports. After each plan the loop has to pause.
func TestPlansLeaveTimeForReports(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	term.agentEvents <- agentEvent{s, listedReport(1), clock.Now()}
	term.process(context.Background(), false)
	// The pause must hold however slow the test is, so the plan counts as made in an hour.
	begin := clock.Now().Add(time.Hour)
	term.plans.Record(begin, begin)
	term.scheduler.SetPolicy(batch.Policy{})
	term.process(context.Background(), false)
	if !term.scheduler.NeedsPlan() {
		t.Error("a plan was made during the pause")
	}
}

// Only lag without a break leads to a hand-over, so that each batch of reports must count with its longest wait, not with
// that of the last report.
func TestLagIsThatOfTheLongestWait(t *testing.T) {
	log := &lockedBuffer{}
	term, s := newIdleTerm(t, log)
	now := clock.Now()
	term.agentEvents <- agentEvent{s, listedReport(1), now.Add(-time.Minute)}
	term.agentEvents <- agentEvent{s, listedReport(2), now}
	term.process(context.Background(), false)
	if !strings.Contains(log.String(), "decisions are late") {
		t.Errorf("no line about late decisions after a report that waited for a minute: %s", log)
	}
}

// A refusal is reported once. An owner that dropped the reports which arrived while it couldn't renew its lease lost it, and
// the task was never started.
func TestRefusalReportedDuringAPauseIsApplied(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	term.deliver(agentEvent{s, listedReport(1), clock.Now()})
	term.process(context.Background(), false)
	run := batch.RunID{Task: batch.TaskID{Job: "j1"}, Run: 1}
	// The term's fence is none of the store's, so that the progress is confirmed without a commit.
	for _, update := range term.scheduler.PendingUpdates(1, func(model.JobID) bool { return false }) {
		term.scheduler.ConfirmStored(update)
	}
	term.sendOrders(clock.Now(), false)
	<-s.queued
	if o := <-s.queued; len(o.Starts) != 1 || o.Starts[0].RunID != run {
		t.Fatalf("got orders %+v, want the start of %v", o.Orders, run)
	}
	end := term.owner.leaseEnd.Swap(0)
	refused := listedReport(2)
	refused.Refused = []batch.Refusal{{RunID: run, Reason: batch.RefusedUnhealthy}}
	term.deliver(agentEvent{s, refused, clock.Now()})
	unlisted := listedReport(3)
	unlisted.Listed = false
	term.deliver(agentEvent{s, unlisted, clock.Now()})
	unknown := &batch.Report{Sequence: 4}
	term.deliver(agentEvent{s, unknown, clock.Now()})
	term.process(context.Background(), true)
	if got := len(s.queued); got != 0 {
		t.Errorf("messages to the agent while the owner may not decide: got %d, want none", got)
	}
	term.owner.leaseEnd.Store(end)
	var placed []batch.RunID
	term.scheduler.Trace = func(e alloc.Event) {
		if e.Kind == "placed" {
			placed = append(placed, e.Run)
		}
	}
	term.deliver(agentEvent{s, listedReport(5), clock.Now()})
	waitFor(t, "second run of the refused task", func() bool {
		term.process(context.Background(), true)
		return len(placed) > 0
	})
	if got, want := placed[0].Run, 2; got != want {
		t.Errorf("got run %d placed after the pause, want %d", got, want)
	}
}

// A lease that answers the report of an earlier worker must not go to the agent once it has reported another one without lists.
func TestAnswerIsDroppedWithItsWorker(t *testing.T) {
	term, s := newIdleTerm(t, io.Discard)
	term.owner.leaseEnd.Store(0)
	term.deliver(agentEvent{s, listedReport(1), clock.Now()})
	term.process(context.Background(), false)
	if got, want := s.unanswered, uint64(1); got != want {
		t.Errorf("got report %d to be answered, want %d", got, want)
	}
	next := listedReport(2)
	next.Listed, next.Worker.Born, next.Worker.ID = false, 2, batch.WorkerID("n1", "w", 2)
	term.deliver(agentEvent{s, next, clock.Now()})
	term.process(context.Background(), false)
	if got := s.unanswered; got != 0 {
		t.Errorf("got report %d to be answered after another worker's, want none", got)
	}
}
