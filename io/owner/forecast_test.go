package owner

import (
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/room"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
)

// Only the present owner may say what there is room for, only where that is asked for, and only while its own lease certainly lasts: an
// owner that is cut off knows nothing of what its successor has started.
func TestOwnerForecasts(t *testing.T) {
	queue := batch.Queue{Name: "q", Service: "svc", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}
	policy := batch.Policy{Queues: map[string]batch.Queue{"q": queue}}
	s := newMemoryStore()
	first := newEntry(t, s, "e1", policy, func(o *Owner) { o.Forecasts, o.Settings.Lease = true, time.Second })
	waitFor(t, "election", func() bool { return ownerID(t, s) == "e1" })
	second := newEntry(t, s, "e2", policy, func(o *Owner) { o.Settings.Lease = time.Second })
	putJob(t, s, "j1", queue, batch.Step{Count: 1, Need: batch.Amount{CPU: 1000, GPU: 1}, Estimate: time.Second})
	var f room.Forecast
	waitFor(t, "forecast", func() bool {
		var ok bool
		f, ok = first.Forecast()
		return ok
	})
	s.mu.Lock()
	fence := s.items[mirror.OwnerKey].Version
	s.mu.Unlock()
	if f.Fence != fence || f.Number == 0 || f.Age < 0 {
		t.Errorf("got fence %d, number %d and age %v, want fence %d and a number", f.Fence, f.Number, f.Age, fence)
	}
	waitFor(t, "another forecast", func() bool {
		later, ok := first.Forecast()
		return ok && later.Number > f.Number
	})
	if _, ok := second.Forecast(); ok {
		t.Error("an entry that isn't the owner has a forecast")
	}
	first.leaseEnd.Store(clock.Now().Add(-time.Millisecond).UnixNano())
	if _, ok := first.Forecast(); ok && !first.IsOwner(clock.Now()) {
		t.Error("got a forecast after the end of the lease")
	}
	first.stop()
	<-first.done
	if _, ok := first.Forecast(); ok {
		t.Error("got a forecast after the term")
	}
	waitFor(t, "election of the other entry", func() bool { return ownerID(t, s) == "e2" })
	if _, ok := second.Forecast(); ok {
		t.Error("got a forecast although none is asked for")
	}
}
