package owner

import (
	"context"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// newIdleTerm returns a term whose loop doesn't run, so that a test can let it be late, and a job with one running task.
func newIdleTerm(t *testing.T) (*term, *session) {
	t.Helper()
	s := newMemoryStore()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	e := newEntry(t, s, "e1", batch.Policy{}, func(o *Owner) {
		// Without a policy, the entry doesn't stand for election.
		o.Policy = func() (batch.Policy, uint64) { return batch.Policy{}, 0 }
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
	term, s := newIdleTerm(t)
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
	if orders, _ := term.scheduler.Orders(clock.Now(), workerOf("n1").ID); orders.Worker == "" {
		t.Error("the worker was given up although its report had arrived")
	}
}

// The end of a worker's lease counts from the arrival of its last report, not from when a late owner handled it.
func TestLeaseCountsFromTheArrivalOfTheReport(t *testing.T) {
	term, s := newIdleTerm(t)
	arrived := clock.Now().Add(-time.Minute)
	term.agentEvents <- agentEvent{s, listedReport(1), arrived}
	term.process(context.Background(), false)
	term.process(context.Background(), true)
	if orders, _ := term.scheduler.Orders(clock.Now(), workerOf("n1").ID); orders.Worker != "" {
		t.Error("the worker still counts although its last report arrived a minute ago")
	}
}

// While the lease can't be renewed, no plan is made; waiting for one kept the loop busy.
func TestPausedOwnerWaitsForTheNextTick(t *testing.T) {
	term, _ := newIdleTerm(t)
	if got := term.planWait(); got > minPlanPause {
		t.Errorf("wait for a plan that is due: got %v, want at most %v", got, minPlanPause)
	}
	term.owner.leaseEnd.Store(0)
	if got, want := term.planWait(), maxPlanInterval; got != want {
		t.Errorf("wait for a plan while the owner may not decide: got %v, want %v", got, want)
	}
}
