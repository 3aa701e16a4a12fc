package owner

import (
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/evac"
	"wagtailhoist/io/clock"
)

// evacuations are what an owner has read of the requests to evacuate data centres.
type evacuations struct {
	mu       sync.Mutex
	synced   bool
	set      evac.Set
	revision uint64
	// age is how old the set is.
	age time.Duration
}

func (e *evacuations) Synced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.synced
}

func (e *evacuations) Snapshot() (evac.Set, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Clone(), e.revision
}

func (e *evacuations) AsOf() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return clock.Now().Add(-e.age)
}

// learn lists the evacuated data centres.
func (e *evacuations) learn(age time.Duration, centres ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.synced, e.age = true, age
	e.revision++
	var list []evac.Request
	for _, centre := range centres {
		list = append(list, evac.Request{Centre: centre, Version: e.revision})
	}
	e.set.Replace(list, e.revision)
}

// evacuationFixture is an owner with a job to place, and an agent.
type evacuationFixture struct {
	*testing.T
	*evacuations
	entry *entry
	agent *agentLink
}

func newEvacuationFixture(t *testing.T, known *evacuations) *evacuationFixture {
	s := newMemoryStore()
	queue := batch.Queue{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	f := &evacuationFixture{T: t, evacuations: known}
	f.entry = newEntry(t, s, "e1", batch.Policy{Queues: map[string]batch.Queue{"q": queue}}, func(o *Owner) { o.Evacuations = known })
	waitFor(t, "election", func() bool { return ownerID(t, s) == "e1" })
	putJob(t, s, "j1", queue, batch.Step{Count: 1, Need: batch.Amount{CPU: 1000, Memory: 100, GPU: 1}, Estimate: time.Second})
	return f
}

// starts reports once as a worker in data centre c1, and returns the number of starts in the answer.
func (f *evacuationFixture) starts() int {
	if f.agent == nil {
		f.agent = dialOwner(f.T, f.entry.Self.Address, "n1")
		f.agent.worker.Centre = "c1"
	}
	o, err := f.agent.report()
	if err != nil {
		f.agent = nil
		return 0
	}
	return len(o.Starts)
}

// expectNone reports for some time, in which nothing may be started.
func (f *evacuationFixture) expectNone(when string) {
	f.Helper()
	for end := time.Now().Add(8 * pollInterval); time.Now().Before(end); time.Sleep(pollInterval / 10) {
		if f.starts() > 0 {
			f.Fatalf("got a start order %s", when)
		}
	}
}

// A successor that doesn't know the evacuated data centres yet would place tasks in them. It waits for the first listing, and also
// while the last one is so old that later requests may be in force.
func TestNothingIsPlacedBeforeEvacuationsAreKnown(t *testing.T) {
	f := newEvacuationFixture(t, &evacuations{})
	f.expectNone("before the first listing")
	f.learn(evac.MaxAge + time.Minute)
	f.expectNone("by a set that is too old")
	f.learn(0, "c1")
	f.expectNone("in an evacuated data centre")
	f.learn(0)
	waitFor(t, "start order", func() bool { return f.starts() > 0 })
}

// A set that grew old between the placement and its order must hold back the order as well.
func TestStartsAreHeldWhileEvacuationsAreOld(t *testing.T) {
	known := &evacuations{}
	known.learn(0)
	f := newEvacuationFixture(t, known)
	waitFor(t, "start order", func() bool { return f.starts() > 0 })
	f.learn(evac.MaxAge + time.Minute)
	time.Sleep(3 * pollInterval)
	// On a new link, starts that aren't confirmed are sent again.
	f.agent.Close()
	f.agent = nil
	f.expectNone("on a new link while the set is too old")
	f.learn(0)
	waitFor(t, "start order", func() bool { return f.starts() > 0 })
}
