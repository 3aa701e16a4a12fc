package runner

import (
	"context"
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// Guards against tasks that run on two workers: the clock of a worker doesn't count the time in which its machine is suspended, so that
// runs went on after the lease of a cut off agent had ended and the owner had started their tasks elsewhere.
func TestRunsEndWithTheLeaseAfterASuspension(t *testing.T) {
	starting := batch.RunID{Task: batch.TaskID{Job: "j", Index: 1}, Run: 1}
	const lease = 6 * time.Second
	for _, tc := range []struct {
		name string
		// suspended is how long the machine was suspended, elapsed how long ago the last lease was granted on the boot-time clock.
		suspended, elapsed time.Duration
		renewed            bool
		want               []string
	}{
		{"suspended, lease about to end", 4 * time.Second, lease - stopLead, false, []string{"stop j.0.0.0", "stop j.0.0.1"}},
		{"suspended, lease ended", 7 * time.Second, lease + time.Second, false, []string{"stop j.0.0.0", "stop j.0.0.1"}},
		{"suspended, lease goes on", 4 * time.Second, lease - stopLead - time.Millisecond, false, nil},
		{"suspended, lease renewed", 4 * time.Second, lease - stopLead, true, nil},
		{"not suspended, lease about to end", 0, lease - time.Millisecond, false, nil},
		{"slow clock, lease about to end", lease * 2 / 100, lease - time.Millisecond, false, nil},
		{"clock not read since the suspension, lease ended", 0, lease, false, []string{"stop j.0.0.0", "stop j.0.0.1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &fakeWorker{}
			r := newRunner(w)
			granted := clock.Now()
			r.clockReadAt, r.leaseEnd = granted, granted.Add(lease)
			r.list.Running = []batch.RunStatus{{RunID: runID}}
			r.orders[starting] = &order{cancel: func() {}}
			if state, _ := r.pollState(); state.deadline != 1000+lease.Milliseconds() {
				t.Fatalf("got a lease until %d ms, want %d", state.deadline, 1000+lease.Milliseconds())
			}
			now := granted.Add(tc.elapsed)
			r.syncClock(1000+(tc.elapsed-tc.suspended).Milliseconds(), now)
			if tc.renewed {
				r.leaseEnd = now.Add(lease)
			}
			r.enforceLease(context.Background(), now)
			if tc.want == nil {
				delete(r.orders, starting)
			}
			waitForOrders(t, r)
			if slices.Sort(w.calls); !slices.Equal(w.calls, tc.want) {
				t.Errorf("got calls %q, want %q", w.calls, tc.want)
			}
		})
	}
}

// Guards against runs that outlive the lease because the worker's clock was last read before the suspension.
func TestClockIsReadBeforeTheLeaseEnds(t *testing.T) {
	r := newRunner(&fakeWorker{})
	r.list.Running = []batch.RunStatus{{RunID: runID}}
	for len(r.pollNow) > 0 {
		<-r.pollNow
	}
	r.enforceLease(context.Background(), r.leaseEnd.Add(-stopLead))
	if got, want := len(r.pollNow), 1; got != want {
		t.Errorf("got %d polls due, want %d", got, want)
	}
}

// Guards against an agent that never checks its lease while it has no link to an owner.
func TestAgentWithoutAnOwnerEnforcesItsLease(t *testing.T) {
	w := &fakeWorker{running: []batch.RunStatus{{RunID: runID}}}
	r := newRunner(w)
	r.leaseEnd = clock.Now()
	startRunner(t, r)
	stopped := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.Contains(w.calls, "stop "+runID.Task.String())
	}
	for end := time.Now().Add(10 * time.Second); !stopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got calls %q, want a stop", w.calls)
		}
	}
}
