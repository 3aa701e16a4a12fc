package runner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/link"
)

// An agent that knows of the evacuation of its data centre must not start what the owner ordered before it knew. The run is
// stopped before the refusal is reported: an attempt without an answer may still be carried out.
func TestStartIsRefusedInEvacuatedCentre(t *testing.T) {
	for _, tc := range []struct {
		name string
		// evacuated is what is known at each call.
		evacuated []bool
		errs      []error
		want      []string
	}{
		{"at once", []bool{true}, nil, []string{"stop j.0.0.0"}},
		{"after an attempt without an answer", []bool{false, true}, []error{errors.New("reset")}, []string{"start j.0.0.0", "stop j.0.0.0"}},
	} {
		w := &fakeWorker{errs: tc.errs}
		r := newRunner(w)
		var asked atomic.Int32
		r.Evacuated = func() bool { return tc.evacuated[asked.Add(1)-1] }
		r.applyOrders(context.Background(), &startOrders)
		waitForOrders(t, r)
		if !slices.Equal(w.calls, tc.want) {
			t.Errorf("%s: got calls %v, want %v", tc.name, w.calls, tc.want)
		}
		if len(r.refusals) != 1 || r.refusals[0].Reason != batch.RefusedEvacuated {
			t.Errorf("%s: got refusals %v, want one with reason %q", tc.name, r.refusals, batch.RefusedEvacuated)
		}
	}
}

// Starts wait for a free slot while many are under way. An evacuation that is learned meanwhile counts: it is asked for after the
// last wait.
func TestEvacuationIsCheckedAfterTheWaitForASlot(t *testing.T) {
	w := &fakeWorker{}
	r := newRunner(w)
	var evacuated atomic.Bool
	r.Evacuated = evacuated.Load
	for range maxOrderCalls {
		r.startSlots <- struct{}{}
	}
	r.applyOrders(context.Background(), &startOrders)
	evacuated.Store(true)
	for range maxOrderCalls {
		<-r.startSlots
	}
	waitForOrders(t, r)
	for _, call := range w.calls {
		if strings.HasPrefix(call, "start") {
			t.Errorf("got calls %v, want no start", w.calls)
		}
	}
}

// A status report is repeated to the owner until the next one arrives. Its time until the worker is warm must not begin anew with
// each of them.
func TestColdTimeRunsDown(t *testing.T) {
	r := newRunner(&fakeWorker{})
	r.UpdateStatus(StatusReport{Instance: "i-1", Worker: batch.Worker{Born: 1, Service: "s"}, ColdTime: 2 * time.Second})
	now := clock.Now()
	first, _ := r.report(now)
	later, _ := r.report(now.Add(1500 * time.Millisecond))
	warm, _ := r.report(now.Add(time.Minute))
	if got := first.ColdTime; got <= 0 || got > 2*time.Second {
		t.Errorf("got cold time %v at first, want at most 2 s", got)
	}
	if got := first.ColdTime - later.ColdTime; got != 1500*time.Millisecond {
		t.Errorf("got the cold time %v shorter after 1.5 s", got)
	}
	if got := warm.ColdTime; got != 0 {
		t.Errorf("got cold time %v after a minute, want 0", got)
	}
}

// Owner and agent must judge by the same data centre, or the owner places what the agent refuses. A worker that reports none is in
// that of its agent, which is on the same VM.
func TestCentreOfTheWorker(t *testing.T) {
	r := newRunner(&fakeWorker{})
	r.Settings = link.Settings{Self: link.Hello{Centre: "own"}}
	for _, tc := range []struct{ reported, want string }{{"", "own"}, {"c1", "c1"}} {
		r.UpdateStatus(StatusReport{Instance: "i-1", Worker: batch.Worker{Born: 1, Service: "s", Centre: tc.reported}})
		p, _ := r.report(clock.Now())
		if got := r.Centre(); got != tc.want || p.Worker.Centre != tc.want {
			t.Errorf("reported %q: got %q, and %q to the owner, want %q", tc.reported, got, p.Worker.Centre, tc.want)
		}
	}
}
