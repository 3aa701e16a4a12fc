package queue

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wagtailhoist/core/admit"
	"wagtailhoist/core/model"
)

// A lost wake-up would leave a request waiting although the bound allows it to run, and a superfluous one would exceed the bound.
// The difficult case is a caller whose context ends while it is admitted.
func TestGateUnderRace(t *testing.T) {
	g := &Gate{}
	g.Resize(3)
	var running, most, served atomic.Int64
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			ctx := t.Context()
			if i%4 == 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, rand.N(20*time.Millisecond))
				defer cancel()
			}
			now := time.Now()
			release, err := g.Enter(ctx, now, model.Team([]string{"a", "b"}[i%2]), now.Add(30*time.Second))
			if err != nil {
				return
			}
			n := running.Add(1)
			for {
				m := most.Load()
				if n <= m || most.CompareAndSwap(m, n) {
					break
				}
			}
			time.Sleep(rand.N(time.Millisecond))
			running.Add(-1)
			served.Add(1)
			release()
			release()
		})
	}
	all.Wait()
	if most.Load() > 3 || served.Load() < 150 {
		t.Errorf("got %d at a time and %d served, want at most 3 and at least 150", most.Load(), served.Load())
	}
	if g.queue.Running() != 0 || len(g.admitted) != 0 {
		t.Errorf("after all requests have ended: got %d running, %d waiting, want none", g.queue.Running(), len(g.admitted))
	}
}

// A request whose deadline passes in the queue must be refused at the deadline, without waiting for its admission.
func TestDeadlineWhileWaiting(t *testing.T) {
	g := &Gate{}
	g.Resize(1)
	now := time.Now()
	release, err := g.Enter(t.Context(), now, "a", now.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	_, err = g.Enter(t.Context(), now, "a", now.Add(50*time.Millisecond))
	var late *admit.DeadlineError
	if !errors.As(err, &late) || time.Since(now) > 5*time.Second {
		t.Errorf("got %v after %v, want a LateError after 50 ms", err, time.Since(now))
	}
}
