package runner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// fakeWorker records calls in order; verdicts answers starts in turn.
type fakeWorker struct {
	mu       sync.Mutex
	calls    []string
	verdicts []OrderResult
	errs     []error
}

func (w *fakeWorker) Start(_ context.Context, _ Target, s batch.StartOrder, _ int64) (OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, "start "+s.Task.String())
	if len(w.errs) > 0 {
		err := w.errs[0]
		w.errs = w.errs[1:]
		return OrderResult{}, err
	}
	if len(w.verdicts) > 0 {
		v := w.verdicts[0]
		w.verdicts = w.verdicts[1:]
		return v, nil
	}
	return OrderResult{Clock: 2000}, nil
}

func (w *fakeWorker) Stop(_ context.Context, _ Target, run batch.RunID) (OrderResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, "stop "+run.Task.String())
	return OrderResult{Clock: 2001}, nil
}

func (w *fakeWorker) ExtendLease(context.Context, Target, uint64, int64, time.Duration) (RunList, error) {
	return RunList{}, errors.New("not asked for")
}

// newRunner returns a runner with a worker, a lease and a known clock.
func newRunner(w *fakeWorker) *Runner {
	r := &Runner{Worker: w, Node: "n1", Owner: func() string { return "" }, Log: slog.New(slog.DiscardHandler)}
	r.Announce(StatusReport{Instance: "i-1", Worker: batch.Worker{Born: 1, Service: "s"}})
	r.fence, r.listFence = 3, 3
	r.clock, r.sampled, r.lease = 1000, clock.Now(), clock.Now().Add(5*time.Second)
	r.list = RunList{Born: 1, Clock: 1000}
	return r
}

var (
	task  = batch.RunID{Task: batch.TaskID{Job: "j"}, Run: 1}
	start = batch.Orders{Fence: 3, Worker: batch.WorkerID("n1", "i-1", 1), Starts: []batch.StartOrder{{RunID: task}}}
)

// settle waits until all orders are carried out.
func settle(t *testing.T, r *Runner) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		left := len(r.orders)
		r.mu.Unlock()
		if left == 0 {
			return
		}
	}
	t.Fatal("orders are still being carried out")
}

// Guards against a start that is given up after a lost answer, and against a run that isn't listed until the next look.
func TestStartWithoutAnAnswerIsRepeated(t *testing.T) {
	w := &fakeWorker{errs: []error{errors.New("reset")}}
	r := newRunner(w)
	r.obey(context.Background(), &start)
	settle(t, r)
	if got, want := len(w.calls), 2; got != want {
		t.Errorf("got calls %v, want %d starts", w.calls, want)
	}
	if len(r.list.Running) != 1 || r.list.Running[0].RunID != task {
		t.Errorf("got %v listed, want the run", r.list.Running)
	}
}

// Guards against a refusal that is reported while an earlier try without an answer may still be carried out.
func TestRefusedStartIsStoppedBeforeItIsReported(t *testing.T) {
	w := &fakeWorker{errs: []error{errors.New("reset")}, verdicts: []OrderResult{{Reason: batch.RefusedNoCapacity, Clock: 2000}}}
	r := newRunner(w)
	r.obey(context.Background(), &start)
	settle(t, r)
	if got := w.calls[len(w.calls)-1]; got != "stop "+task.Task.String() {
		t.Errorf("got last call %q, want a stop", got)
	}
	if len(r.refused) != 1 || r.refused[0].Reason != batch.RefusedNoCapacity {
		t.Errorf("got %v refused, want one for room", r.refused)
	}
	if p, _ := r.report(clock.Now()); p.Listed || len(p.Refused) != 0 {
		t.Error("the refusal was reported with a list from before the stop")
	}
	v, _ := r.view()
	r.take(v, RunList{Born: 1, Clock: 3000}, clock.Now())
	if p, _ := r.report(clock.Now()); !p.Listed || len(p.Refused) != 1 {
		t.Errorf("got %+v after a new list, want the refusal", p)
	}
}

// Guards against runs that outlive their owner's lease, and against work for a worker that leaves.
func TestStartIsRefusedWithoutALeaseOrByADrainingWorker(t *testing.T) {
	lapsed := newRunner(&fakeWorker{})
	lapsed.lease = clock.Now().Add(-time.Millisecond)
	draining := newRunner(&fakeWorker{})
	draining.Announce(StatusReport{Instance: "i-1", Worker: batch.Worker{Born: 1, Service: "s", Readiness: batch.WorkerDraining}})
	for want, r := range map[string]*Runner{batch.RefusedLate: lapsed, batch.RefusedDraining: draining} {
		r.obey(context.Background(), &start)
		settle(t, r)
		if len(r.refused) != 1 || r.refused[0].Reason != want {
			t.Errorf("got %v refused, want reason %q", r.refused, want)
		}
	}
}

// Guards against orders of an owner that was replaced.
func TestEarlierFenceIsNotObeyed(t *testing.T) {
	w := &fakeWorker{}
	r := newRunner(w)
	old := start
	old.Fence = 2
	if r.obey(context.Background(), &old) {
		t.Error("orders with an earlier fence were obeyed")
	}
	if len(w.calls) != 0 {
		t.Errorf("got calls %v, want none", w.calls)
	}
}

// Guards against a lease that counts from the arrival of its grant, which may be late, instead of the report.
func TestLeaseCountsFromTheReport(t *testing.T) {
	r := newRunner(&fakeWorker{})
	r.lease = time.Time{}
	sent := clock.Now()
	p, _ := r.report(sent)
	r.obey(context.Background(), &batch.Orders{Fence: 3, Sequence: p.Sequence, Lease: 2 * time.Second})
	if got, want := r.lease, sent.Add(2*time.Second); !got.Equal(want) {
		t.Errorf("got a lease until %v, want %v", got, want)
	}
	r.obey(context.Background(), &batch.Orders{Fence: 3, Sequence: p.Sequence + 9, Lease: time.Hour})
	if got, want := r.lease, sent.Add(2*time.Second); !got.Equal(want) {
		t.Errorf("got a lease until %v by the answer to no report, want %v", got, want)
	}
}

// Guards against lists that overtake each other: an older one would hide a run that has begun.
func TestOlderListIsNotTaken(t *testing.T) {
	r := newRunner(&fakeWorker{})
	v, _ := r.view()
	r.take(v, RunList{Born: 1, Clock: 5000, Running: []batch.RunStatus{{RunID: task}}}, clock.Now())
	r.take(v, RunList{Born: 1, Clock: 4000}, clock.Now())
	if len(r.list.Running) != 1 {
		t.Error("an older list replaced a later one")
	}
	r.take(v, RunList{Born: 2, Clock: 6000}, clock.Now())
	if len(r.list.Running) != 1 {
		t.Error("the list of another incarnation was taken")
	}
}

// Guards against a status report of an earlier incarnation that arrives late.
func TestEarlierIncarnationIsNotAnnounced(t *testing.T) {
	r := newRunner(&fakeWorker{})
	if !r.Announce(StatusReport{Instance: "i-2", Worker: batch.Worker{Born: 2}}) {
		t.Error("a later incarnation was refused")
	}
	if r.Announce(StatusReport{Instance: "i-1", Worker: batch.Worker{Born: 1}}) {
		t.Error("an earlier incarnation was announced")
	}
	if got, want := r.status.Instance, "i-2"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against an owner that waits for the lease of a worker whose process is gone, and against one taken for gone
// that is only silent for a moment.
func TestWorkerWithAClosedPortHasEnded(t *testing.T) {
	r := newRunner(&fakeWorker{})
	v, _ := r.view()
	now := clock.Now()
	r.refusing(v, true, now)
	r.refusing(v, false, now.Add(closedLimit))
	r.refusing(v, true, now.Add(2*closedLimit))
	r.refusing(v, true, now.Add(3*closedLimit))
	if got := r.status.Worker.Readiness; got != batch.WorkerReady {
		t.Errorf("got readiness %d after %v, want %d", got, closedLimit, batch.WorkerReady)
	}
	r.refusing(v, true, now.Add(4*closedLimit))
	if got := r.status.Worker.Readiness; got != batch.WorkerDeparted {
		t.Errorf("got readiness %d, want %d", got, batch.WorkerDeparted)
	}
}
